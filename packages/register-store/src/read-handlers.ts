/** The handlers of read requests of proposers and of anti-entropy: replicas, digests and lists of keys (§6.2, §6.5). */
import { time } from '@thornsail/runtime';
import { readChecked } from './checked-read.js';
import { rangeCount } from './replica-table.js';
import type { StoreContext } from './store-context.js';
import { isOnDisk } from './types.js';
import {
  bodyShapes,
  encodeBareView,
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

/** How many ranges are listed before the event loop gets a turn. */
const rangesPerTurn = 8;
/** The maximum number of keys in one reply to `due`. */
const maxDueKeys = 1024;

/** The first `limit + 1` keys after `after` over all ranges, a few ranges at a time. */
const listAllRanges = async ({ storage, runtime }: StoreContext, after: string, limit: number): Promise<string[]> => {
  let firstKeys: string[] = [];
  for (let range = 0; range < rangeCount; range++) {
    firstKeys = [...firstKeys, ...storage.table.keys(range, after, limit)].sort().slice(0, limit + 1);
    if (range % rangesPerTurn === rangesPerTurn - 1) await time.sleep(runtime.clock, 0);
  }
  return firstKeys;
};
const refusalOf = ({ group }: StoreContext): { ok: false; group: WireGroup | null } => {
  const known = group.group();
  return { ok: false, group: known ? encodeGroup(known) : null };
};

const list = async (context: StoreContext, { after, limit, range }: ListBody): Promise<ListReply> => {
  const { storage, runtime } = context;
  const keys =
    range === undefined ? await listAllRanges(context, after, limit) : storage.table.keys(range, after, limit);
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
      const size = isOnDisk(stored) ? { bytes: stored.bytes } : {};
      return [{ key, accepted, until: stored?.expiresAt ?? 0, touched, ...extended, ...size }];
    }),
  };
};

/** Registers the read handlers. Each first adopts a newer group of the request, which fences older versions (§6.5). */
export const serveReads = (context: StoreContext): void => {
  const { rpc, group, storage, runtime, grace } = context;
  rpc.on<ReadBody>(messages.read, bodyShapes.read, async (body): Promise<WireReply<ReadReply>> => {
    const refusal = await group.check(body);
    if (refusal) return refusal;
    const { keys, key, bare } = body;
    if (keys && bare)
      return group.answer(body, { copies: keys.map((listed) => encodeBareView(storage.getOrEmpty(listed))) });
    const whole = await readChecked(context, body, keys ?? [key!]);
    if (!whole.ok) return whole;
    if (keys) return group.answer(body, { copies: whole.replicas.map(encodeView) });
    return group.answer(body, { copy: encodeReplica(whole.replicas[0]!) });
  });
  rpc.on<Target>(messages.digest, bodyShapes.digest, async (body): Promise<DigestReply> => {
    if (await group.check(body)) return refusalOf(context);
    const digests = Array.from({ length: rangeCount }, (_, range) => storage.table.digest(range));
    // Anti-entropy of the previous release reads from `due` which ranges have replicas to drop; it is always empty.
    return { ok: true, digests, due: [], wall: runtime.clock.wallTime() };
  });
  rpc.on<ListBody>(messages.list, bodyShapes.list, async (body) =>
    (await group.check(body)) ? refusalOf(context) : list(context, body),
  );
  rpc.on<DueBody>(messages.due, bodyShapes.due, async (body): Promise<DueReply> => {
    if (await group.check(body)) return { ok: false };
    const wall = runtime.clock.wallTime();
    return { ok: true, keys: storage.table.due(wall - grace, Math.min(body.limit, maxDueKeys)), wall };
  });
};
