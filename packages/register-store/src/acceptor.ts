/** The Paxos acceptor (§6.2): stores promises and accepted values, and syncs each to disk before its reply. */
import { invariant, type Microseconds } from '@thornsail/runtime';
import { ballot } from './ballot.js';
import { readChecked } from './checked-read.js';
import type { StoreContext } from './store-context.js';
import { effectiveExpiry, type Replica, type ResidentReplica } from './types.js';
import {
  bodyShapes,
  decodeValue,
  encodeBareView,
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
  type WireRefusal,
  type WireReply,
} from './wire.js';

/**
 * The extension to store with a new value: the later one of the replica and the request. A new value never shortens an
 * extension, because the ballot that carries it may never be decided.
 */
const latestExtension = (
  current: ResidentReplica,
  body: { extended?: Microseconds },
): { extendedUntil?: Microseconds } => {
  const extendedUntil = Math.max(current.extendedUntil ?? 0, body.extended ?? 0);
  return extendedUntil > 0 ? { extendedUntil } : {};
};

/**
 * Registers the handler of a message that writes one register. Requests for the same key run one at a time, the total
 * is bounded, and requests for another group than the current one are refused.
 */
const onRegisterWrite = <Body extends Target & { key: string }, T>(
  context: StoreContext,
  name: string,
  isBody: (body: unknown) => boolean,
  handle: (body: Body) => Promise<WireReply<T>>,
): void =>
  context.rpc.on<Body>(name, isBody, (body) =>
    context.bounded(() =>
      context.exclusive(body.key, async () => (await context.group.check(body)) ?? (await handle(body))),
    ),
  );

const prepare = async (context: StoreContext, body: PrepareBody): Promise<WireReply<PrepareReply>> => {
  const { storage, counts, group, runtime } = context;
  const promised = storage.promisedOf(body.key);
  if (ballot.compare(body.ballot, promised) <= 0) return context.reject(promised);
  const current = await readChecked(context, body, [body.key]);
  if (!current.ok) return current;
  const next: Replica = { ...current.replicas[0]!, promised: body.ballot, touched: runtime.clock.wallTime() };
  await storage.write(body.key, next);
  counts.prepares += 1;
  // A proposer of the previous release expects the whole replica.
  if (!body.lean) return group.answer(body, { copy: encodeReplica(next) });
  const proposerHasValue = body.has && ballot.equals(body.has, next.accepted);
  return group.answer(body, { copy: body.bare || proposerHasValue ? encodeBareView(next) : encodeView(next) });
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
    ...latestExtension(current, body),
  };
  await storage.write(body.key, next);
  counts.accepts += 1;
  return group.answer(body, body.lean ? {} : { copy: encodeReplica(next) });
};

/**
 * Accepts an opening. It had no prepare round, so it is accepted only if nothing was ever promised for the key (§6.2).
 */
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

/** Replaces an older replica by a value that a majority has already accepted. */
const repair = async (context: StoreContext, body: RepairBody): Promise<WireReply<AcceptReply>> => {
  const { storage, counts, group, runtime } = context;
  const current = storage.getOrEmpty(body.key);
  if (ballot.compare(body.ballot, current.accepted) <= 0) {
    const whole = await readChecked(context, body, [body.key]);
    return whole.ok ? group.answer(body, { copy: encodeReplica(whole.replicas[0]!) }) : whole;
  }
  if (!storage.get(body.key) && body.ballot[0] <= storage.floor()) return context.reject(storage.promisedOf(body.key));
  const next: Replica = {
    promised: ballot.max(current.promised, body.ballot),
    accepted: body.ballot,
    stored: decodeValue(body.held),
    touched: runtime.clock.wallTime(),
    ...latestExtension(current, body),
  };
  await storage.write(body.key, next);
  counts.mended += 1;
  return group.answer(body, { copy: encodeReplica(next) });
};

/** Extends the expiry of one value; false if the key has no value. */
const extendOne = (context: StoreContext, body: ExtendBody, key: string): Promise<boolean | WireRefusal> =>
  context.exclusive(key, async () => {
    const { storage, counts, runtime } = context;
    const { until } = body;
    const current = storage.get(key);
    if (!current) return false;
    // An expired value counts as absent; an extension must not bring it back.
    const extendedUntil = current.extendedUntil ?? 0;
    if (effectiveExpiry(current.stored?.expiresAt ?? 0, extendedUntil) <= runtime.clock.wallTime()) return false;
    if (extendedUntil >= until) return true;
    const whole = await readChecked(context, body, [key]);
    if (!whole.ok) return whole;
    await storage.write(key, { ...whole.replicas[0]!, extendedUntil: until });
    counts.extended += 1;
    return true;
  });

/** Registers the handlers of the requests that write registers or extend their expiry. */
export const serveAcceptor = (context: StoreContext): void => {
  const { rpc, group, bounded } = context;
  onRegisterWrite<PrepareBody, PrepareReply>(context, messages.prepare, bodyShapes.prepare, (body) =>
    prepare(context, body),
  );
  onRegisterWrite<AcceptBody, AcceptReply>(context, messages.accept, bodyShapes.accept, (body) =>
    accept(context, body),
  );
  onRegisterWrite<OpenBody, AcceptReply>(context, messages.open, bodyShapes.open, (body) => open(context, body));
  onRegisterWrite<RepairBody, AcceptReply>(context, messages.repair, bodyShapes.repair, (body) =>
    repair(context, body),
  );
  rpc.on<ExtendBody>(messages.extend, bodyShapes.extend, async (body): Promise<WireReply<ExtendReply>> => {
    const refusal = await group.check(body);
    if (refusal) return refusal;
    const results = await bounded(() => Promise.all(body.keys.map((key) => extendOne(context, body, key))));
    const found: boolean[] = [];
    for (const result of results) {
      if (typeof result !== 'boolean') return result;
      found.push(result);
    }
    return group.answer(body, { found });
  });
};
