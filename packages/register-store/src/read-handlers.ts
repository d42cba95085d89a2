/** What a store answers to readers and to anti-entropy: replicas, digests and lists of keys (§6.2, §6.5). */
import { time } from '@thornsail/runtime';
import { rangeCount } from './replica-table.js';
import type { StoreContext } from './store-context.js';
import {
  bodyShapes,
  encodeGroup,
  encodeReplica,
  encodeView,
  messages,
  type DigestReply,
  type DueBody,
  type DueReply,
  type ListBody,
  type ListReply,
  type ReadBody,
  type ReadReply,
  type Target,
  type WireGroup,
  type WireReply,
} from './wire.js';

/** Ranges that are listed before others get their turn. */
const rangesTogether = 8;
/** The most keys in one answer to `due`. */
const mostDue = 1024;

/** The first keys after one over all ranges, a few ranges at a time. */
const listEverywhere = async ({ storage, runtime }: StoreContext, after: string, limit: number): Promise<string[]> => {
  let first: string[] = [];
  for (let range = 0; range < rangeCount; range++) {
    first = [...first, ...storage.table.keys(range, after, limit)].sort().slice(0, limit + 1);
    if (range % rangesTogether === rangesTogether - 1) await time.sleep(runtime.clock, 0);
  }
  return first;
};
const refusedFor = ({ group }: StoreContext): { ok: false; group: WireGroup | null } => {
  const known = group.group();
  return { ok: false, group: known ? encodeGroup(known) : null };
};

const list = async (context: StoreContext, { after, limit, range }: ListBody): Promise<ListReply> => {
  const { storage, runtime } = context;
  const keys =
    range === undefined ? await listEverywhere(context, after, limit) : storage.table.keys(range, after, limit);
  const page = keys.slice(0, limit);
  return {
    ok: true,
    wall: runtime.clock.wallTime(),
    next: keys.length > limit ? page[page.length - 1]! : null,
    keys: page.flatMap((key) => {
      const replica = storage.get(key);
      if (!replica) return [];
      const { accepted, stored, touched, extendedUntil } = replica;
      const extended = extendedUntil ? { extended: extendedUntil } : {};
      return [{ key, accepted, until: stored?.expiresAt ?? 0, touched, ...extended }];
    }),
  };
};

/** Answers readers and anti-entropy. Learning the group first is what fences older versions (§6.5). */
export const serveReads = (context: StoreContext): void => {
  const { rpc, group, storage, runtime, grace } = context;
  rpc.on<ReadBody>(messages.read, bodyShapes.read, async (body): Promise<WireReply<ReadReply>> => {
    const refusal = await group.check(body);
    if (refusal) return refusal;
    const { keys, key, bare } = body;
    if (!keys) return group.answer(body, { copy: encodeReplica(storage.getOrEmpty(key!)) });
    return group.answer(body, { copies: keys.map((one) => encodeView(storage.getOrEmpty(one), !bare)) });
  });
  rpc.on<Target>(messages.digest, bodyShapes.digest, async (body): Promise<DigestReply> => {
    if (await group.check(body)) return refusedFor(context);
    const digests = Array.from({ length: rangeCount }, (_, range) => storage.table.digest(range));
    // Anti-entropy of the release before asks which ranges hold something that may be dropped: `due` says it.
    return { ok: true, digests, due: [], wall: runtime.clock.wallTime() };
  });
  rpc.on<ListBody>(messages.list, bodyShapes.list, async (body) =>
    (await group.check(body)) ? refusedFor(context) : list(context, body),
  );
  rpc.on<DueBody>(messages.due, bodyShapes.due, async (body): Promise<DueReply> => {
    if (await group.check(body)) return { ok: false };
    const wall = runtime.clock.wallTime();
    return { ok: true, keys: storage.table.due(wall - grace, Math.min(body.limit, mostDue)), wall };
  });
};
