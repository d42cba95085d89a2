/** The acceptor (§6.2): promises and accepted values, each synced before its reply. */
import { invariant, type Microseconds } from '@thornsail/runtime';
import { ballot } from './ballot.js';
import type { StoreContext } from './store-context.js';
import { effectiveExpiry, type Replica } from './types.js';
import {
  bodyShapes,
  decodeValue,
  encodeReplica,
  encodeView,
  messages,
  type AcceptBody,
  type AcceptReply,
  type ExtendBody,
  type ExtendReply,
  type OpenBody,
  type PrepareBody,
  type PrepareReply,
  type RepairBody,
  type Target,
  type WireReply,
} from './wire.js';

/** An extension stays as long as the replica: one that came with a value may be of a ballot that is never decided. */
const extensionOf = (current: Replica, body: { extended?: Microseconds }): { extendedUntil?: Microseconds } => {
  const extendedUntil = Math.max(current.extendedUntil ?? 0, body.extended ?? 0);
  return extendedUntil > 0 ? { extendedUntil } : {};
};

/** Handles a message that writes one register: bounded, one at a time for each key, and only for the present group. */
const onKey = <B extends Target & { key: string }, T>(
  context: StoreContext,
  name: string,
  isBody: (body: unknown) => boolean,
  handle: (body: B) => Promise<WireReply<T>>,
): void =>
  context.rpc.on<B>(name, isBody, (body) =>
    context.bounded(() =>
      context.exclusive(body.key, async () => (await context.group.check(body)) ?? (await handle(body))),
    ),
  );

const prepare = async (context: StoreContext, body: PrepareBody): Promise<WireReply<PrepareReply>> => {
  const { storage, counts, group, runtime } = context;
  const promised = storage.promisedOf(body.key);
  if (ballot.compare(body.ballot, promised) <= 0) return context.reject(promised);
  const next: Replica = { ...storage.getOrEmpty(body.key), promised: body.ballot, touched: runtime.clock.wallTime() };
  await storage.write(body.key, next);
  counts.prepares += 1;
  // A proposer of the release before takes the whole replica.
  if (!body.lean) return group.answer(body, { copy: encodeReplica(next) });
  const isKnown = body.has && ballot.equals(body.has, next.accepted);
  return group.answer(body, { copy: encodeView(next, !body.bare && !isKnown) });
};

const accept = async (context: StoreContext, body: AcceptBody): Promise<WireReply<AcceptReply>> => {
  const { storage, counts, group, runtime } = context;
  const current = storage.getOrEmpty(body.key);
  const promised = storage.promisedOf(body.key);
  if (ballot.compare(body.ballot, promised) < 0) return context.reject(promised);
  invariant.hold(ballot.compare(body.ballot, current.accepted) >= 0, `register ${body.key} accepted a lower ballot`);
  const next: Replica = {
    promised: body.next ? ballot.max(body.next, body.ballot) : body.ballot,
    accepted: body.ballot,
    stored: decodeValue(body.held),
    touched: runtime.clock.wallTime(),
    ...extensionOf(current, body),
  };
  await storage.write(body.key, next);
  counts.accepts += 1;
  return group.answer(body, body.lean ? {} : { copy: encodeReplica(next) });
};

/** An opening was not prepared: it is taken only where nothing was ever promised (§6.2). */
const open = async (context: StoreContext, body: OpenBody): Promise<WireReply<AcceptReply>> => {
  const { storage, counts, group, runtime } = context;
  if (!group.isFilled()) return { ok: false, why: 'filling' };
  const promised = storage.promisedOf(body.key);
  if (storage.get(body.key) || ballot.compare(body.ballot, promised) <= 0) return context.reject(promised);
  await storage.write(body.key, {
    promised: ballot.max(body.next, body.ballot),
    accepted: ballot.opening(body.op),
    stored: decodeValue(body.held),
    touched: runtime.clock.wallTime(),
  });
  counts.opened += 1;
  return group.answer(body, {});
};

/** A value already agreed on by a majority, brought to a store that has an older one. */
const repair = async (context: StoreContext, body: RepairBody): Promise<WireReply<AcceptReply>> => {
  const { storage, counts, group, runtime } = context;
  const current = storage.getOrEmpty(body.key);
  if (ballot.compare(body.ballot, current.accepted) <= 0) return group.answer(body, { copy: encodeReplica(current) });
  if (!storage.get(body.key) && body.ballot[0] <= storage.floor()) return context.reject(storage.promisedOf(body.key));
  const next: Replica = {
    promised: ballot.max(current.promised, body.ballot),
    accepted: body.ballot,
    stored: decodeValue(body.held),
    touched: runtime.clock.wallTime(),
    ...extensionOf(current, body),
  };
  await storage.write(body.key, next);
  counts.mended += 1;
  return group.answer(body, { copy: encodeReplica(next) });
};

/** Extends the expiry of one value; false if there is none. */
const extendOne = (context: StoreContext, key: string, until: Microseconds): Promise<boolean> =>
  context.exclusive(key, async () => {
    const { storage, counts, runtime } = context;
    const current = storage.get(key);
    if (!current) return false;
    // One that has expired counts as absent: it is not brought back.
    const extendedUntil = current.extendedUntil ?? 0;
    if (effectiveExpiry(current.stored?.expiresAt ?? 0, extendedUntil) <= runtime.clock.wallTime()) return false;
    if (extendedUntil >= until) return true;
    await storage.write(key, { ...current, extendedUntil: until });
    counts.extended += 1;
    return true;
  });

/** Answers what proposers ask of an acceptor. */
export const serveAcceptor = (context: StoreContext): void => {
  const { rpc, group, bounded } = context;
  onKey<PrepareBody, PrepareReply>(context, messages.prepare, bodyShapes.prepare, (body) => prepare(context, body));
  onKey<AcceptBody, AcceptReply>(context, messages.accept, bodyShapes.accept, (body) => accept(context, body));
  onKey<OpenBody, AcceptReply>(context, messages.open, bodyShapes.open, (body) => open(context, body));
  onKey<RepairBody, AcceptReply>(context, messages.repair, bodyShapes.repair, (body) => repair(context, body));
  rpc.on<ExtendBody>(messages.extend, bodyShapes.extend, async (body): Promise<WireReply<ExtendReply>> => {
    const refusal = await group.check(body);
    if (refusal) return refusal;
    const found = await bounded(() => Promise.all(body.keys.map((key) => extendOne(context, key, body.until))));
    return group.answer(body, { found });
  });
};
