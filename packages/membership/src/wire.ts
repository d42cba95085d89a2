/**
 * The hello message as it goes over the wire (§3.2). An address is a `place` there, the agreed state an `order`, and
 * roles have the encoded names of `consensus`.
 */
import { roleCodec, type EncodedRole, type EncodedSnapshot, type NodeRole } from '@thornsail/consensus';
import { validate } from '@thornsail/rpc';
import { address, type Address } from '@thornsail/runtime';

/** The name of the message. */
export const helloName = 'hello';

/** An address at which a node may be found, and its role if that is known. */
export type KnownNode = { address: Address; role: NodeRole | undefined };
/** The answer to a hello: whom the peer knows, and the newest agreed state that it has, still encoded. */
export type HelloReply = { known: KnownNode[]; snapshot: EncodedSnapshot | undefined };

/** An unknown role is empty. */
type HelloBody = { place: Address; role: EncodedRole | '' };
type HelloReplyBody = { known: HelloBody[]; order: EncodedSnapshot | null };

/** Whether a body is that of a hello. */
export const isHello = validate.object({
  place: address.ok,
  role: validate.anyOf(roleCodec.isEncoded, validate.oneOf('')),
});

/** The body of a hello: the sender itself. */
export const encodeHello = ({ address: place, role }: KnownNode): HelloBody => ({
  place,
  role: role === undefined ? '' : roleCodec.encode(role),
});
/** `body` has passed `isHello`, or is part of a reply. */
export const decodeHello = (body: unknown): KnownNode => {
  const { place, role } = body as HelloBody;
  return { address: place, role: roleCodec.decode(role) };
};

/** The body of the reply to a hello. */
export const encodeHelloReply = ({ known, snapshot }: HelloReply): HelloReplyBody => ({
  known: known.map(encodeHello),
  order: snapshot ?? null,
});
/** It throws if the reply has not the form of one. */
export const decodeHelloReply = (body: unknown): HelloReply => {
  const { known, order } = body as HelloReplyBody;
  return { known: known.map(decodeHello), snapshot: order ?? undefined };
};
