/**
 * The requests that wait for their responses (§3.1). Each ends once: by its response, by an error, by its timeout, or
 * when the connection to its peer is lost.
 */
import type { Address, Clock, Microseconds } from '@thornsail/runtime';
import { rpcErrors } from './errors.js';
import type { Frame } from './frame.js';

/** A request as it is registered: one request id may be used for several peers, once for each. */
export type PendingRequest = { peer: Address; method: string; requestId: string; timeout: Microseconds };
/** The pending requests of one endpoint. */
export type PendingRequests = {
  /** Registers a request; the promise settles when the request ends. */
  wait: <Result>(request: PendingRequest) => Promise<Result>;
  /** Ends the request that a response or an error belongs to; without effect if there is none (any more). */
  settle: (from: Address, frame: Frame) => void;
  /** Ends all requests to a peer at once, with their outcome unknown, instead of at their timeouts. */
  connectionLost: (peer: Address) => void;
};

type Waiter = { peer: Address; method: string; resolve: (body: unknown) => void; reject: (error: Error) => void };

const keyOf = (requestId: string, peer: Address): string => `${requestId} ${peer}`;

/** No pending requests yet. */
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
