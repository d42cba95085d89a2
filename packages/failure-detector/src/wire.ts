/** Encoding of the heartbeat message (§3.2). The wire field `inc` is the incarnation. */
import { validate } from '@thornsail/rpc';

/** The RPC method of a heartbeat, by its name on the wire. */
export const heartbeatName = 'beat';

/** A notification that a node is alive. */
export type Heartbeat = { id: string; incarnation: number };

type HeartbeatBody = { id: string; inc: number };

/** Whether a message body is a heartbeat. */
export const isHeartbeat = validate.object({ id: validate.string, inc: validate.integer });

/** Encodes the body of a heartbeat. */
export const encodeHeartbeat = ({ id, incarnation }: Heartbeat): HeartbeatBody => ({ id, inc: incarnation });

/** Decodes a body that has passed `isHeartbeat`. */
export const decodeHeartbeat = (body: unknown): Heartbeat => {
  const { id, inc } = body as HeartbeatBody;
  return { id, incarnation: inc };
};
