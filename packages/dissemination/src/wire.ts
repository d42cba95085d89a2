/**
 * The messages of dissemination as they go over the wire (§3.5). The wire has the names of the first release: a version
 * is a `mark`, and updates are `news`.
 */
import { validate } from '@thornsail/rpc';
import type { Digest, Update } from './types.js';

/** The names of the messages. */
export const messageNames = { updates: 'beam.news', checksum: 'beam.sum', digest: 'beam.digest' } as const;

/** Asks whether a peer has the same items: `checksum` is a sum over the sender's digest. */
export type ChecksumRequest = { checksum: number; isLeaf: boolean };
/** Asks for all updates that the sender's digest lacks. */
export type DigestRequest = { digest: Digest; isLeaf: boolean };
/** These updates, and the digest of the peer. */
export type DigestReply = { updates: Update[]; digest: Digest };

type EncodedUpdate = { name: string; mark: number; value: unknown };
type ChecksumBody = { sum: number; leaf: boolean };
type DigestBody = { digest: Digest; leaf: boolean };
type DigestReplyBody = { news: EncodedUpdate[]; digest: Digest };

const isUpdate = validate.object({
  name: validate.string,
  mark: validate.integer,
  value: validate.anything,
});
/** Whether a body is a list of updates. Their values are judged later, by their names. */
export const isUpdates = validate.arrayOf(isUpdate);
/** Whether a body is that of a checksum request. */
export const isChecksumRequest = validate.object({ sum: validate.integer, leaf: validate.boolean });
/** Whether a body is that of a digest request. */
export const isDigestRequest = validate.object({
  digest: validate.recordOf(validate.integer),
  leaf: validate.boolean,
});

/** The body of a message with updates. */
export const encodeUpdates = (updates: Update[]): EncodedUpdate[] =>
  updates.map(({ name, version, value }) => ({ name, mark: version, value }));
/** `body` has passed `isUpdates`. */
export const decodeUpdates = (body: unknown): Update[] =>
  (body as EncodedUpdate[]).map(({ name, mark, value }) => ({ name, version: mark, value }));

/** The body of a checksum request. Its reply is a boolean. */
export const encodeChecksumRequest = ({ checksum, isLeaf }: ChecksumRequest): ChecksumBody => ({
  sum: checksum,
  leaf: isLeaf,
});
/** `body` has passed `isChecksumRequest`. */
export const decodeChecksumRequest = (body: unknown): ChecksumRequest => {
  const { sum, leaf } = body as ChecksumBody;
  return { checksum: sum, isLeaf: leaf };
};

/** The body of a digest request. */
export const encodeDigestRequest = ({ digest, isLeaf }: DigestRequest): DigestBody => ({
  digest,
  leaf: isLeaf,
});
/** `body` has passed `isDigestRequest`. */
export const decodeDigestRequest = (body: unknown): DigestRequest => {
  const { digest, leaf } = body as DigestBody;
  return { digest, isLeaf: leaf };
};

/** The body of the reply to a digest request. */
export const encodeDigestReply = ({ updates, digest }: DigestReply): DigestReplyBody => ({
  news: encodeUpdates(updates),
  digest,
});
/** Without the updates that have not the form of one. It throws if the reply is none. */
export const decodeDigestReply = (body: unknown): DigestReply => {
  const { news, digest } = body as DigestReplyBody;
  return { updates: decodeUpdates(news.filter(isUpdate)), digest };
};
