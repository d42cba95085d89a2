/**
 * Operator actions independent of any interface (§7.3). The HTTP admin API and the interfaces of platforms are adapters
 * on top of this module.
 */
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

/** Progress of draining a store: `too-few` means that the drain was refused, `safe` that the store may be removed. */
export type DrainState = 'unknown' | 'too-few' | 'not draining' | 'waiting' | 'copying' | 'safe';
/**
 * Operator actions on the cluster. Each call times out after `within` (microseconds) and then rejects; interfaces whose
 * callers wait for less time pass a shorter timeout.
 */
export type Control = {
  /** Reads the agreed state, confirmed by a majority of the coordinators; rejects if no majority answers. */
  read: (within?: Microseconds) => Promise<{ index: number; value: ReadResult }>;
  /**
   * Submits a configuration change to the coordinators. Pushes are idempotent by id, so an unconfirmed push is repeated
   * until its outcome is known or the time is over.
   */
  push: (change: Push, within?: Microseconds) => Promise<PushResult>;
  /**
   * Looks up the recorded result of a push without submitting it: `known` is null if the push may still be accepted.
   * `source` is the source of the configuration that the push would apply to.
   */
  lookUp: (change: Push, within?: Microseconds) => Promise<{ known: PushResult | null; source: unknown }>;
  /** Starts the removal of a store from its group; repeated calls report the progress. */
  drain: (name: string, within?: Microseconds) => Promise<DrainState>;
  /** Reports the progress of a drain without starting one. */
  drained: (name: string, within?: Microseconds) => Promise<DrainState>;
};
const pushTimeout = duration.s(5);
const requestTimeout = duration.s(3);
/** Lower bound of the timeout of a request to the coordinators, also when the caller's time is over. */
const minimumRequestTimeout = duration.ms(50);

/**
 * Progress of a store's drain (§6.5). A store is safe to remove only once the group without it holds every record and
 * is repaired, so that it tolerates the next loss.
 */
export const drainState = (state: AgreedState, node: NodeEntry, repaired = true): DrainState => {
  const group = state.storeGroup;
  if (!group.draining.includes(node.id)) return 'not draining';
  if (group.members.some((member) => member.id === node.id)) return group.swept === group.mark ? 'waiting' : 'copying';
  return group.swept === group.mark && repaired ? 'safe' : 'copying';
};
/** The store of this name: the live one if there is one, else the one that was lost last. */
const findStore = (state: AgreedState, name: string): NodeEntry | undefined =>
  Object.values(state.nodes)
    .filter((node) => node.name === name && node.role === 'store')
    .sort((a, b) => Number(a.status === 'dead') - Number(b.status === 'dead') || b.since - a.since)[0];

/** Opens the operator actions of a node. */
export const control = {
  open: (options: { runtime: Runtime; membership: Membership }): Control => {
    const { clock } = options.runtime;
    const { core } = options.membership;
    const timeLeft = (deadline: Microseconds): Microseconds => Math.max(minimumRequestTimeout, deadline - clock.now());
    const read: Control['read'] = (within = requestTimeout) => core.request({ type: 'read' }, within);
    const drained: Control['drained'] = async (name, within) => {
      const { state, repaired } = (await read(within)).value;
      const node = findStore(state, name);
      return node ? drainState(state, node, repaired) : 'unknown';
    };
    return {
      read,
      drained,
      push: async (change, within = pushTimeout) => {
        const deadline = clock.now() + within;
        /** The latest answer of the core, returned if a later repetition fails because its time was too short. */
        let unconfirmed: PushResult | undefined;
        for (;;) {
          const response = core.request({ type: 'push', push: change }, timeLeft(deadline));
          const { value } = await response.catch((error: unknown) => {
            if (unconfirmed === undefined || clock.now() < deadline) throw error;
            return { value: unconfirmed };
          });
          if (value.ok || value.why !== 'unconfirmed' || clock.now() >= deadline) return value;
          unconfirmed = value;
        }
      },
      lookUp: async (change, within) => {
        const { state } = (await read(within)).value;
        return { known: configuration.known(state, change), source: state.config.source ?? null };
      },
      drain: async (name, within = 3 * requestTimeout) => {
        const deadline = clock.now() + within;
        const node = findStore((await read(timeLeft(deadline))).value.state, name);
        if (!node || node.status === 'dead') return 'unknown';
        const { value } = await core.request({ type: 'drain', id: node.id, on: true }, timeLeft(deadline));
        if (!value) return 'too-few';
        return drained(name, timeLeft(deadline)).catch((error: unknown) => {
          throw fault.make({ step: 'drain', peer: name, code: 'unknown' }, fault.text(error), error);
        });
      },
    };
  },
};
