/** The endpoint through which a node talks to its peers: requests and notifications over framed connections (§3.1). */
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';
import { encodeFrame, type Frame } from './frame.js';
import { openHandlers, type Handler } from './handlers.js';
import { openPendingRequests } from './pending-requests.js';
import { openReceiver } from './receiver.js';
import { openSender, requestIds } from './sender.js';
import type { Validator } from './validate.js';

/** An open endpoint. Times are in microseconds; requests fail with the codes of `rpcErrors`. */
export type Rpc = {
  /** The address at which this endpoint is reached, and by which its peers know it. */
  at: Address;
  /** Sends a message without a response. It may be lost. */
  notify: (to: Address, method: string, body: unknown) => void;
  /** The same to several peers, encoded once. */
  notifyAll: (peers: readonly Address[], method: string, body: unknown) => void;
  /** Sends a request and waits for its response, for 500 ms unless another time is given. */
  request: <Result>(to: Address, method: string, body: unknown, timeout?: Microseconds) => Promise<Result>;
  /** The same request to several peers, encoded once; one promise for each, in their order. */
  requestAll: <Result>(peers: Address[], method: string, body: unknown, timeout?: Microseconds) => Promise<Result>[];
  /** Sets the handler of a message. A body that does not pass `isValid` is rejected before the handler sees it. */
  on: <Body>(method: string, isValid: Validator, handler: Handler<Body>) => void;
  /** How many frames were sent to other nodes, and how many came from them. */
  counts: () => { sent: number; got: number };
  /** Nothing is sent or handled any more. Pending requests end by their timeouts. */
  close: () => Promise<void>;
};

/** Opens endpoints. */
export const rpc = {
  /** Listens at `at` (port 0: any free one). */
  open: async (runtime: Runtime, at: Address): Promise<Rpc> => {
    const log = runtime.log('rpc');
    const counts = { sent: 0, got: 0 };
    const handlers = openHandlers();
    const pending = openPendingRequests(runtime.clock);
    const nextRequestId = requestIds(runtime.rand);
    let closed = false;
    const sendText = (to: Address, text: string): void => {
      if (closed) return;
      counts.sent += 1;
      transport.send(to, text);
    };
    const reply = (to: Address, frame: Frame): void => {
      if (!closed) sendText(to, encodeFrame(frame));
    };
    const receive = openReceiver({ handlers, pending, reply, log });
    const onFrame = (from: Address, text: string): boolean => {
      if (closed) return true;
      counts.got += 1;
      return receive(from, text);
    };
    const onBroken = (from: Address, reason: string): void => log(`broke off the connection from ${from}: ${reason}.`);
    const transport = await runtime.net.openFrameTransport(at, onFrame, pending.connectionLost, onBroken);
    const self = transport.at;
    const isClosed = (): boolean => closed;
    const sender = openSender({ self, handlers, pending, nextRequestId, sendText, isClosed });
    return {
      at: self,
      notify: (to, method, body) => sender.notifyAll([to], method, body),
      notifyAll: sender.notifyAll,
      request: <Result>(to: Address, method: string, body: unknown, timeout?: Microseconds) =>
        sender.requestAll<Result>([to], method, body, timeout)[0]!,
      requestAll: sender.requestAll,
      on: handlers.add,
      counts: () => ({ ...counts }),
      close: async () => {
        closed = true;
        await transport.close();
      },
    };
  },
};
