/**
 * Encoding of the dissemination messages (§3.5). The wire format has the field names of the first release: `mark` is a
 * version, `news` a list of updates, `sum` a checksum, and `leaf` tells whether the sender is a leaf.
 */
import { validate } from '@thornsail/rpc';
import type { Digest, Update } from './types.js';

/** The RPC methods of dissemination, by their names on the wire. */
export const messageNames = { updates: 'beam.news', checksum: 'beam.sum', digest: 'beam.digest' } as const;

/** Asks whether a peer has the same items; `checksum` is that of the sender's digest. */
export type ChecksumRequest = { checksum: number; isLeaf: boolean };
/** Requests all updates that are missing in the sender's digest. */
export type DigestRequest = { digest: Digest; isLeaf: boolean };
/** The requested updates, and the digest of the responding node. */
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
/** Whether a message body is a list of updates. Their values are validated later, by item name. */
export const isUpdates = validate.arrayOf(isUpdate);
/** Whether a message body is a checksum request. */
export const isChecksumRequest = validate.object({ sum: validate.integer, leaf: validate.boolean });
/** Whether a message body is a digest request. */
export const isDigestRequest = validate.object({
  digest: validate.recordOf(validate.integer),
  leaf: validate.boolean,
});

/** Encodes the body of a message with updates. */
export const encodeUpdates = (updates: Update[]): EncodedUpdate[] =>
  updates.map(({ name, version, value }) => ({ name, mark: version, value }));
/** Decodes a body that has passed `isUpdates`. */
export const decodeUpdates = (body: unknown): Update[] =>
  (body as EncodedUpdate[]).map(({ name, mark, value }) => ({ name, version: mark, value }));

/** Encodes the body of a checksum request. The reply is a boolean: whether the checksums are equal. */
export const encodeChecksumRequest = ({ checksum, isLeaf }: ChecksumRequest): ChecksumBody => ({
  sum: checksum,
  leaf: isLeaf,
});
/** Decodes a body that has passed `isChecksumRequest`. */
export const decodeChecksumRequest = (body: unknown): ChecksumRequest => {
  const { sum, leaf } = body as ChecksumBody;
  return { checksum: sum, isLeaf: leaf };
};

/** Encodes the body of a digest request. */
export const encodeDigestRequest = ({ digest, isLeaf }: DigestRequest): DigestBody => ({
  digest,
  leaf: isLeaf,
});
/** Decodes a body that has passed `isDigestRequest`. */
export const decodeDigestRequest = (body: unknown): DigestRequest => {
  const { digest, leaf } = body as DigestBody;
  return { digest, isLeaf: leaf };
};

/** Encodes the body of the reply to a digest request. */
export const encodeDigestReply = ({ updates, digest }: DigestReply): DigestReplyBody => ({
  news: encodeUpdates(updates),
  digest,
});
/** Decodes a reply, without malformed updates. Throws if the body is not a digest reply. */
export const decodeDigestReply = (body: unknown): DigestReply => {
  const { news, digest } = body as DigestReplyBody;
  return { updates: decodeUpdates(news.filter(isUpdate)), digest };
};
