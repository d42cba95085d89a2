/** Drops what has expired everywhere (§6.4). */
import { duration, time, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { ballot } from './ballot.js';
import type { Group } from './types.js';
import { encodeGroup, messages, type DueReply } from './wire.js';

/** Keys that are looked at for dropping in one step. */
const keysTogether = 256;
/** What one member is waited for. */
export const requestTimeout = duration.ms(800);

/** What dropping needs. */
export type DropOptions = {
  clock: Clock;
  rpc: Rpc;
  group: Group;
  /** The pause between two steps. */
  pause: Microseconds;
  shouldContinue: () => boolean;
};

/**
 * Drops what every member has under the same ballot, and has not needed since its grace began. Gives how many; ends
 * early if a member does not answer.
 */
export const dropExpired = async ({ clock, rpc, group, pause, shouldContinue }: DropOptions): Promise<number> => {
  const askAll = <T>(message: string, body: object): Promise<(T | undefined)[]> =>
    Promise.all(
      group.members.map(({ id, at }) =>
        rpc
          .request<T>(at, message, { to: id, group: encodeGroup(group), ...body }, requestTimeout)
          .catch(() => undefined),
      ),
    );
  for (let dropped = 0; ;) {
    const replies = await askAll<DueReply>(messages.due, { limit: keysTogether });
    const due = replies.flatMap((reply) => (reply?.ok ? [reply] : []));
    if (due.length < group.members.length || !shouldContinue()) return dropped;
    const others = due.slice(1).map((reply) => new Map(reply.keys));
    const keys = due[0]!.keys.filter(([key, accepted]) =>
      others.every((other) => other.has(key) && ballot.equals(other.get(key)!, accepted)),
    );
    if (keys.length === 0) return dropped;
    await askAll(messages.drop, { keys, wall: Math.min(...due.map(({ wall }) => wall)) });
    dropped += keys.length;
    if (pause > 0) await time.sleep(clock, pause);
  }
};
