/**
 * The format of consensus messages on the wire and of documents on disk (§3.3, §3.4). It is the format of the previous
 * release: `view` is the term, `seq` the index, `doneSeq` the commit index and `v` a version.
 */
import { address } from '@thornsail/runtime';
import { validate, type Validator } from '@thornsail/rpc';
import type { Member, ReplyMessage, RequestMessage, Snapshot } from './types.js';

/** Encodes and decodes a state for the wire and the disk. `isValid` checks the encoded form before it is decoded. */
export type StateCodec<S> = {
  encode: (state: S) => unknown;
  decode: (encoded: unknown) => S;
  isValid: (encoded: unknown) => boolean;
};
/** A codec that sends and stores a state as it is, without validation. */
export const plainCodec = <S>(): StateCodec<S> => ({
  encode: (state) => state,
  decode: (encoded) => encoded as S,
  isValid: () => true,
});

/** A snapshot in the format of the wire and the disk; its state is encoded too. */
export type EncodedSnapshot = { view: number; seq: number; members: Member[]; state: unknown };
/** The document with the promised term. */
export type TermDocument = { view: number };
/** The document with the member's identity, created at the first start. `possible`: the founders are possible ones. */
export type IdentityDocument = { id: string; founders?: string[]; possible?: boolean };
/** The names of the documents on disk. */
export const documents = { identity: 'identity', term: 'promise', snapshot: 'state' } as const;

const isMembers = validate.arrayOf(validate.object({ id: validate.string, at: address.ok }));
/** Validates an encoded snapshot except for its state, which is validated by the state's codec. */
export const isEncodedSnapshot = validate.object({
  view: validate.integer,
  seq: validate.integer,
  members: isMembers,
  state: validate.anything,
});

/** Encodes a version for the wire and the disk. */
export const encodeSnapshot = <S>(snapshot: Snapshot<S>, codec: StateCodec<S>): EncodedSnapshot => ({
  view: snapshot.term,
  seq: snapshot.index,
  members: snapshot.members,
  state: codec.encode(snapshot.state),
});
/** Decodes a version from the wire or the disk. */
export const decodeSnapshot = <S>(encoded: EncodedSnapshot, codec: StateCodec<S>): Snapshot<S> => ({
  term: encoded.view,
  index: encoded.seq,
  members: encoded.members,
  state: codec.decode(encoded.state),
});

type RequestKind = RequestMessage<unknown>['kind'];
/** The RPC name of each request. */
export const requestNames: Record<RequestKind, string> = {
  append: 'view.order',
  heartbeat: 'view.beat',
  'pre-vote': 'view.canvass',
  vote: 'view.stop',
  discover: 'view.found',
  form: 'view.form',
  resign: 'view.resign',
};

type DiscoverReplyBody = { id: string; formed: boolean; founding?: boolean; possible?: boolean };
type AppendBody = { to: string; v: EncodedSnapshot; doneSeq: number };
type HeartbeatBody = { to: string; view: number; doneSeq: number };

/** The validators of request bodies, by kind. */
export const requestValidators = <S>(codec: StateCodec<S>): Record<RequestKind, Validator> => ({
  append: validate.object({
    to: validate.string,
    v: (body: unknown) => isEncodedSnapshot(body) && codec.isValid((body as EncodedSnapshot).state),
    doneSeq: validate.integer,
  }),
  heartbeat: validate.object({ to: validate.string, view: validate.integer, doneSeq: validate.integer }),
  'pre-vote': validate.object({ view: validate.integer }),
  vote: validate.object({ to: validate.string, view: validate.integer }),
  discover: validate.anything,
  form: validate.object({ members: isMembers }),
  resign: validate.object({ to: validate.string, view: validate.integer }),
});

/** Encodes the body of a request. */
export const encodeRequest = <S>(message: RequestMessage<S>, codec: StateCodec<S>): unknown => {
  switch (message.kind) {
    case 'append':
      return { to: message.to, v: encodeSnapshot(message.snapshot, codec), doneSeq: message.commitIndex };
    case 'heartbeat':
      return { to: message.to, view: message.term, doneSeq: message.commitIndex };
    case 'pre-vote':
      return { view: message.term };
    case 'vote':
    case 'resign':
      return { to: message.to, view: message.term };
    case 'discover':
      return {};
    case 'form':
      return { members: message.members };
  }
};
/** Decodes a request body that has passed the validator of its kind. */
export const decodeRequest = <S>(kind: RequestKind, body: unknown, codec: StateCodec<S>): RequestMessage<S> => {
  switch (kind) {
    case 'append': {
      const { to, v: encoded, doneSeq } = body as AppendBody;
      return { kind, to, snapshot: decodeSnapshot(encoded, codec), commitIndex: doneSeq };
    }
    case 'heartbeat': {
      const { to, view, doneSeq } = body as HeartbeatBody;
      return { kind, to, term: view, commitIndex: doneSeq };
    }
    case 'pre-vote':
      return { kind, term: (body as { view: number }).view };
    case 'vote':
    case 'resign': {
      const { to, view } = body as { to: string; view: number };
      return { kind, to, term: view };
    }
    case 'discover':
      return { kind };
    case 'form':
      return { kind, members: (body as { members: Member[] }).members };
  }
};

/** Encodes the body of a reply. */
export const encodeReply = <S>(reply: ReplyMessage<S>, codec: StateCodec<S>): unknown => {
  switch (reply.kind) {
    case 'append':
    case 'heartbeat':
      return { ok: reply.ok, view: reply.term, seq: reply.index };
    case 'pre-vote':
      return { ok: reply.ok, view: reply.term, unformed: reply.unformed };
    case 'vote':
      return reply.accepted
        ? { ok: reply.ok, view: reply.term, accepted: encodeSnapshot(reply.accepted, codec) }
        : { ok: reply.ok, view: reply.term };
    case 'discover':
      // The previous release knows certain founders only.
      return {
        id: reply.id,
        formed: reply.formed,
        founding: reply.founding === 'certain',
        possible: reply.founding === 'possible',
      };
    case 'form':
    case 'resign':
      return { ok: reply.ok };
  }
};

const isAppendReply = validate.object({ ok: validate.boolean, view: validate.integer, seq: validate.anything });
const isVoteReply = validate.object({ ok: validate.boolean, view: validate.integer });
const isDiscoverReply = validate.object({ id: validate.string, formed: validate.boolean });
const isFormReply = validate.object({ ok: validate.boolean });

/** Decodes the reply to a request of this kind; returns undefined if it is malformed. */
export const decodeReply = <S>(kind: RequestKind, body: unknown, codec: StateCodec<S>): ReplyMessage<S> | undefined => {
  if (kind === 'append' || kind === 'heartbeat') {
    if (!isAppendReply(body)) return undefined;
    const { ok, view, seq } = body as { ok: boolean; view: number; seq: number };
    return { kind, ok, term: view, index: seq };
  }
  if (kind === 'pre-vote') {
    if (!isVoteReply(body)) return undefined;
    const { ok, view, unformed } = body as { ok: boolean; view: number; unformed?: boolean };
    return { kind, ok, term: view, unformed: unformed === true };
  }
  if (kind === 'vote') {
    if (!isVoteReply(body)) return undefined;
    const { ok, view, accepted } = body as { ok: boolean; view: number; accepted?: EncodedSnapshot };
    if (accepted === undefined) return { kind, ok, term: view };
    return isEncodedSnapshot(accepted) && codec.isValid(accepted.state)
      ? { kind, ok, term: view, accepted: decodeSnapshot(accepted, codec) }
      : undefined;
  }
  if (kind === 'discover') {
    if (!isDiscoverReply(body)) return undefined;
    // A release before the previous one does not say whether it is a founder; it is left to form the group.
    const { id, formed, founding, possible } = body as DiscoverReplyBody;
    if (possible === true) return { kind, id, formed, founding: 'possible' };
    return { kind, id, formed, founding: founding === false ? 'none' : 'certain' };
  }
  return isFormReply(body) ? { kind, ok: (body as { ok: boolean }).ok } : undefined;
};
