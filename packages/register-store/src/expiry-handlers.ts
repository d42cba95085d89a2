/**
 * The handlers by which anti-entropy drops replicas that have expired on all stores, after their grace period (§6.4).
 */
import type { Microseconds } from '@thornsail/runtime';
import { ballot, type Ballot } from './ballot.js';
import { neededUntil } from './replica-table.js';
import type { StoreContext } from './store-context.js';
import { bodyShapes, messages, type DropBody, type PurgeBody, type Target } from './wire.js';

/** Whether a replica still has the given ballot and its grace period is over by both wall clocks (§6.4). */
const mayDrop = (
  { storage, grace, runtime }: StoreContext,
  key: string,
  accepted: Ballot,
  wall: Microseconds,
): boolean => {
  const current = storage.get(key);
  if (!current || !ballot.equals(current.accepted, accepted)) return false;
  return neededUntil(current) + grace <= Math.min(wall, runtime.clock.wallTime());
};
const dropOne = (context: StoreContext, key: string, accepted: Ballot, wall: Microseconds): Promise<boolean> =>
  context.exclusive(key, async () => {
    const { storage, counts } = context;
    if (!mayDrop(context, key, accepted, wall)) return false;
    // The ballots of the replica are lost with it; the floor keeps later ballots of this key above them.
    await storage.raiseFloor(storage.getOrEmpty(key).promised[0]);
    await storage.remove(key);
    counts.purged += 1;
    return true;
  });
const dropAll = async (context: StoreContext, { keys, wall }: DropBody): Promise<number> => {
  const { storage } = context;
  const due = keys.filter(([key, accepted]) => mayDrop(context, key, accepted, wall));
  await storage.raiseFloor(due.reduce((highest, [key]) => Math.max(highest, storage.getOrEmpty(key).promised[0]), 0));
  const dropped = await Promise.all(keys.map(([key, accepted]) => dropOne(context, key, accepted, wall)));
  return dropped.filter((isDropped) => isDropped).length;
};

/** Registers the handlers of the commands of anti-entropy: drop replicas, and accept openings from now on. */
export const serveExpiry = (context: StoreContext): void => {
  const { rpc, group, id } = context;
  rpc.on<Target>(messages.filled, bodyShapes.filled, async (body) => {
    if (await group.check(body)) return { ok: false };
    await group.setFilled(body);
    return { ok: true };
  });
  rpc.on<DropBody>(messages.drop, bodyShapes.drop, async (body) =>
    (await group.check(body)) ? { ok: false, dropped: 0 } : { ok: true, dropped: await dropAll(context, body) },
  );
  // The previous release drops one key per message.
  rpc.on<PurgeBody>(messages.purge, bodyShapes.purge, async (body) => ({
    ok: body.to === id && (await dropOne(context, body.key, body.ballot, body.wall)),
  }));
};
