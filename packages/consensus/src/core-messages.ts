/**
 * Requests of any node to the coordinators, and their results (§3.3). The codec maps them to the wire format of the
 * previous releases, which has other names for requests and fields.
 */
import { validate } from '@thornsail/rpc';
import type { Address } from '@thornsail/runtime';
import type { Push, PushResult } from './configuration.js';
import type { RefusalCode } from './errors.js';
import type { AgreedState, JoiningNode } from './agreed-state.js';
import type { Suspicion } from './suspicions.js';
import { nodeCodec, stateCodec, type EncodedJoiningNode } from './state-codec.js';
import type { Member } from './types.js';

/** A request to the coordinators. All requests are idempotent. */
export type CoreRequest =
  | { type: 'push'; push: Push }
  | { type: 'read' }
  | { type: 'join'; node: JoiningNode }
  | { type: 'suspect'; suspicions: Suspicion[] }
  /** Reports that every record is on a majority of the members of this version of the store group (§6.5). */
  | { type: 'sweep-complete'; version: number }
  /** Starts the drain of a store, or cancels it if `on` is false. */
  | { type: 'drain'; id: string; on: boolean };

/** The agreed state with the leader's term, members and additions. */
export type ReadResult<News = unknown> = {
  state: AgreedState;
  term: number;
  members: Member[];
  /** Data of the leader's own, outside the agreed state. */
  news: News | null;
  /** Whether the store group needs no further change; absent if the leader runs the previous release. */
  repaired?: boolean;
};
/** Whether a node has joined, and the newest incarnation known of it. */
export type JoinResult = { ok: boolean; incarnation: number };
/** The value of the agreed result of each request. */
export type CoreValues = {
  push: PushResult;
  read: ReadResult;
  /** Refused if a newer incarnation of the node is known; the result has that incarnation. */
  join: JoinResult;
  suspect: boolean;
  'sweep-complete': boolean;
  drain: boolean;
};
/** The value of the agreed result of a request of type `R`. */
export type CoreValue<R extends CoreRequest> = CoreValues[R['type']];
/** A result; `index` is that of the version that was read or that carries the change. */
export type CoreResult<Value = unknown> =
  | { ok: true; index: number; value: Value }
  | { ok: false; reason: RefusalCode; leader: Address | null; members: Address[] };

/** The RPC name of these requests. */
export const coreRequestName = 'core';

const isEncodedRequest = validate.anyOf(
  validate.object({ op: validate.oneOf('read') }),
  validate.object({
    op: validate.oneOf('push'),
    push: validate.object({
      id: validate.string,
      base: validate.integer,
      revision: validate.optional(validate.integer),
      how: validate.oneOf('whole', 'merge', 'patch'),
      body: validate.anything,
    }),
  }),
  validate.object({ op: validate.oneOf('join'), node: nodeCodec.isEncoded }),
  validate.object({
    op: validate.oneOf('suspect'),
    list: validate.arrayOf(validate.object({ by: validate.string, id: validate.string, inc: validate.integer })),
  }),
  validate.object({ op: validate.oneOf('swept'), mark: validate.integer }),
  validate.object({ op: validate.oneOf('drain'), id: validate.string, on: validate.boolean }),
);

type EncodedSuspicion = { by: string; id: string; inc: number };
/** A request in wire format. */
export type EncodedRequest =
  | { op: 'push'; push: Push }
  | { op: 'read' }
  | { op: 'join'; node: EncodedJoiningNode }
  | { op: 'suspect'; list: EncodedSuspicion[] }
  | { op: 'swept'; mark: number }
  | { op: 'drain'; id: string; on: boolean };

const encodeSuspicion = ({ watcher, id, incarnation }: Suspicion): EncodedSuspicion => ({
  by: watcher,
  id,
  inc: incarnation,
});
const decodeSuspicion = ({ by, id, inc }: EncodedSuspicion): Suspicion => ({ watcher: by, id, incarnation: inc });

const encodeRequest = (request: CoreRequest): EncodedRequest => {
  switch (request.type) {
    case 'push':
      return { op: 'push', push: request.push };
    case 'read':
      return { op: 'read' };
    case 'join':
      return { op: 'join', node: nodeCodec.encodeJoining(request.node) };
    case 'suspect':
      return { op: 'suspect', list: request.suspicions.map(encodeSuspicion) };
    case 'sweep-complete':
      return { op: 'swept', mark: request.version };
    case 'drain':
      return { op: 'drain', id: request.id, on: request.on };
  }
};
const decodeRequest = (encoded: EncodedRequest): CoreRequest => {
  switch (encoded.op) {
    case 'push':
      return { type: 'push', push: encoded.push };
    case 'read':
      return { type: 'read' };
    case 'join':
      return { type: 'join', node: nodeCodec.decodeJoining(encoded.node) };
    case 'suspect':
      return { type: 'suspect', suspicions: encoded.list.map(decodeSuspicion) };
    case 'swept':
      return { type: 'sweep-complete', version: encoded.mark };
    case 'drain':
      return { type: 'drain', id: encoded.id, on: encoded.on };
  }
};

type Unconfirmed = PushResult & { ok: false; why: 'unconfirmed' };
type EncodedUnconfirmed = Omit<Unconfirmed, 'gateways'> & { fronts: string[] };
type EncodedPushResult = Exclude<PushResult, Unconfirmed> | EncodedUnconfirmed;
const encodePushResult = (result: PushResult): EncodedPushResult =>
  !result.ok && result.why === 'unconfirmed'
    ? { ok: false, why: result.why, mark: result.mark, fronts: result.gateways }
    : result;
const decodePushResult = (encoded: EncodedPushResult): PushResult =>
  !encoded.ok && encoded.why === 'unconfirmed'
    ? { ok: false, why: encoded.why, mark: encoded.mark, gateways: encoded.fronts }
    : encoded;

type EncodedJoinResult = { ok: boolean; inc: number };
const encodeJoinResult = ({ ok, incarnation }: JoinResult): EncodedJoinResult => ({ ok, inc: incarnation });
const decodeJoinResult = ({ ok, inc }: EncodedJoinResult): JoinResult => ({ ok, incarnation: inc });

type EncodedReadResult = Omit<ReadResult, 'state' | 'term'> & { state: unknown; view: number };
const encodeReadResult = ({ state, term, members, news, repaired }: ReadResult): EncodedReadResult => {
  const encoded = { state: stateCodec.encode(state), view: term, members, news };
  return repaired === undefined ? encoded : { ...encoded, repaired };
};
const decodeReadResult = ({ state, view, members, news, repaired }: EncodedReadResult): ReadResult => {
  const decoded = { state: stateCodec.decode(state), term: view, members, news };
  return repaired === undefined ? decoded : { ...decoded, repaired };
};

const encodeValue = (type: CoreRequest['type'], value: unknown): unknown => {
  if (type === 'push') return encodePushResult(value as PushResult);
  if (type === 'join') return encodeJoinResult(value as JoinResult);
  return type === 'read' ? encodeReadResult(value as ReadResult) : value;
};
const decodeValue = (type: CoreRequest['type'], encoded: unknown): unknown => {
  if (type === 'push') return decodePushResult(encoded as EncodedPushResult);
  if (type === 'join') return decodeJoinResult(encoded as EncodedJoinResult);
  return type === 'read' ? decodeReadResult(encoded as EncodedReadResult) : encoded;
};

/** Names of refusals in wire format. */
const encodedReasons = { 'not-leader': 'moved', 'outcome-unknown': 'unknown' } as const;
const decodedReasons = { moved: 'not-leader', unknown: 'outcome-unknown' } as const;

/** A result in wire format. */
export type EncodedResult =
  | { ok: true; seq: number; value: unknown }
  | { ok: false; why: 'moved' | 'unknown'; head: Address | null; towers: Address[] };

const encodeResult = (type: CoreRequest['type'], result: CoreResult): EncodedResult =>
  result.ok
    ? { ok: true, seq: result.index, value: encodeValue(type, result.value) }
    : { ok: false, why: encodedReasons[result.reason], head: result.leader, towers: result.members };
const decodeResult = <R extends CoreRequest>(request: R, encoded: EncodedResult): CoreResult<CoreValue<R>> =>
  encoded.ok
    ? { ok: true, index: encoded.seq, value: decodeValue(request.type, encoded.value) as CoreValue<R> }
    : { ok: false, reason: decodedReasons[encoded.why], leader: encoded.head, members: encoded.towers };

/** Encodes, decodes and validates requests to the coordinators and their results. */
export const coreCodec = { isEncodedRequest, encodeRequest, decodeRequest, encodeResult, decodeResult };
