/** One request of the product's interface to a worker: a chat turn or a job, over a connection of its own (§5.8). */
import type { WorkerEntry } from '@thornsail/load-balancer';
import { duration, fault, type HttpClientResponse, type Microseconds, type Runtime } from '@thornsail/runtime';

/** `failed`: no response; `unsent` says whether it is certain that no byte reached the worker. */
export type WorkerReply = { type: 'response'; response: HttpClientResponse } | { type: 'failed'; unsent: boolean };
type WorkerRequest = {
  path: string;
  body: string;
  headers: Record<string, string>;
  /** Until the whole response must have arrived. */
  timeLeft: Microseconds;
};

/** A worker that sends nothing for so long counts as lost. */
const readTimeout = duration.s(20);

/** Sends requests to workers. */
export const worker = {
  /** Never rejects: a failure to reach the worker is a reply of type `failed`. */
  send: async (runtime: Runtime, to: WorkerEntry, request: WorkerRequest): Promise<WorkerReply> => {
    try {
      const response = await runtime.net.request({
        at: to.at,
        method: 'POST',
        path: request.path,
        headers: { 'content-type': 'application/json', ...request.headers },
        body: request.body,
        // These workers name no request in their answers: none may come in another's place (§5.8).
        newConnection: true,
        headersTimeout: request.timeLeft,
        bodyTimeout: readTimeout,
      });
      return { type: 'response', response };
    } catch (error) {
      return { type: 'failed', unsent: fault.notSent(error) };
    }
  },
};
