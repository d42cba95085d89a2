/**
 * Encoding and decoding of the frames between nodes (§3.1). A frame is serialized with devalue and has single-letter
 * field names on the wire; the transport adds the length prefix.
 */
import { parse, stringify } from 'devalue';
import { protocol } from './protocol.js';

/** The type of a frame. A notification has no reply; a request is answered by a response or an error. */
export type FrameType = 'notification' | 'request' | 'response' | 'error';

/** One message from a node to another. */
export type Frame = {
  type: FrameType;
  /** The method name, such as `view.beat`. A response or an error repeats the method of its request. */
  method: string;
  /** Correlates a response or an error with its request. Empty in a notification. */
  requestId: string;
  /** Any value that devalue can serialize; in an error frame, the error text. */
  body: unknown;
};
/** A received frame with the protocol version of its sender. */
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

/** Serializes a frame in the current protocol version. */
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

/** Parses a frame; returns undefined for malformed text. Does not check whether the protocol version is supported. */
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

/** Returns a copy of a body as a peer would receive it, so that a message to the own node shares no objects. */
export const copyBody = (body: unknown): unknown => parse(stringify(body));
