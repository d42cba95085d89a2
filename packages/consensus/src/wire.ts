// The form that consensus messages and documents have between nodes and on disk (§3.3, §3.4). It is that of the release
// before: `view` is the term, `seq` the index.
import { place } from '@thornsail/runtime';
import { shape, type Shape } from '@thornsail/rpc';
import type { Member, ReplyMessage, RequestMessage, Snapshot } from './types.js';

/** A snapshot between nodes and on disk. */
export type Marked<S> = { view: number; seq: number; members: Member[]; state: S };
/** The promised term on disk. */
export type TermDocument = { view: number };
/** The identity on disk, made at the first start. */
export type IdentityDocument = { id: string };
/** The names of the documents on disk. */
export const documents = { identity: 'identity', term: 'promise', snapshot: 'state' } as const;

const isMembers = shape.list(shape.has({ id: shape.text, at: place.ok }));
/** A snapshot by its marks; what its state must be is for its owner to say. */
export const isMarked = shape.has({ view: shape.whole, seq: shape.whole, members: isMembers, state: shape.any });

/** A version in the form for other nodes and the disk. */
export const toMarked = <S>(snapshot: Snapshot<S>): Marked<S> => ({
  view: snapshot.term,
  seq: snapshot.index,
  members: snapshot.members,
  state: snapshot.state,
});
/** A version from the form for other nodes and the disk. */
export const fromMarked = <S>(marked: Marked<S>): Snapshot<S> => ({
  term: marked.view,
  index: marked.seq,
  members: marked.members,
  state: marked.state,
});

type RequestKind = RequestMessage<unknown>['kind'];
/** The name of each request between nodes. */
export const requestNames: Record<RequestKind, string> = {
  append: 'view.order',
  heartbeat: 'view.beat',
  'pre-vote': 'view.canvass',
  vote: 'view.stop',
  discover: 'view.found',
  form: 'view.form',
  resign: 'view.resign',
};

type AppendBody<S> = { to: string; v: Marked<S>; doneSeq: number };
type HeartbeatBody = { to: string; view: number; doneSeq: number };

/** The shapes of the bodies of requests; `isState` checks the state in a version. */
export const requestShapes = (isState: (state: unknown) => boolean): Record<RequestKind, Shape> => ({
  append: shape.has({
    to: shape.text,
    v: (body: unknown) => isMarked(body) && isState((body as Marked<unknown>).state),
    doneSeq: shape.whole,
  }),
  heartbeat: shape.has({ to: shape.text, view: shape.whole, doneSeq: shape.whole }),
  'pre-vote': shape.has({ view: shape.whole }),
  vote: shape.has({ to: shape.text, view: shape.whole }),
  discover: shape.any,
  form: shape.has({ members: isMembers }),
  resign: shape.has({ to: shape.text, view: shape.whole }),
});

/** The body of a request. */
export const encodeRequest = <S>(message: RequestMessage<S>): unknown => {
  switch (message.kind) {
    case 'append':
      return { to: message.to, v: toMarked(message.snapshot), doneSeq: message.commitIndex };
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
/** `body` has been checked against the shape of its kind. */
export const decodeRequest = <S>(kind: RequestKind, body: unknown): RequestMessage<S> => {
  switch (kind) {
    case 'append': {
      const { to, v, doneSeq } = body as AppendBody<S>;
      return { kind, to, snapshot: fromMarked(v), commitIndex: doneSeq };
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

/** The body of a reply. */
export const encodeReply = <S>(reply: ReplyMessage<S>): unknown => {
  switch (reply.kind) {
    case 'append':
    case 'heartbeat':
      return { ok: reply.ok, view: reply.term, seq: reply.index };
    case 'pre-vote':
      return { ok: reply.ok, view: reply.term, unformed: reply.unformed };
    case 'vote':
      return reply.accepted
        ? { ok: reply.ok, view: reply.term, accepted: toMarked(reply.accepted) }
        : { ok: reply.ok, view: reply.term };
    case 'discover':
      return { id: reply.id, formed: reply.formed };
    case 'form':
    case 'resign':
      return { ok: reply.ok };
  }
};

const isAppendReply = shape.has({ ok: shape.flag, view: shape.whole, seq: shape.any });
const isVoteReply = shape.has({ ok: shape.flag, view: shape.whole });
const isDiscoverReply = shape.has({ id: shape.text, formed: shape.flag });
const isFormReply = shape.has({ ok: shape.flag });

/** A reply to a request of this kind, or nothing if it has another shape. */
export const decodeReply = <S>(
  kind: RequestKind,
  body: unknown,
  isState: (state: unknown) => boolean,
): ReplyMessage<S> | undefined => {
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
    const { ok, view, accepted } = body as { ok: boolean; view: number; accepted?: Marked<S> };
    if (accepted === undefined) return { kind, ok, term: view };
    return isMarked(accepted) && isState(accepted.state)
      ? { kind, ok, term: view, accepted: fromMarked(accepted) }
      : undefined;
  }
  if (kind === 'discover') {
    if (!isDiscoverReply(body)) return undefined;
    const { id, formed } = body as { id: string; formed: boolean };
    return { kind, id, formed };
  }
  return isFormReply(body) ? { kind, ok: (body as { ok: boolean }).ok } : undefined;
};
