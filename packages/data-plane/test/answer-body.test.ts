// Bodies of workers' responses, and the memory that they take.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { HttpResponseWriter } from '@thornsail/runtime';
import { answerBody, type AnswerBody } from '../src/forward/answer-body.js';

const maxLength = 1 << 20;
const largeLength = 200_000;

type Opened = { body: AnswerBody; calls: string[]; grant: () => void };
/** Opens a body at a budget that grants nothing until `grant`, or at once. */
const open = (declaredLength: number | undefined, atOnce = false): Opened => {
  const calls: string[] = [];
  let grant = (): void => undefined;
  const reserve: HttpResponseWriter['reserve'] = (bytes, onReserved) => {
    calls.push(`reserve ${bytes}`);
    if (atOnce) onReserved();
    else grant = onReserved;
    return { shrinkTo: (size) => calls.push(`shrink ${size}`), release: () => calls.push('release') };
  };
  const body = answerBody.open({
    declaredLength,
    maxLength,
    client: { reserve } as HttpResponseWriter,
    pause: () => calls.push('pause'),
    resume: () => calls.push('resume'),
  });
  return { body, calls, grant: () => grant() };
};

test('a large body holds its worker up until there is memory for the whole of it', () => {
  const { body, calls, grant } = open(largeLength);
  assert.equal(calls, [`reserve ${largeLength}`, 'pause']);
  grant();
  assert.is(calls.at(-1), 'resume');
  assert.ok(body.push(Buffer.alloc(largeLength - 1, 'a')));
  assert.ok(body.push(Buffer.from('z')));
  assert.is(body.bytes().toString('latin1'), `${'a'.repeat(largeLength - 1)}z`);
  body.release();
  assert.is(calls.at(-1), 'release');
});
test('a body without a length takes memory for the largest one, and gives back what it does not need', () => {
  const { body, calls } = open(undefined, true);
  assert.ok(body.push(Buffer.alloc(60_000)));
  assert.equal(calls, []);
  assert.ok(body.push(Buffer.alloc(10_000)));
  assert.equal(calls, [`reserve ${maxLength}`]);
  assert.is(body.bytes().length, 70_000);
  assert.is(calls.at(-1), 'shrink 70000');
});
test('a body in very many small pieces is refused, and one in pieces of some hundred bytes is not', () => {
  const { body } = open(undefined, true);
  const piece = Buffer.from('12345678');
  let pieces = 0;
  while (body.push(piece) && pieces < maxLength / piece.length) pieces += 1;
  assert.ok(pieces < 5000, `${pieces} pieces of ${piece.length} bytes are taken`);
  const usual = open(undefined, true).body;
  for (let i = 0; i < 4000; i++) assert.ok(usual.push(Buffer.alloc(200)));
});
test('a small body takes no memory from the budget, and one over the limit is refused', () => {
  const small = open(800);
  assert.ok(small.body.push(Buffer.alloc(800, 'b')));
  assert.is(small.body.bytes().length, 800);
  assert.equal(small.calls, []);
  assert.not(open(maxLength + 1).body.push(Buffer.alloc(1)));
  const unknown = open(undefined, true);
  assert.ok(unknown.body.push(Buffer.alloc(maxLength)));
  assert.not(unknown.body.push(Buffer.alloc(1)));
});
test.run();
