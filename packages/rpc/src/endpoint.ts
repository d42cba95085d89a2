/** The RPC endpoint of a node: requests and notifications to its peers over framed TCP connections (§3.1). */
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';
import { encodeFrame, type Frame } from './frame.js';
import { openHandlers, type Handler } from './handlers.js';
import { openPendingRequests } from './pending-requests.js';
import { openReceiver } from './receiver.js';
import { openSender, requestIds } from './sender.js';
import type { Validator } from './validate.js';

/** An open endpoint. Timeouts are in microseconds; requests reject with the errors of `rpcErrors`. */
export type Rpc = {
  /** The address that this endpoint listens at; peers identify the endpoint by it. */
  address: Address;
  /** Sends a message that has no response. Delivery is not guaranteed. */
  notify: (to: Address, method: string, body: unknown) => void;
  /** Sends the same notification to several peers; the frame is encoded once. */
  notifyAll: (peers: readonly Address[], method: string, body: unknown) => void;
  /** Sends a request and resolves with the body of its response. The default timeout is 500 ms. */
  request: <Result>(to: Address, method: string, body: unknown, timeout?: Microseconds) => Promise<Result>;
  /** Sends the same request to several peers, encoded once. Returns one promise a peer, in their order. */
  requestAll: <Result>(peers: Address[], method: string, body: unknown, timeout?: Microseconds) => Promise<Result>[];
  /** Registers the handler of a method. A body that fails `isValid` is rejected before the handler runs. */
  on: <Body>(method: string, isValid: Validator, handler: Handler<Body>) => void;
  /** The number of frames sent to and received from other nodes. */
  counts: () => { sent: number; received: number };
  /** Stops sending and handling frames. Pending requests end with their timeouts. */
  close: () => Promise<void>;
};

/** Factory of RPC endpoints. */
export const rpc = {
  /** Opens an endpoint that listens at `listenAddress`; port 0 selects any free port. */
  open: async (runtime: Runtime, listenAddress: Address): Promise<Rpc> => {
    const log = runtime.log('rpc');
    const counts = { sent: 0, received: 0 };
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
      counts.received += 1;
      return receive(from, text);
    };
    const onConnectionClosed = (from: Address, reason: string): void =>
      log(`closed the connection from ${from}: ${reason}.`);
    const transport = await runtime.net.openFrameTransport(
      listenAddress,
      onFrame,
      pending.connectionLost,
      onConnectionClosed,
    );
    const self = transport.at;
    const isClosed = (): boolean => closed;
    const sender = openSender({ self, handlers, pending, nextRequestId, sendText, isClosed, log });
    return {
      address: self,
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
