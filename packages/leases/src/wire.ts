/**
 * Encoding of the lease messages (§3.6). The wire format has the field names of the first release: `duty` is the lease,
 * `by` its holder, `mark` the fencing token, and `left` the remaining time.
 */
import type { Microseconds } from '@thornsail/runtime';
import { validate } from '@thornsail/rpc';

/** The RPC methods of leases, by their names on the wire. */
export const messageNames = { grant: 'watch.ballot', release: 'watch.leave' } as const;

/** A request to a voter to grant a lease or to extend a grant. */
export type GrantRequest = { lease: string; holder: string; fencingToken: number };
/** The reply of a voter to a grant request. */
export type GrantReply = {
  granted: boolean;
  /** The highest token that this voter has granted for the lease; 0 if it has granted none since its start. */
  fencingToken: number;
  /** The holder of the voter's grant; null if there is none, or if the voter abstains. */
  holder: string | null;
  /** The remaining time of the grant, or the time for which the voter abstains, in microseconds. */
  remaining: Microseconds;
};
/** A notification that ends a grant before its expiry. */
export type ReleaseMessage = {
  lease: string;
  holder: string;
  /** The token of the released grant. Holders of the first release do not send it. */
  fencingToken: number | undefined;
};

type GrantRequestBody = { duty: string; by: string; mark: number };
type GrantReplyBody = { ok: boolean; mark: number; by: string | null; left: Microseconds };
type ReleaseBody = { duty: string; by: string; mark?: number | null };

/** Whether a message body is a grant request. */
export const isGrantRequest = validate.object({
  duty: validate.string,
  by: validate.string,
  mark: validate.integer,
});
/** Whether a message body is a release. */
export const isRelease = validate.object({
  duty: validate.string,
  by: validate.string,
  mark: validate.optional(validate.integer),
});

/** Encodes the body of a grant request. */
export const encodeGrantRequest = ({ lease, holder, fencingToken }: GrantRequest): GrantRequestBody => ({
  duty: lease,
  by: holder,
  mark: fencingToken,
});
/** Decodes a body that has passed `isGrantRequest`. */
export const decodeGrantRequest = (body: unknown): GrantRequest => {
  const { duty, by, mark } = body as GrantRequestBody;
  return { lease: duty, holder: by, fencingToken: mark };
};

/** Encodes the body of the reply to a grant request. */
export const encodeGrantReply = (reply: GrantReply): GrantReplyBody => ({
  ok: reply.granted,
  mark: reply.fencingToken,
  by: reply.holder,
  left: reply.remaining,
});
/** Decodes the reply to a grant request; returns undefined if there is no reply. */
export const decodeGrantReply = (body: unknown): GrantReply | undefined => {
  if (!body) return undefined;
  const { ok, mark, by, left } = body as GrantReplyBody;
  return { granted: ok, fencingToken: mark, holder: by, remaining: left };
};

/** Encodes the body of a release, which has the same fields as a grant request. */
export const encodeRelease = (grant: GrantRequest): ReleaseBody => encodeGrantRequest(grant);
/** Decodes a body that has passed `isRelease`. */
export const decodeRelease = (body: unknown): ReleaseMessage => {
  const { duty, by, mark } = body as ReleaseBody;
  return { lease: duty, holder: by, fencingToken: mark ?? undefined };
};
