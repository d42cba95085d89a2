/** Drops replicas that have expired on every store (§6.4). */
import { duration, time, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { ballot } from './ballot.js';
import type { Group } from './types.js';
import { encodeGroup, messages, type DueReply } from './wire.js';

/** The maximum number of keys that are dropped in one step. */
const keysPerStep = 256;
/** How long anti-entropy waits for the reply of one member. */
export const requestTimeout = duration.ms(800);

/** Options of `dropExpired`. */
export type DropOptions = {
  clock: Clock;
  rpc: Rpc;
  group: Group;
  /** The pause between two steps; 0 for none. */
  pause: Microseconds;
  /** Checked before each step; dropping ends when it returns false. */
  shouldContinue: () => boolean;
};

/**
 * Drops the replicas that every member has under the same ballot and reports as past their grace period. Returns how
 * many were dropped; ends early if a member does not answer.
 */
export const dropExpired = async ({ clock, rpc, group, pause, shouldContinue }: DropOptions): Promise<number> => {
  const requestAll = <T>(message: string, body: object): Promise<(T | undefined)[]> =>
    Promise.all(
      group.members.map(({ id, at }) =>
        rpc
          .request<T>(at, message, { to: id, group: encodeGroup(group), ...body }, requestTimeout)
          .catch(() => undefined),
      ),
    );
  for (let dropped = 0; ;) {
    const replies = await requestAll<DueReply>(messages.due, { limit: keysPerStep });
    const due = replies.flatMap((reply) => (reply?.ok ? [reply] : []));
    if (due.length < group.members.length || !shouldContinue()) return dropped;
    const others = due.slice(1).map((reply) => new Map(reply.keys));
    const keys = due[0]!.keys.filter(([key, accepted]) =>
      others.every((ballots) => ballots.has(key) && ballot.equals(ballots.get(key)!, accepted)),
    );
    if (keys.length === 0) return dropped;
    await requestAll(messages.drop, { keys, wall: Math.min(...due.map(({ wall }) => wall)) });
    dropped += keys.length;
    if (pause > 0) await time.sleep(clock, pause);
  }
};
