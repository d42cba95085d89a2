import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { knownRed } from '../src/known-red.js';

const line = 'packages/consensus/test/terms.test.ts: a vote is stored | the promise is not synced | 15';
const failureLines = (title: string): string => `   FAIL  "${title}"\n    Expected values to be strictly equal`;
const failureOutput = (...titles: string[]): string => `${titles.map(failureLines).join('\n')}\n\n  Total:     3\n`;
const file = 'packages/consensus/test/terms.test.ts';

test('a line is parsed into file, title, cause and issue; comments are ignored', () => {
  const [entry] = knownRed.parse(`# known\n\n${line}\n`);
  assert.equal(entry, { file, title: 'a vote is stored', cause: 'the promise is not synced', issue: '15' });
});
test('a line without its three parts, or without a title, is rejected with its line number', () => {
  for (const malformed of ['a.test.ts: b | cause', 'a.test.ts | cause | 15', 'a.test.ts: b | | 15'])
    assert.throws(() => knownRed.parse(`\n${malformed}`), /line 2/, malformed);
});
test('more than three entries are rejected', () => {
  assert.throws(() => knownRed.parse(Array.from({ length: 4 }, () => line).join('\n')), /three|3 at most/);
});
test('only listed failures are tolerated', () => {
  const list = knownRed.parse(line);
  assert.equal(knownRed.judge(list, file, 1, failureOutput('a vote is stored')).unknown, 0);
  assert.equal(knownRed.judge(list, file, 2, failureOutput('a vote is stored', 'another')).unknown, 1);
  assert.equal(knownRed.judge(list, file, 1, failureOutput('another')).unknown, 1);
  assert.equal(knownRed.judge(list, 'packages/other/test/a.test.ts', 1, failureOutput('a vote is stored')).unknown, 1);
});
test('a crash is never a known failure', () => {
  assert.equal(knownRed.judge(knownRed.parse(line), file, 1, 'Error: out of memory').unknown, 1);
});
test('a listed test that passes is reported as stale', () => {
  const { stale, unknown } = knownRed.judge(knownRed.parse(line), file, 0, '  Total:     3\n');
  assert.is(stale.length, 1);
  assert.is(unknown, 0);
});
test('a missing file is an empty list', () => {
  assert.equal(knownRed.load('/nonexistent/KNOWN-RED.txt'), []);
});
test.run();
