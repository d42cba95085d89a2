/**
 * Sends requests and notifications (§3.1). A message to several peers is encoded once. A message to the own node uses
 * no connection; its handler runs asynchronously, as for a message from a peer.
 */
import { duration, fault, type Address, type Log, type Microseconds, type Random } from '@thornsail/runtime';
import { rpcErrors } from './errors.js';
import { copyBody, encodeFrame } from './frame.js';
import type { Handlers } from './handlers.js';
import type { PendingRequests } from './pending-requests.js';

const defaultRequestTimeout: Microseconds = duration.ms(500);

/** The dependencies of a sender. */
export type SenderOptions = {
  /** The address of this node. */
  self: Address;
  handlers: Handlers;
  pending: PendingRequests;
  /** Returns a new request id, unique among all processes that ever use this address. */
  nextRequestId: () => string;
  /** Sends an encoded frame; no effect once the endpoint is closed. */
  sendText: (to: Address, text: string) => void;
  isClosed: () => boolean;
  log: Log;
};
/** Sends the requests and notifications of one endpoint. */
export type Sender = {
  notifyAll: (peers: readonly Address[], method: string, body: unknown) => void;
  /** Returns one promise for each peer, in the order of `peers`. */
  requestAll: <Result>(peers: Address[], method: string, body: unknown, timeout?: Microseconds) => Promise<Result>[];
};

/**
 * Creates a generator of request ids. A response arrives over a connection that the peer opens, so a response to an
 * earlier process at this address may still arrive: a random process id keeps the ids of two processes distinct.
 */
export const requestIds = (rand: Random): (() => string) => {
  const processId = rand.id().slice(0, 10);
  let sequence = 0;
  return () => `${processId}.${++sequence}`;
};

/** Creates the sender of one endpoint. */
export const openSender = (options: SenderOptions): Sender => {
  const { self, handlers, pending, sendText } = options;
  const requestFromSelf = async <Result>(method: string, body: unknown): Promise<Result> => {
    await Promise.resolve();
    const handler = handlers.find(method);
    if (!handler) throw rpcErrors.create('unknown-method', { step: method, peer: self });
    return (await handler(copyBody(body), self)) as Result;
  };
  const notifySelf = (method: string, body: unknown): void =>
    void Promise.resolve()
      .then(() => handlers.find(method)?.(copyBody(body), self))
      .catch((error: unknown) => options.log(`notification ${method} to this node failed: ${fault.text(error)}.`));
  const notifyAll: Sender['notifyAll'] = (peers, method, body) => {
    if (options.isClosed()) return;
    let text: string | undefined;
    for (const peer of peers) {
      if (peer === self) notifySelf(method, body);
      else sendText(peer, (text ??= encodeFrame({ type: 'notification', method, requestId: '', body })));
    }
  };
  const requestAll = <Result>(
    peers: Address[],
    method: string,
    body: unknown,
    timeout: Microseconds = defaultRequestTimeout,
  ): Promise<Result>[] => {
    const requestId = options.nextRequestId();
    let text: string | undefined;
    const requestFrom = async (peer: Address): Promise<Result> => {
      if (peer === self) return requestFromSelf<Result>(method, body);
      text ??= encodeFrame({ type: 'request', method, requestId, body });
      const result = pending.wait<Result>({ peer, method, requestId, timeout });
      sendText(peer, text);
      return result;
    };
    return peers.map(requestFrom);
  };
  return { notifyAll, requestAll };
};
