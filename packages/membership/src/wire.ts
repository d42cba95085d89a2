/**
 * Encoding of the hello message (§3.2). On the wire `place` is an address, `order` the agreed state, and `role` a role
 * name as `roleCodec` of `consensus` encodes it.
 */
import { roleCodec, type EncodedRole, type EncodedSnapshot, type NodeRole } from '@thornsail/consensus';
import { validate } from '@thornsail/rpc';
import { address, type Address } from '@thornsail/runtime';

/** The RPC method of a hello, by its name on the wire. */
export const helloName = 'hello';

/** The address of a node, and its role if known. */
export type KnownNode = { address: Address; role: NodeRole | undefined };
/** The reply to a hello: the nodes that the peer knows, and its newest agreed state, still encoded. */
export type HelloReply = { known: KnownNode[]; snapshot: EncodedSnapshot | undefined };

/** The role is empty if it is not known. */
type HelloBody = { place: Address; role: EncodedRole | '' };
type HelloReplyBody = { known: HelloBody[]; order: EncodedSnapshot | null };

/** Whether a message body is a hello. */
export const isHello = validate.object({
  place: address.ok,
  role: validate.anyOf(roleCodec.isEncoded, validate.oneOf('')),
});

/** Encodes the body of a hello, which describes the sender. Also encodes the nodes in a reply. */
export const encodeHello = ({ address: place, role }: KnownNode): HelloBody => ({
  place,
  role: role === undefined ? '' : roleCodec.encode(role),
});
/** Decodes a body that has passed `isHello`, or a node in a reply. */
export const decodeHello = (body: unknown): KnownNode => {
  const { place, role } = body as HelloBody;
  return { address: place, role: roleCodec.decode(role) };
};

/** Encodes the body of the reply to a hello. */
export const encodeHelloReply = ({ known, snapshot }: HelloReply): HelloReplyBody => ({
  known: known.map(encodeHello),
  order: snapshot ?? null,
});
/** Decodes a reply to a hello. Throws if the body is malformed. */
export const decodeHelloReply = (body: unknown): HelloReply => {
  const { known, order } = body as HelloReplyBody;
  return { known: known.map(decodeHello), snapshot: order ?? undefined };
};
