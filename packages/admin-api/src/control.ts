// What an operator may ask, without the words of any interface (§7.3): our own HTTP and others' are put on top of it.
import { fault, duration, type Runtime, type Microseconds } from '@thornsail/runtime';
import type { Membership } from '@thornsail/membership';
import {
  configuration,
  type NodeEntry,
  type AgreedState,
  type Push,
  type PushResult,
  type ReadResult,
} from '@thornsail/consensus';

export type DrainState = 'unknown' | 'too-few' | 'not draining' | 'waiting' | 'copying' | 'safe';
/** Each call gives up after `within`, and throws then; the callers of some interfaces wait for a shorter time. */
export type Control = {
  /** The agreed state, confirmed by a majority; throws if there is none to be had. */
  read: (within?: Microseconds) => Promise<{ index: number; value: ReadResult }>;
  /** Judged by the coordinators; the same push again has one effect, so it is repeated until its outcome is known. */
  push: (p: Push, within?: Microseconds) => Promise<PushResult>;
  /** What is known of a push without judging it, null if it may be accepted; and the source it would be applied to. */
  lookUp: (p: Push, within?: Microseconds) => Promise<{ known: PushResult | null; source: unknown }>;
  /** Has a store leave its group; repeated, it says how far that is. */
  drain: (name: string, within?: Microseconds) => Promise<DrainState>;
  drained: (name: string, within?: Microseconds) => Promise<DrainState>;
};
const pushLimit = duration.s(5);
const callLimit = duration.s(3);
/** The least that is left for a question to the core. */
const leastLimit = duration.ms(50);

/** How far a store's drain is (§6.5): safe only once the group without it is full, and bears the next loss. */
export const drainState = (s: AgreedState, node: NodeEntry, repaired = true): DrainState => {
  const k = s.storeGroup;
  if (!k.draining.includes(node.id)) return 'not draining';
  if (k.members.some((m) => m.id === node.id)) return k.swept === k.mark ? 'waiting' : 'copying';
  return k.swept === k.mark && repaired ? 'safe' : 'copying';
};
/** A node by its name: the one that lives, else the one that was lost last. */
const named = (s: AgreedState, name: string): NodeEntry | undefined =>
  Object.values(s.nodes)
    .filter((n) => n.name === name && n.role === 'store')
    .sort((a, b) => Number(a.status === 'dead') - Number(b.status === 'dead') || b.since - a.since)[0];

export const control = {
  open: (o: { runtime: Runtime; membership: Membership }): Control => {
    const { clock } = o.runtime;
    const { core } = o.membership;
    const leftUntil = (end: Microseconds): Microseconds => Math.max(leastLimit, end - clock.now());
    const read: Control['read'] = (within = callLimit) => core.request({ type: 'read' }, within);
    const drained: Control['drained'] = async (name, within) => {
      const { state, repaired } = (await read(within)).value;
      const n = named(state, name);
      return n ? drainState(state, n, repaired) : 'unknown';
    };
    return {
      read,
      drained,
      push: async (p, within = pushLimit) => {
        const end = clock.now() + within;
        /** What the core said last: a last question that its time was too short for does not take it back. */
        let unconfirmed: PushResult | undefined;
        for (;;) {
          const asked = core.request({ type: 'push', push: p }, leftUntil(end));
          const { value } = await asked.catch((error: unknown) => {
            if (unconfirmed === undefined || clock.now() < end) throw error;
            return { value: unconfirmed };
          });
          if (value.ok || value.why !== 'unconfirmed' || clock.now() >= end) return value;
          unconfirmed = value;
        }
      },
      lookUp: async (p, within) => {
        const { state } = (await read(within)).value;
        return { known: configuration.known(state, p), source: state.config.source ?? null };
      },
      drain: async (name, within = 3 * callLimit) => {
        const end = clock.now() + within;
        const n = named((await read(leftUntil(end))).value.state, name);
        if (!n || n.status === 'dead') return 'unknown';
        const { value } = await core.request({ type: 'drain', id: n.id, on: true }, leftUntil(end));
        if (!value) return 'too-few';
        return drained(name, leftUntil(end)).catch((e: unknown) => {
          throw fault.make({ step: 'drain', peer: name, code: 'unknown' }, fault.text(e), e);
        });
      },
    };
  },
};
