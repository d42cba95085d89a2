/** Sends a request of the product API, a chat turn or a job, to a worker over a new connection (§5.8). */
import type { WorkerEntry } from '@thornsail/load-balancer';
import { duration, fault, type HttpClientResponse, type Microseconds, type Runtime } from '@thornsail/runtime';

/** `failed`: no response; `unsent`: it is certain that no byte reached the worker. */
export type WorkerReply = { type: 'response'; response: HttpClientResponse } | { type: 'failed'; unsent: boolean };
type WorkerRequest = {
  path: string;
  body: string;
  headers: Record<string, string>;
  /** Timeout for the head of the response. */
  timeLeft: Microseconds;
  /** Timeout for the whole response; none if absent. */
  totalTimeLeft?: Microseconds;
};

/** A worker that sends nothing for this long within a response body counts as lost. */
const readTimeout = duration.s(20);

/** Sends requests to workers. */
export const workerClient = {
  /** Never rejects: a request without a response resolves to a reply of type `failed`. */
  send: async (runtime: Runtime, target: WorkerEntry, request: WorkerRequest): Promise<WorkerReply> => {
    try {
      const response = await runtime.net.request({
        at: target.at,
        method: 'POST',
        path: request.path,
        headers: { 'content-type': 'application/json', ...request.headers },
        body: request.body,
        // Responses of these workers do not identify their request, so on a reused connection a response could be
        // matched to the wrong request (§5.8).
        newConnection: true,
        headersTimeout: request.timeLeft,
        bodyTimeout: readTimeout,
        ...(request.totalTimeLeft === undefined ? {} : { totalTimeout: request.totalTimeLeft }),
      });
      return { type: 'response', response };
    } catch (error) {
      return { type: 'failed', unsent: fault.notSent(error) };
    }
  },
};
