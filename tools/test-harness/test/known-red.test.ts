import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { knownRed } from '../src/known-red.js';

const line = 'packages/consensus/test/terms.test.ts: a vote is kept | the promise is not synced | 15';
const oneFailure = (title: string): string => `   FAIL  "${title}"\n    Expected values to be strictly equal`;
const failed = (...titles: string[]): string => `${titles.map(oneFailure).join('\n')}\n\n  Total:     3\n`;
const file = 'packages/consensus/test/terms.test.ts';

test('a line gives file, title, cause and issue; comments are passed over', () => {
  const [entry] = knownRed.parse(`# known\n\n${line}\n`);
  assert.equal(entry, { file, title: 'a vote is kept', cause: 'the promise is not synced', issue: '15' });
});
test('a line without its three parts, or without a title, is refused by its number', () => {
  for (const bad of ['a.test.ts: b | cause', 'a.test.ts | cause | 15', 'a.test.ts: b | | 15'])
    assert.throws(() => knownRed.parse(`\n${bad}`), /line 2/, bad);
});
test('more than three are refused', () => {
  assert.throws(() => knownRed.parse(Array.from({ length: 4 }, () => line).join('\n')), /three|3 at most/);
});
test('only the failures that are listed are passed over', () => {
  const list = knownRed.parse(line);
  assert.equal(knownRed.judge(list, file, 1, failed('a vote is kept')).unknown, 0);
  assert.equal(knownRed.judge(list, file, 2, failed('a vote is kept', 'another')).unknown, 1);
  assert.equal(knownRed.judge(list, file, 1, failed('another')).unknown, 1);
  assert.equal(knownRed.judge(list, 'packages/other/test/a.test.ts', 1, failed('a vote is kept')).unknown, 1);
});
test('a crash is never known', () => {
  assert.equal(knownRed.judge(knownRed.parse(line), file, 1, 'Error: out of memory').unknown, 1);
});
test('a listed test that passes makes the list stale', () => {
  const { stale, unknown } = knownRed.judge(knownRed.parse(line), file, 0, '  Total:     3\n');
  assert.is(stale.length, 1);
  assert.is(unknown, 0);
});
test('no file is an empty list', () => {
  assert.equal(knownRed.load('/nonexistent/KNOWN-RED.txt'), []);
});
test.run();
