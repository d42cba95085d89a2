/** The heartbeat as it goes over the wire (§3.2). An incarnation is `inc` there. */
import { validate } from '@thornsail/rpc';

/** The name of the message. */
export const heartbeatName = 'beat';

/** Says that a node lives. */
export type Heartbeat = { id: string; incarnation: number };

type HeartbeatBody = { id: string; inc: number };

/** Whether a body is that of a heartbeat. */
export const isHeartbeat = validate.object({ id: validate.string, inc: validate.integer });

/** The body of a heartbeat. */
export const encodeHeartbeat = ({ id, incarnation }: Heartbeat): HeartbeatBody => ({ id, inc: incarnation });

/** `body` has passed `isHeartbeat`. */
export const decodeHeartbeat = (body: unknown): Heartbeat => {
  const { id, inc } = body as HeartbeatBody;
  return { id, incarnation: inc };
};
