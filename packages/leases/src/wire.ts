/**
 * The messages of leases as they go over the wire (§3.6). The wire has the names of the first release: a lease is a
 * `duty`, its holder `by`, the fencing token `mark`, and the time left `left`.
 */
import type { Microseconds } from '@thornsail/runtime';
import { validate } from '@thornsail/rpc';

/** The names of the messages. */
export const messageNames = { grant: 'watch.ballot', release: 'watch.leave' } as const;

/** Asks a voter for its grant, or for the extension of one. */
export type GrantRequest = { lease: string; holder: string; fencingToken: number };
/** What a voter says to that. */
export type GrantReply = {
  granted: boolean;
  /** The highest token that this voter has granted for the lease; 0 if it knows of none. */
  fencingToken: number;
  /** Who has the voter's grant; null if nobody has, or if the voter abstains. */
  holder: string | null;
  /** For how long the grant lasts, or for how long the voter abstains. */
  remaining: Microseconds;
};
/** Gives a grant back before its end. */
export type ReleaseMessage = {
  lease: string;
  holder: string;
  /** The token of the grant that is given back. Holders of the first release do not say it. */
  fencingToken: number | undefined;
};

type GrantRequestBody = { duty: string; by: string; mark: number };
type GrantReplyBody = { ok: boolean; mark: number; by: string | null; left: Microseconds };
type ReleaseBody = { duty: string; by: string; mark?: number | null };

/** Whether a body is that of a grant request. */
export const isGrantRequest = validate.object({
  duty: validate.string,
  by: validate.string,
  mark: validate.integer,
});
/** Whether a body is that of a release. */
export const isRelease = validate.object({
  duty: validate.string,
  by: validate.string,
  mark: validate.optional(validate.integer),
});

/** The body of a grant request. A release has the same. */
export const encodeGrantRequest = ({ lease, holder, fencingToken }: GrantRequest): GrantRequestBody => ({
  duty: lease,
  by: holder,
  mark: fencingToken,
});
/** `body` has passed `isGrantRequest`. */
export const decodeGrantRequest = (body: unknown): GrantRequest => {
  const { duty, by, mark } = body as GrantRequestBody;
  return { lease: duty, holder: by, fencingToken: mark };
};

/** The body of a reply to a grant request. */
export const encodeGrantReply = (reply: GrantReply): GrantReplyBody => ({
  ok: reply.granted,
  mark: reply.fencingToken,
  by: reply.holder,
  left: reply.remaining,
});
/** A reply to a grant request; undefined if there is none. */
export const decodeGrantReply = (body: unknown): GrantReply | undefined => {
  if (!body) return undefined;
  const { ok, mark, by, left } = body as GrantReplyBody;
  return { granted: ok, fencingToken: mark, holder: by, remaining: left };
};

/** The body of a release. */
export const encodeRelease = (grant: GrantRequest): ReleaseBody => encodeGrantRequest(grant);
/** `body` has passed `isRelease`. */
export const decodeRelease = (body: unknown): ReleaseMessage => {
  const { duty, by, mark } = body as ReleaseBody;
  return { lease: duty, holder: by, fencingToken: mark ?? undefined };
};
