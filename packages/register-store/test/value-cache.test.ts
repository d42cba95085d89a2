// What a proposer remembers is bounded by keys and by bytes (§6.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openValueCache, type CachedValue } from '../src/value-cache.js';

const cached = (size: number): CachedValue => ({
  groupVersion: 1,
  accepted: [1, 'e'],
  stored: { value: 'x'.repeat(size), expiresAt: 1, operations: [] },
  extendedUntil: 0,
  walls: { min: 0, max: 0 },
  learnedAt: 0,
});
test('the oldest go when there are too many keys, or too many bytes; what is set again counts once', () => {
  const cache = openValueCache({ keys: 5, bytes: 10_000 });
  for (let i = 0; i < 8; i++) cache.set(`k${i}`, cached(10));
  assert.equal(
    [0, 1, 2, 3, 7].map((i) => cache.get(`k${i}`) !== undefined),
    [false, false, false, true, true],
  );
  for (let i = 0; i < 50; i++) cache.set('k7', cached(4000));
  assert.ok(cache.get('k6') && cache.get('k7'), 'what was replaced was counted');
  cache.set('big', cached(4000));
  cache.set('bigger', cached(4000));
  assert.ok(cache.bytes() <= 10_000);
  assert.is(cache.get('k7'), undefined);
  assert.ok(cache.get('big') && cache.get('bigger'));
  cache.set('huge', cached(50_000));
  assert.ok(cache.get('huge'), 'the newest stays, whatever its size');
  cache.set('small', cached(1));
  assert.ok(cache.bytes() < 1000 && cache.get('small') && !cache.get('huge'));
  cache.delete('small');
  assert.is(cache.bytes(), 0);
});
test.run();
