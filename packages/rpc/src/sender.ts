/**
 * Requests and notifications that go out (§3.1). One to several peers is encoded once. What a node sends to itself
 * takes no connection, and is handled in a later turn as if it came over one.
 */
import { duration, type Address, type Microseconds, type Random } from '@thornsail/runtime';
import { rpcErrors } from './errors.js';
import { copyBody, encodeFrame } from './frame.js';
import type { Handlers } from './handlers.js';
import type { PendingRequests } from './pending-requests.js';

/** For how long a request waits if its caller names no time. */
const defaultTimeout: Microseconds = duration.ms(500);

/** What a sender works with. */
export type SenderOptions = {
  /** The address of this node. */
  self: Address;
  handlers: Handlers;
  pending: PendingRequests;
  /** A new request id at each call, unique among all processes of this address. */
  nextRequestId: () => string;
  /** Sends the text of a frame; without effect once the endpoint is closed. */
  sendText: (to: Address, text: string) => void;
  isClosed: () => boolean;
};
/** Sends requests and notifications. */
export type Sender = {
  notifyAll: (peers: readonly Address[], method: string, body: unknown) => void;
  /** One promise for each peer, in their order. */
  requestAll: <Result>(peers: Address[], method: string, body: unknown, timeout?: Microseconds) => Promise<Result>[];
};

/**
 * Request ids of one process. A response comes over the peer's own connection, so one for the former process at this
 * address may still be on its way: the ids of two processes must never meet.
 */
export const requestIds = (rand: Random): (() => string) => {
  const processId = rand.id().slice(0, 10);
  let sequence = 0;
  return () => `${processId}.${++sequence}`;
};

/** Sends for one endpoint. */
export const openSender = (options: SenderOptions): Sender => {
  const { self, handlers, pending, sendText } = options;
  const requestFromSelf = async <Result>(method: string, body: unknown): Promise<Result> => {
    await Promise.resolve();
    const handler = handlers.find(method);
    if (!handler) throw rpcErrors.create('unknown-method', { step: method, peer: self });
    return (await handler(copyBody(body), self)) as Result;
  };
  const notifySelf = (method: string, body: unknown): void =>
    void Promise.resolve().then(() => handlers.find(method)?.(copyBody(body), self));
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
    timeout: Microseconds = defaultTimeout,
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
