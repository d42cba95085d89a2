import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { workerProtocol, type StreamEvent } from '@thornsail/load-balancer';
import { seeded } from '@thornsail/runtime';

test('the stream parser returns the same events however the stream is split into chunks', () => {
  const text =
    'data: {"choices":[{"delta":{"content":"a"},"finish_reason":null}]}\n\n: comment\n\n' +
    'data: {"choices":[{"delta":{"tool_calls":[{"index":0}]},"finish_reason":"tool_calls"}]}\r\n\r\n' +
    'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\ndata: [DONE]\n\n';
  const expected = workerProtocol.chat.reader()(text);
  assert.equal(
    expected.map((event) => event.type),
    ['delta', 'delta', 'usage', 'done'],
  );
  const random = seeded(4);
  for (let j = 0; j < 50; j++) {
    const read = workerProtocol.chat.reader();
    const events: StreamEvent[] = [];
    for (let i = 0; i < text.length;) {
      const n = 1 + random.int(30);
      events.push(...read(text.slice(i, i + n)));
      i += n;
    }
    assert.equal(events, expected);
  }
  assert.is(workerProtocol.chat.reader()('data: {nonsense\n\n')[0]!.type, 'error');
});
test('an event that never ends is an error, however small its chunks are, and is not held', () => {
  const read = workerProtocol.chat.reader();
  let pushed = 0;
  let events: StreamEvent[] = [];
  const startedAt = performance.now();
  for (; events.length === 0 && pushed < 2 << 20; pushed += 8) events = read('xxxxxxxx');
  assert.equal(
    events.map(({ type }) => type),
    ['error'],
  );
  assert.ok(pushed < 2 << 20, `${pushed} characters are held`);
  assert.ok(performance.now() - startedAt < 1000, 'the time does not grow with the square of the length');
});
test("a worker's capacity is read from its report, and is undefined if the report lacks it", () => {
  assert.is(workerProtocol.report.capacity('{"CacheTotal": 512}'), 512);
  assert.is(workerProtocol.report.capacity('{"CacheTotal": "x"}'), undefined);
});
test.run();
