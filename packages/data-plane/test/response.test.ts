// The way back to a client (§5.7): the final answer at the deadline, and what nobody may say after it.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock, HttpResponseWriter } from '@thornsail/runtime';
import { errors } from '../src/errors.js';
import { timedResponse } from '../src/forward/response.js';

type Raw = { say: HttpResponseWriter; said: string[]; leave: () => void };
/** As the listener of real sockets: one that has gone tells only those who asked before. */
const rawOf = (): Raw => {
  const said: string[] = [];
  const told: (() => void)[] = [];
  let gone = false;
  const say: HttpResponseWriter = {
    writeHead: (status) => void said.push(`head ${status}`),
    write: (piece) => {
      said.push(`write ${String(piece)}`);
      return true;
    },
    drained: () => Promise.resolve(),
    end: (piece) => void said.push(`end ${String(piece ?? '')}`),
    abort: () => void said.push('cut'),
    isClosed: () => gone,
    onClose: (tell) => void told.push(tell),
  };
  const leave = (): void => {
    gone = true;
    for (const tell of told) tell();
  };
  return { say, said, leave };
};
type Alarm = { clock: Clock; ring: () => void; stopped: () => boolean };
const alarm = (): Alarm => {
  let due: (() => void) | null = null;
  const schedule = (_after: number, run: () => void): (() => void) => {
    due = run;
    return () => (due = null);
  };
  return { clock: { schedule } as unknown as Clock, ring: () => due?.(), stopped: () => due === null };
};

test('at the deadline the final answer goes out once; nothing follows it, and whoever waits is told', () => {
  const raw = rawOf();
  const bell = alarm();
  const { response } = timedResponse.open(bell.clock, raw.say, 100, () => {
    response.writeHead(504, []);
    response.end('late');
  });
  let told = 0;
  response.onClose(() => void (told += 1));
  bell.ring();
  bell.ring();
  response.writeHead(200, []);
  response.write('x');
  response.end('y');
  response.abort();
  assert.equal(raw.said, ['head 504', 'end late']);
  assert.is(told, 1);
  assert.is(response.isClosed(), true);
});
test('a client that has gone, before or after it was asked for, is told of once; it gets no final answer', () => {
  const raw = rawOf();
  const bell = alarm();
  const { response } = timedResponse.open(bell.clock, raw.say, 100, () => response.end('late'));
  const told: string[] = [];
  response.onClose(() => void told.push('before'));
  raw.leave();
  response.onClose(() => void told.push('after'));
  bell.ring();
  assert.equal(told, ['before', 'after']);
  assert.equal(raw.said, []);
});
test('an answer that has ended is not followed by another one', () => {
  const raw = rawOf();
  const bell = alarm();
  const { response, stop } = timedResponse.open(bell.clock, raw.say, 100, () => response.end('late'));
  response.writeHead(200, []);
  response.end('whole');
  bell.ring();
  assert.equal(raw.said, ['head 200', 'end whole']);
  stop();
  assert.is(bell.stopped(), true);
});

test('what promises that a request has not run is said by no error that may follow a run', () => {
  const promises = new Set([402, 408, 421, 429, 503]);
  for (const code of ['outcome_unknown', 'worker_lost', 'timed_out'] as const)
    for (const at of ['chat', 'unread'] as const)
      assert.is(promises.has(errors.status(at, code)), false, `${at} ${code}`);
  for (const code of errors.codes) {
    const [chat, unread] = [errors.status('chat', code), errors.status('unread', code)];
    assert.ok(chat >= 400 && chat < 600 && unread >= 400 && unread < 600, code);
  }
});
test.run();
