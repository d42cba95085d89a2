// What a proposer remembers is bounded by keys and by bytes (§6.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { remembered, type Known } from '../src/known.js';

const known = (size: number): Known => ({
  mark: 1,
  accepted: [1, 'e'],
  held: { value: 'x'.repeat(size), until: 1, ops: [] },
  extended: 0,
  walls: { min: 0, max: 0 },
  at: 0,
});
test('the oldest go when there are too many keys, or too many bytes; what is set again counts once', () => {
  const r = remembered({ keys: 5, bytes: 10_000 });
  for (let i = 0; i < 8; i++) r.set(`k${i}`, known(10));
  assert.equal(
    [0, 1, 2, 3, 7].map((i) => r.get(`k${i}`) !== undefined),
    [false, false, false, true, true],
  );
  for (let i = 0; i < 50; i++) r.set('k7', known(4000));
  assert.ok(r.get('k6') && r.get('k7'), 'what was replaced was counted');
  r.set('big', known(4000));
  r.set('bigger', known(4000));
  assert.ok(r.bytes() <= 10_000);
  assert.is(r.get('k7'), undefined);
  assert.ok(r.get('big') && r.get('bigger'));
  r.set('huge', known(50_000));
  assert.ok(r.get('huge'), 'the newest stays, whatever its size');
  r.set('small', known(1));
  assert.ok(r.bytes() < 1000 && r.get('small') && !r.get('huge'));
  r.drop('small');
  assert.is(r.bytes(), 0);
});
test.run();
