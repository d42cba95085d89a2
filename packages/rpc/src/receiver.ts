/** Dispatches received frames: requests and notifications to handlers, replies to their pending requests (§3.1). */
import { fault, type Address, type Log } from '@thornsail/runtime';
import { decodeFrame, type Frame, type ReceivedFrame } from './frame.js';
import type { Handlers } from './handlers.js';
import type { PendingRequests } from './pending-requests.js';
import { protocol } from './protocol.js';

/** The dependencies of a receiver. */
export type ReceiverOptions = {
  handlers: Handlers;
  pending: PendingRequests;
  /** Sends a response or error frame. */
  reply: (to: Address, frame: Frame) => void;
  log: Log;
};
/** Processes the text of one frame. Returns false if it is malformed; the transport then closes the connection. */
export type Receiver = (from: Address, text: string) => boolean;

const isSupported = (version: number): boolean => version >= protocol.oldest && version <= protocol.current;

/** Creates the receiver of one endpoint. */
export const openReceiver = ({ handlers, pending, reply, log }: ReceiverOptions): Receiver => {
  const replyTo = (from: Address, request: Frame, type: 'response' | 'error', body: unknown): void =>
    reply(from, { type, method: request.method, requestId: request.requestId, body });
  /** Replies with an error to a request; a rejected notification gets no reply. */
  const reject = (from: Address, frame: Frame, reason: string): void => {
    if (frame.type === 'request') replyTo(from, frame, 'error', reason);
  };
  const rejectVersion = (from: Address, frame: ReceivedFrame): void => {
    const version = frame.protocolVersion;
    log(`rejected a frame with unsupported protocol version ${version} from ${from}.`);
    // This text is sent to the peer. It is the text of the previous release, which calls a version a mark.
    reject(from, frame, `protocol mark ${version} is not spoken here (${protocol.oldest} to ${protocol.current})`);
  };
  const handle = (from: Address, frame: Frame): void => {
    const { type, method, body } = frame;
    const handler = handlers.find(method);
    if (!handler) return reject(from, frame, `no such message: ${method}`);
    const handled = Promise.resolve().then(() => handler(body, from));
    if (type === 'notification')
      return void handled.catch((error) => log(`notification ${method} from ${from} failed: ${fault.text(error)}.`));
    handled.then(
      (result) => replyTo(from, frame, 'response', result),
      (error) => replyTo(from, frame, 'error', fault.text(error)),
    );
  };
  return (from, text) => {
    const frame = decodeFrame(text);
    if (!frame) return false;
    if (frame.type === 'response' || frame.type === 'error') pending.settle(from, frame);
    else if (!isSupported(frame.protocolVersion)) rejectVersion(from, frame);
    else handle(from, frame);
    return true;
  };
};
