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
import { events, type EventReader, type StreamEvent } from './events.js';
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

/** What an exchange needs. */
export type ExchangeOptions = {
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
};
/** An exchange in progress. */
type Progress = {
  options: ExchangeOptions;
  /** Takes the outcome; only the first call has an effect. `reusable`: the connection may serve another exchange. */
  finish: (outcome: Outcome, reusable: boolean) => void;
  over: boolean;
  sent: boolean;
  /** Part of the stream has been relayed. */
  streaming: boolean;
  /** The worker waits until the client has read what it was sent. */
  heldUp: boolean;
  reader: EventReader;
  response: { status: number; rawHeaders: readonly string[]; head: WorkerResponseHead } | undefined;
  /** The body of a response that is not a stream. */
  body: AnswerBody | undefined;
  control: ExchangeControl | undefined;
};

const open = (options: ExchangeOptions, resolve: (outcome: Outcome) => void): Progress => {
  const { runtime, lease } = options;
  const finish = (outcome: Outcome, reusable: boolean): void => {
    if (progress.over) return;
    progress.over = true;
    stopTimer();
    if (outcome.type !== 'answer') progress.body?.release();
    if (reusable) lease.done(progress.response?.head.keepAlive ?? null);
    else {
      lease.discard();
      progress.control?.abort();
    }
    resolve(outcome);
  };
  const progress: Progress = {
    options,
    finish,
    over: false,
    sent: false,
    streaming: false,
    heldUp: false,
    reader: events.reader(),
    response: undefined,
    body: undefined,
    control: undefined,
  };
  const stopTimer = runtime.clock.schedule(options.left + overrun, () => fail(progress, 'the deadline passed'));
  return progress;
};
const fail = ({ sent, streaming, finish }: Progress, why: string): void =>
  finish(
    sent ? (streaming ? { type: 'cut', why } : { type: 'lost', why }) : { type: 'unsent', why, workerDown: true },
    false,
  );

const isStream = ({ options, response }: Progress): boolean =>
  options.plan.route.semantics === 'stream' && response!.head.success;
const openBody = (progress: Progress, contentLength: string | undefined): AnswerBody =>
  answerBody.open({
    declaredLength: contentLength === undefined ? undefined : Number(contentLength),
    maxLength: progress.options.maxBodySize,
    client: progress.options.client,
    pause: () => progress.control?.pause(),
    resume: () => progress.control?.resume(),
  });
const onHead = (
  progress: Progress,
  status: number,
  headers: Record<string, string>,
  rawHeaders: readonly string[],
): void => {
  const { dialect, plan } = progress.options;
  const head = dialect.responseHead(plan, status, headers);
  if (!head.matchesAttempt) return fail(progress, 'the response names another attempt');
  if (head.unsound) return fail(progress, 'the response lacks a required header or has a content encoding');
  progress.response = { status, rawHeaders, head };
  progress.streaming = false;
  if (!isStream(progress)) progress.body = openBody(progress, headers['content-length']);
};

const holdUp = (progress: Progress): void => {
  if (progress.heldUp) return;
  progress.heldUp = true;
  progress.control?.pause();
  void progress.options.sink.drained().then(() => {
    progress.heldUp = false;
    progress.control?.resume();
  });
};
/** Relays the head of a stream, unless it was relayed already. */
const startStream = (progress: Progress): void => {
  if (progress.streaming) return;
  progress.streaming = true;
  const { status, rawHeaders } = progress.response!;
  progress.options.sink.head(status, progress.options.dialect.clientHeaders(rawHeaders));
};
const onEvents = (progress: Progress, bytes: Uint8Array): void => {
  for (const event of progress.reader.push(bytes)) {
    startStream(progress);
    if (progress.over) return;
    if (!progress.options.sink.event(event)) holdUp(progress);
  }
  if (progress.reader.rest().length > maxEventBytes) fail(progress, 'an event of the stream is too large');
};
const onData = (progress: Progress, bytes: Uint8Array): void => {
  if (progress.over || !progress.response) return;
  if (isStream(progress)) return onEvents(progress, bytes);
  if (progress.body && !progress.body.push(bytes))
    fail(progress, 'the response is too large, or comes in too many pieces');
};
const onEnd = (progress: Progress): void => {
  const { response, body, finish } = progress;
  if (!response) return fail(progress, 'the connection ended without a response head');
  const { status, rawHeaders, head } = response;
  // `wrongInstance`: another worker has this address; the intended one has ended and did not get the request.
  if (head.notRun) return finish({ type: 'unsent', why: `status ${status}`, workerDown: head.wrongInstance }, true);
  if (isStream(progress)) {
    startStream(progress);
    return finish({ type: 'streamed', rest: progress.reader.rest() }, true);
  }
  const answer: Outcome = {
    type: 'answer',
    status,
    headers: progress.options.dialect.clientHeaders(rawHeaders),
    body: body?.bytes() ?? Buffer.alloc(0),
    release: () => body?.release(),
    load: head.load,
  };
  finish(answer, true);
};

const send = (progress: Progress): ExchangeControl => {
  const { lease, plan, dialect, worker, body, left, lastEvent } = progress.options;
  const headers = dialect.requestHeaders(plan, { instance: worker.id, left, lastEvent, length: body.length });
  return lease.connection.exchange(
    { method: plan.method, target: plan.target, headers, body },
    {
      onSent: () => {
        progress.sent = true;
      },
      onHead: (status, fields, rawHeaders) => onHead(progress, status, fields, rawHeaders),
      onData: (bytes) => onData(progress, bytes),
      onEnd: () => onEnd(progress),
      onError: (error) => fail(progress, error.message),
    },
  );
};

/** Runs exchanges with workers. */
export const exchange = {
  /** Sends a request over the lease's connection and resolves with the outcome. */
  run: (options: ExchangeOptions): Promise<Outcome> =>
    new Promise((resolve) => {
      const progress = open(options, resolve);
      const { finish } = progress;
      progress.control = send(progress);
      options.client.onClose(() => {
        // A keyed request runs on: its result is recorded for a repeat with the same key.
        if (!progress.over && options.plan.key === null) finish({ type: 'gone' }, false);
      });
    }),
};
