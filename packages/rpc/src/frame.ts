/**
 * The frames between nodes, and their form on the wire (§3.1): devalue, with single letters for the names of fields.
 * The transport adds the length.
 */
import { parse, stringify } from 'devalue';
import { protocol } from './protocol.js';

/** What a frame is for: a notification has no response, a request has a response or an error. */
export type FrameType = 'notification' | 'request' | 'response' | 'error';

/** What one node sends to another in one piece. */
export type Frame = {
  type: FrameType;
  /** The name of the message, such as `view.beat`. A response or an error carries that of its request. */
  method: string;
  /** The request that a response or an error belongs to. Empty in a notification. */
  requestId: string;
  /** Whatever devalue can express; the text of an error. */
  body: unknown;
};
/** A frame as it came, with the protocol version of its sender. */
export type ReceivedFrame = Frame & { protocolVersion: number };

type WireType = 'tell' | 'ask' | 'result' | 'fault';
type WireFrame = { p: number; k: WireType; t: string; n: string; b: unknown };

const wireTypes: Record<FrameType, WireType> = {
  notification: 'tell',
  request: 'ask',
  response: 'result',
  error: 'fault',
};
const frameTypes = new Map<unknown, FrameType>(
  Object.entries(wireTypes).map(([type, wireType]) => [wireType, type as FrameType]),
);

/** The text of a frame, in the current protocol version. */
export const encodeFrame = ({ type, method, requestId, body }: Frame): string => {
  const frame: WireFrame = { p: protocol.current, k: wireTypes[type], t: method, n: requestId, b: body };
  return stringify(frame);
};

const isWireFrame = (value: Partial<WireFrame> | null): value is WireFrame =>
  value !== null &&
  Number.isInteger(value?.p) &&
  frameTypes.has(value.k) &&
  typeof value.t === 'string' &&
  typeof value.n === 'string';

/** A frame from its text; undefined if the text is damaged. The protocol version is not judged here. */
export const decodeFrame = (text: string): ReceivedFrame | undefined => {
  try {
    const frame = parse(text) as Partial<WireFrame> | null;
    if (!isWireFrame(frame)) return undefined;
    const { p, k, t, n, b } = frame;
    return { protocolVersion: p, type: frameTypes.get(k)!, method: t, requestId: n, body: b };
  } catch {
    return undefined;
  }
};

/** A body as a peer would get it: what a node sends to itself must not share objects with the sender. */
export const copyBody = (body: unknown): unknown => parse(stringify(body));
