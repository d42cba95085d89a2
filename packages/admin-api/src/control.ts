// What an operator may ask, without the words of any interface (§7.3): our own HTTP and others' are put on top of it.
import { fault, time, us, type Lens } from '@thornsail/runtime';
import type { Mooring } from '@thornsail/membership';
import { type Member, type NodeEntry, type Ordered, type Push, type PushResult } from '@thornsail/consensus';

export type ReadResult<News = unknown> = {
  state: Ordered;
  view: number;
  members: Member[];
  news: News | null;
  /** Whether the keeper group needs no further change; a leader of the release before does not say. */
  repaired?: boolean;
};
export type DrainState = 'unknown' | 'too-few' | 'not draining' | 'waiting' | 'copying' | 'safe';
export type Control = {
  /** The agreed state, confirmed by a majority; throws if there is none to be had. */
  read: () => Promise<{ seq: number; value: ReadResult }>;
  /** Judged by the towers; the same push again has one effect, so it is repeated until its outcome is known. */
  push: (p: Push) => Promise<PushResult>;
  /** Has a keeper leave its group; repeated, it says how far that is. */
  drain: (name: string) => Promise<DrainState>;
  drained: (name: string) => Promise<DrainState>;
};
const pushLimit = us.s(5);
const callLimit = us.s(3);

/** How far a keeper's drain is (§6.5): safe only once the group without it is full, and bears the next loss. */
export const drainState = (s: Ordered, node: NodeEntry, repaired = true): DrainState => {
  const k = s.keepers;
  if (!k.draining.includes(node.id)) return 'not draining';
  if (k.members.some((m) => m.id === node.id)) return k.swept === k.mark ? 'waiting' : 'copying';
  return k.swept === k.mark && repaired ? 'safe' : 'copying';
};
/** A node by its name: the one that lives, else the one that was lost last. */
const named = (s: Ordered, name: string): NodeEntry | undefined =>
  Object.values(s.roster)
    .filter((n) => n.name === name && n.role === 'keeper')
    .sort((a, b) => Number(a.standing === 'dead') - Number(b.standing === 'dead') || b.since - a.since)[0];

export const control = {
  open: (o: { lens: Lens; mooring: Mooring }): Control => {
    const { clock } = o.lens;
    const read: Control['read'] = () => o.mooring.core.ask<ReadResult>({ op: 'read' }, callLimit);
    const drained: Control['drained'] = async (name) => {
      const { state, repaired } = (await read()).value;
      const n = named(state, name);
      return n ? drainState(state, n, repaired) : 'unknown';
    };
    return {
      read,
      drained,
      push: async (p) => {
        const end = clock.now() + pushLimit;
        for (;;) {
          const left = Math.max(us.s(1), end - clock.now());
          const { value } = await o.mooring.core.ask<PushResult>({ op: 'push', push: p }, left);
          if (value.ok || value.why !== 'unconfirmed' || clock.now() >= end) return value;
        }
      },
      drain: async (name) => {
        const n = named((await read()).value.state, name);
        if (!n || n.standing === 'dead') return 'unknown';
        const { value } = await o.mooring.core.ask<boolean>({ op: 'drain', id: n.id, on: true }, callLimit);
        if (!value) return 'too-few';
        await time.sleep(clock, 0);
        return drained(name).catch((e: unknown) => {
          throw fault.make({ step: 'drain', sibling: name, code: 'unknown' }, fault.text(e), e);
        });
      },
    };
  },
};
