/** How a gateway leaves (§5.10): the requests it still has, and the phases of its graceful shutdown. */
import {
  duration,
  fault,
  time,
  type HttpHandler,
  type HttpResponseWriter,
  type Microseconds,
  type Runtime,
} from '@thornsail/runtime';
import { maxTurn } from './records/retention.js';

/** What a gateway that leaves still takes, and when it ends at the latest. */
export type Drain = {
  /** It takes requests for so long, while callers are led elsewhere. */
  acceptFor?: Microseconds;
  /** It waits no longer than this from the call on, whatever is still in flight. */
  within?: Microseconds;
};
/** `leaving`: it still takes requests, and tells callers to go elsewhere; `draining`: it takes nothing new. */
export type LifecyclePhase = 'serving' | 'leaving' | 'draining';
/** The lifecycle of one data plane. */
export type Lifecycle = {
  phase: () => LifecyclePhase;
  isClosed: () => boolean;
  /** A handler whose requests a drain waits for. One that throws has its connection cut. */
  tracked: (serve: HttpHandler) => HttpHandler;
  /** Resolves when all requests are answered, or the time is up. */
  drain: (options?: Drain) => Promise<void>;
  close: () => void;
};

const drainPollInterval = duration.ms(50);

const open = (runtime: Runtime, inFlight: ReadonlySet<string>): Lifecycle => {
  const { clock } = runtime;
  const log = runtime.log('data-plane');
  let phase: LifecyclePhase = 'serving';
  let closed = false;
  /** Requests whose handler has not ended yet: not all of them are in flight already, or still. */
  let answering = 0;

  /** Callers that keep their connection are told to open the next one elsewhere. */
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
    drain: async ({ acceptFor, within } = {}) => {
      phase = 'leaving';
      const end = clock.now() + (within ?? maxTurn);
      if (acceptFor) await time.sleep(clock, acceptFor);
      phase = 'draining';
      while ((inFlight.size || answering) && clock.now() < end && !closed) await time.sleep(clock, drainPollInterval);
    },
    close: () => {
      closed = true;
    },
  };
};

/** Opens lifecycles. */
export const lifecycle = { open };
