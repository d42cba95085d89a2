/**
 * The requests of an endpoint that await a response (§3.1). Each settles exactly once: with its response, an error
 * frame, its timeout, or the loss of the connection to its peer.
 */
import type { Address, Clock, Microseconds } from '@thornsail/runtime';
import { rpcErrors } from './errors.js';
import type { Frame } from './frame.js';

/** A request to register. One request id may be used for several peers, once for each. Timeout in microseconds. */
export type PendingRequest = { peer: Address; method: string; requestId: string; timeout: Microseconds };
/** The pending requests of one endpoint. */
export type PendingRequests = {
  /** Registers a request. The promise resolves with the response body or rejects with an error of `rpcErrors`. */
  wait: <Result>(request: PendingRequest) => Promise<Result>;
  /** Settles the request that a response or error frame belongs to; no effect if it is not pending (any more). */
  settle: (from: Address, frame: Frame) => void;
  /** Rejects all pending requests to a peer with `connection-lost` at once, without waiting for their timeouts. */
  connectionLost: (peer: Address) => void;
};

type Waiter = { peer: Address; method: string; resolve: (body: unknown) => void; reject: (error: Error) => void };

const keyOf = (requestId: string, peer: Address): string => `${requestId} ${peer}`;

/** Creates an empty set of pending requests. */
export const openPendingRequests = (clock: Clock): PendingRequests => {
  const waiters = new Map<string, Waiter>();
  const wait = <Result>({ peer, method, requestId, timeout }: PendingRequest): Promise<Result> =>
    new Promise((resolve, reject) => {
      const key = keyOf(requestId, peer);
      const cancelTimeout = clock.schedule(timeout, () => {
        waiters.delete(key);
        reject(rpcErrors.create('timeout', { step: method, peer }));
      });
      waiters.set(key, {
        peer,
        method,
        resolve: (body) => {
          cancelTimeout();
          resolve(body as Result);
        },
        reject: (error) => {
          cancelTimeout();
          reject(error);
        },
      });
    });
  const settle = (from: Address, frame: Frame): void => {
    const key = keyOf(frame.requestId, from);
    const waiter = waiters.get(key);
    if (!waiter) return;
    waiters.delete(key);
    if (frame.type === 'response') return waiter.resolve(frame.body);
    waiter.reject(rpcErrors.create('remote', { step: waiter.method, peer: from, message: String(frame.body) }));
  };
  const connectionLost = (peer: Address): void => {
    for (const [key, waiter] of waiters) {
      if (waiter.peer !== peer) continue;
      waiters.delete(key);
      waiter.reject(rpcErrors.create('connection-lost', { step: waiter.method, peer }));
    }
  };
  return { wait, settle, connectionLost };
};
