// The output of a log with a reader that is slow, and with one that is gone.
import { PassThrough, Writable } from 'node:stream';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openLogOutput } from '../src/log-output.js';

test('lines that nobody reads are dropped and counted, and do not pile up', () => {
  const stream = new PassThrough({ highWaterMark: 1024 });
  const output = openLogOutput(stream);
  for (let i = 0; i < 10_000; i++) output.write('x'.repeat(1000));
  assert.ok(stream.writableLength <= 256 << 10, `${stream.writableLength} bytes wait`);
  assert.ok(output.dropped() > 9000);
  while (stream.read() !== null);
  output.write('the next one');
  let text = '';
  for (let chunk = stream.read() as Buffer | null; chunk; chunk = stream.read() as Buffer | null)
    text += chunk.toString();
  assert.match(text, /\d+ lines of the log were dropped before this one\nthe next one\n$/);
});

test('a write that fails since the reader has gone is counted, and neither throws nor is emitted', async () => {
  const stream = new Writable({
    autoDestroy: false,
    write: (_chunk, _encoding, done) => done(Object.assign(new Error('write EPIPE'), { code: 'EPIPE' })),
  });
  const output = openLogOutput(stream);
  output.write('one');
  await new Promise((resolve) => setImmediate(resolve));
  output.write('two');
  await new Promise((resolve) => setImmediate(resolve));
  assert.ok(output.dropped() >= 1);
});
test.run();
