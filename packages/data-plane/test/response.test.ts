// Responses with a deadline (§5.7): the final answer at the deadline, and that nothing is written after it.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock, HttpResponseWriter } from '@thornsail/runtime';
import { errors } from '../src/errors.js';
import { timedResponse } from '../src/forward/response.js';

type FakeResponse = { writer: HttpResponseWriter; calls: string[]; disconnect: () => void };
/** Behaves like the writer of a real socket: `onClose` does not call listeners that are added after the disconnect. */
const fakeResponse = (): FakeResponse => {
  const calls: string[] = [];
  const closeListeners: (() => void)[] = [];
  let disconnected = false;
  const writer: HttpResponseWriter = {
    writeHead: (status) => void calls.push(`head ${status}`),
    write: (chunk) => {
      calls.push(`write ${String(chunk)}`);
      return true;
    },
    drained: () => Promise.resolve(),
    end: (chunk) => void calls.push(`end ${String(chunk ?? '')}`),
    abort: () => void calls.push('cut'),
    isClosed: () => disconnected,
    onClose: (listener) => void closeListeners.push(listener),
  };
  const disconnect = (): void => {
    disconnected = true;
    for (const listener of closeListeners) listener();
  };
  return { writer, calls, disconnect };
};
type FakeTimer = { clock: Clock; fire: () => void; stopped: () => boolean };
/** A clock with a single timer, which runs on `fire`. */
const fakeTimer = (): FakeTimer => {
  let callback: (() => void) | null = null;
  const schedule = (_after: number, run: () => void): (() => void) => {
    callback = run;
    return () => (callback = null);
  };
  return { clock: { schedule } as unknown as Clock, fire: () => callback?.(), stopped: () => callback === null };
};

test('the final answer is sent once at the deadline, nothing follows it, and close listeners are called', () => {
  const raw = fakeResponse();
  const timer = fakeTimer();
  const { response } = timedResponse.open(timer.clock, raw.writer, 100, () => {
    response.writeHead(504, []);
    response.end('late');
  });
  let closeCalls = 0;
  response.onClose(() => void (closeCalls += 1));
  timer.fire();
  timer.fire();
  response.writeHead(200, []);
  response.write('x');
  response.end('y');
  response.abort();
  assert.equal(raw.calls, ['head 504', 'end late']);
  assert.is(closeCalls, 1);
  assert.is(response.isClosed(), true);
});
test('close listeners added before or after a disconnect are called once, and no final answer is sent', () => {
  const raw = fakeResponse();
  const timer = fakeTimer();
  const { response } = timedResponse.open(timer.clock, raw.writer, 100, () => response.end('late'));
  const called: string[] = [];
  response.onClose(() => void called.push('before'));
  raw.disconnect();
  response.onClose(() => void called.push('after'));
  timer.fire();
  assert.equal(called, ['before', 'after']);
  assert.equal(raw.calls, []);
});
test('no final answer is sent at the deadline after the response has ended', () => {
  const raw = fakeResponse();
  const timer = fakeTimer();
  const { response, stop } = timedResponse.open(timer.clock, raw.writer, 100, () => response.end('late'));
  response.writeHead(200, []);
  response.end('complete');
  timer.fire();
  assert.equal(raw.calls, ['head 200', 'end complete']);
  stop();
  assert.is(timer.stopped(), true);
});

test('errors of requests that may have run have no status that promises "not run"', () => {
  const notRunStatuses = new Set([402, 408, 421, 429, 503]);
  for (const code of ['outcome_unknown', 'worker_lost', 'timed_out'] as const)
    for (const interfaceName of ['chat', 'unread'] as const)
      assert.is(notRunStatuses.has(errors.status(interfaceName, code)), false, `${interfaceName} ${code}`);
  for (const code of errors.codes) {
    const [chat, unread] = [errors.status('chat', code), errors.status('unread', code)];
    assert.ok(chat >= 400 && chat < 600 && unread >= 400 && unread < 600, code);
  }
});
test.run();
