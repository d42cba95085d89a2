// Exchanges with workers whose responses would take more and more memory.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, readText, type ExchangeEvents, type HttpResponseWriter } from '@thornsail/runtime';
import type { WorkerEntry } from '@thornsail/load-balancer';
import type { Dialect } from '../src/forward/dialect.js';
import { exchange, type Outcome, type StreamSink } from '../src/forward/exchange.js';
import type { ForwardRequest } from '../src/forward/plan.js';

const chunk = Buffer.alloc(64 << 10, 'x');
const manyChunks = 64;

/** Runs an exchange of a stream; `worker` sends its response. */
const runStream = async (
  worker: (events: ExchangeEvents, isAborted: () => boolean) => void,
  sink: StreamSink = { head: () => undefined, event: () => true, drained: () => Promise.resolve() },
): Promise<Outcome> => {
  let aborted = false;
  let events: ExchangeEvents | undefined;
  const head = { matchesAttempt: true, unsound: false, success: true, notRun: false, keepAlive: null, load: null };
  const running = exchange.run({
    runtime: real.runtime('/nonexistent'),
    lease: {
      connection: {
        exchange: (_request, given) => {
          events = given;
          return { pause: () => undefined, resume: () => undefined, abort: () => (aborted = true) };
        },
        isOpen: () => true,
        close: () => undefined,
      },
      reused: false,
      done: () => undefined,
      discard: () => undefined,
    },
    worker: { id: 'w1' } as WorkerEntry,
    dialect: {
      requestHeaders: () => [],
      responseHead: () => head,
      clientHeaders: () => [],
    } as unknown as Dialect,
    plan: { method: 'POST', target: '/x', key: null, route: { semantics: 'stream' } } as unknown as ForwardRequest,
    body: Buffer.alloc(0),
    left: 1_000_000,
    lastEvent: null,
    client: { onClose: () => undefined } as unknown as HttpResponseWriter,
    sink,
    maxBodySize: 1 << 20,
  });
  events!.onSent();
  events!.onHead(200, {}, []);
  worker(events!, () => aborted);
  return running;
};

test('a stream with an event that never ends is broken off before it fills the memory', async () => {
  let sent = 0;
  const outcome = await runStream((events, isAborted) => {
    for (; sent < manyChunks && !isAborted(); sent++) events.onData(chunk);
  });
  assert.is(outcome.type, 'lost');
  assert.ok(sent * chunk.length <= 2 << 20, `${sent} chunks of ${chunk.length} bytes were taken`);
});
test('a stream of many events is relayed to its end however long it is', async () => {
  const event = Buffer.concat([Buffer.from('data: '), chunk, Buffer.from('\n\n')]);
  const outcome = await runStream((events) => {
    for (let i = 0; i < manyChunks; i++) events.onData(event);
    events.onEnd();
  });
  assert.is(outcome.type, 'streamed');
});
test('while a client reads slowly, one wait is under way however many events arrive', async () => {
  let waits = 0;
  const drained = (): Promise<void> => {
    waits += 1;
    return Promise.resolve();
  };
  const outcome = await runStream(
    (events) => {
      events.onData(Buffer.from('data:x\n\n'.repeat(500)));
      events.onEnd();
    },
    { head: () => undefined, event: () => false, drained },
  );
  assert.is(outcome.type, 'streamed');
  assert.is(waits, 1);
});
test('a text that is read as a whole is refused beyond its limit', async () => {
  const endless = async function* (): AsyncIterable<string> {
    for (;;) yield Promise.resolve('x'.repeat(1000));
  };
  const error = await readText(endless(), 5000).catch((thrown: unknown) => thrown);
  assert.match(String(error), /longer than 5000 characters/);
});
test.run();
