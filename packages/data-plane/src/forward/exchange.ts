/**
 * One exchange with one worker (§5.7). The response head must name the attempt that was sent; nothing of a response
 * reaches the caller before that is checked.
 */
import type { WorkerEntry } from '@thornsail/load-balancer';
import {
  duration,
  type ExchangeControl,
  type HttpResponseWriter,
  type Runtime,
  type Microseconds,
} from '@thornsail/runtime';
import { answerBody, type AnswerBody } from './answer-body.js';
import type { Lease } from './connections.js';
import type { Dialect, WorkerResponseHead } from './dialect.js';
import { events, type StreamEvent } from './events.js';
import type { ForwardRequest } from './plan.js';

/**
 * How an exchange ended. `unsent`: the request has not run and will not; `workerDown`: because the worker could not be
 * reached or has been replaced at its address. `lost`: it may have run, and nothing was relayed. `cut`: broken off
 * while it streamed. `gone`: the client disconnected. `answer`: a complete response that is not a stream. `streamed`: a
 * stream to its end; `rest` are the bytes after its last complete event.
 */
export type Outcome =
  | { type: 'unsent'; why: string; workerDown: boolean }
  | { type: 'lost'; why: string }
  | { type: 'cut'; why: string }
  | { type: 'gone' }
  | {
      type: 'answer';
      status: number;
      headers: string[];
      body: Buffer;
      /** Gives the memory of the body back. */
      release: () => void;
      load: WorkerResponseHead['load'];
    }
  | { type: 'streamed'; rest: Uint8Array };

/** Receives a stream for the caller. The head is passed with the first event. */
export type StreamSink = {
  head: (status: number, headers: string[]) => void;
  /** False: pause reading from the worker until `drained` resolves. */
  event: (event: StreamEvent) => boolean;
  drained: () => Promise<void>;
};

/** A worker ends a request by itself at the deadline it was sent; the exchange is broken off this long after it. */
const overrun = duration.ms(150);
/** The largest event of a stream, in bytes: it is held until it is complete. */
const maxEventBytes = 1 << 20;

/** Runs exchanges with workers. */
export const exchange = {
  /** Sends a request over the lease's connection and resolves with the outcome. */
  run: (options: {
    runtime: Runtime;
    lease: Lease;
    worker: WorkerEntry;
    dialect: Dialect;
    plan: ForwardRequest;
    body: Uint8Array;
    /** Time until the request's deadline. */
    left: Microseconds;
    /** Id of the last event that the client has; null for a new stream. */
    lastEvent: string | null;
    /** The client's response, watched for disconnection. */
    client: HttpResponseWriter;
    sink: StreamSink;
    /** Size limit in bytes of a response that is not a stream, which is buffered as a whole. */
    maxBodySize: number;
  }): Promise<Outcome> =>
    new Promise((resolve) => {
      const { runtime, lease, plan, dialect } = options;
      let sent = false;
      let over = false;
      let streaming = false;
      let response: { status: number; rawHeaders: readonly string[]; head: WorkerResponseHead } | undefined;
      let body: AnswerBody | undefined;
      const reader = events.reader();
      let paused = false;
      const finish = (outcome: Outcome, reusable: boolean): void => {
        if (over) return;
        over = true;
        stopTimer();
        if (outcome.type !== 'answer') body?.release();
        if (reusable) lease.done(response?.head.keepAlive ?? null);
        else {
          lease.discard();
          control?.abort();
        }
        resolve(outcome);
      };
      const fail = (why: string): void =>
        finish(
          sent ? (streaming ? { type: 'cut', why } : { type: 'lost', why }) : { type: 'unsent', why, workerDown: true },
          false,
        );
      const stopTimer = runtime.clock.schedule(options.left + overrun, () => fail('the deadline passed'));
      const openBody = (contentLength: string | undefined): AnswerBody =>
        answerBody.open({
          declaredLength: contentLength === undefined ? undefined : Number(contentLength),
          maxLength: options.maxBodySize,
          client: options.client,
          pause: () => control?.pause(),
          resume: () => control?.resume(),
        });
      const onHead = (status: number, headers: Record<string, string>, rawHeaders: readonly string[]): void => {
        const head = dialect.responseHead(plan, status, headers);
        if (!head.matchesAttempt) return fail('the response names another attempt');
        if (head.unsound) return fail('the response lacks a required header or has a content encoding');
        response = { status, rawHeaders, head };
        streaming = false;
        if (!isStream()) body = openBody(headers['content-length']);
      };
      /** Holds the worker up until the client has read what it was sent. */
      const holdUp = (): void => {
        if (paused) return;
        paused = true;
        control?.pause();
        void options.sink.drained().then(() => {
          paused = false;
          control?.resume();
        });
      };
      const onEvents = (bytes: Uint8Array): void => {
        for (const event of reader.push(bytes)) {
          if (!streaming) {
            streaming = true;
            options.sink.head(response!.status, dialect.clientHeaders(response!.rawHeaders));
          }
          if (over) return;
          if (!options.sink.event(event)) holdUp();
        }
        if (reader.rest().length > maxEventBytes) fail('an event of the stream is too large');
      };
      const isStream = (): boolean => plan.route.semantics === 'stream' && response!.head.success;
      const onData = (bytes: Uint8Array): void => {
        if (over || !response) return;
        if (isStream()) return onEvents(bytes);
        if (body && !body.push(bytes)) fail('the response is too large, or comes in too many pieces');
      };
      const onEnd = (): void => {
        if (!response) return fail('the connection ended without a response head');
        // `wrongInstance`: another worker has this address; the intended one has ended and did not get the request.
        const { notRun, wrongInstance } = response.head;
        if (notRun)
          return finish({ type: 'unsent', why: `status ${response.status}`, workerDown: wrongInstance }, true);
        if (isStream()) {
          if (!streaming) options.sink.head(response.status, dialect.clientHeaders(response.rawHeaders));
          streaming = true;
          return finish({ type: 'streamed', rest: reader.rest() }, true);
        }
        const headers = dialect.clientHeaders(response.rawHeaders);
        finish(
          {
            type: 'answer',
            status: response.status,
            headers,
            body: body?.bytes() ?? Buffer.alloc(0),
            release: () => body?.release(),
            load: response.head.load,
          },
          true,
        );
      };
      const control: ExchangeControl | undefined = lease.connection.exchange(
        {
          method: plan.method,
          target: plan.target,
          headers: dialect.requestHeaders(plan, {
            instance: options.worker.id,
            left: options.left,
            lastEvent: options.lastEvent,
            length: options.body.length,
          }),
          body: options.body,
        },
        {
          onSent: () => {
            sent = true;
          },
          onHead: onHead,
          onData: onData,
          onEnd: onEnd,
          onError: (error) => fail(error.message),
        },
      );
      options.client.onClose(() => {
        // A keyed request runs on: its result is recorded for a repeat with the same key.
        if (!over && plan.key === null) finish({ type: 'gone' }, false);
      });
    }),
};
