/** Graceful shutdown of a gateway (§5.10): its phases, and the open requests that it waits for. */
import {
  duration,
  fault,
  time,
  type HttpHandler,
  type HttpResponseWriter,
  type Microseconds,
  type Runtime,
} from '@thornsail/runtime';
import { maxTurnDuration } from './records/retention.js';

/** Time limits of a graceful shutdown. */
export type DrainOptions = {
  /** How long new requests are still accepted, while callers are redirected to other gateways. Default: none. */
  acceptFor?: Microseconds;
  /** The longest duration of the drain, whatever is still in flight. Default: `maxTurnDuration`. */
  timeout?: Microseconds;
};
/** `leaving`: accepts requests and closes connections after each answer; `draining`: accepts nothing new. */
export type LifecyclePhase = 'serving' | 'leaving' | 'draining';
/** The lifecycle of one data plane. */
export type Lifecycle = {
  phase: () => LifecyclePhase;
  isClosed: () => boolean;
  /** Wraps a handler, so that a drain waits for its requests. If the handler throws, the connection is aborted. */
  tracked: (serve: HttpHandler) => HttpHandler;
  /** Resolves when all requests are answered, on timeout, or on `close`. */
  drain: (options?: DrainOptions) => Promise<void>;
  close: () => void;
};

const drainPollInterval = duration.ms(50);

const open = (runtime: Runtime, inFlight: ReadonlySet<string>): Lifecycle => {
  const { clock } = runtime;
  const log = runtime.log('data-plane');
  let phase: LifecyclePhase = 'serving';
  let closed = false;
  /** Number of requests whose handler is running. It differs from `inFlight`, which has requests with open records. */
  let answering = 0;

  /** While leaving, adds `connection: close`, so that callers open their next connection to another gateway. */
  const closingWhileLeaving = (response: HttpResponseWriter): HttpResponseWriter => ({
    ...response,
    writeHead: (status, headers) =>
      response.writeHead(
        status,
        phase === 'serving'
          ? headers
          : Array.isArray(headers)
            ? [...(headers as readonly string[]), 'connection', 'close']
            : { ...(headers as Record<string, string>), 'connection': 'close' },
      ),
  });
  return {
    phase: () => phase,
    isClosed: () => closed,
    tracked: (serve) => async (request, response) => {
      answering += 1;
      try {
        await serve(request, closingWhileLeaving(response));
      } catch (error) {
        log(`a request failed: ${fault.text(error)}.`);
        response.abort();
      } finally {
        answering -= 1;
      }
    },
    drain: async ({ acceptFor, timeout } = {}) => {
      phase = 'leaving';
      const endAt = clock.now() + (timeout ?? maxTurnDuration);
      if (acceptFor) await time.sleep(clock, acceptFor);
      phase = 'draining';
      while ((inFlight.size || answering) && clock.now() < endAt && !closed) await time.sleep(clock, drainPollInterval);
    },
    close: () => {
      closed = true;
    },
  };
};

/** Opens the lifecycle of a data plane. */
export const lifecycle = { open };
