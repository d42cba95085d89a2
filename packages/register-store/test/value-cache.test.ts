// The value cache of a proposer is bounded by keys and by bytes (§6.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openValueCache, type CachedValue } from '../src/value-cache.js';

const entryOf = (size: number): CachedValue => ({
  groupVersion: 1,
  accepted: [1, 'e'],
  stored: { value: 'x'.repeat(size), expiresAt: 1, operations: [] },
  extendedUntil: 0,
  walls: { min: 0, max: 0 },
  learnedAt: 0,
});
test('the oldest entries are evicted beyond the limit of keys or bytes; a replaced entry is counted once', () => {
  const cache = openValueCache({ keys: 5, bytes: 10_000 });
  for (let i = 0; i < 8; i++) cache.set(`k${i}`, entryOf(10));
  assert.equal(
    [0, 1, 2, 3, 7].map((i) => cache.get(`k${i}`) !== undefined),
    [false, false, false, true, true],
  );
  for (let i = 0; i < 50; i++) cache.set('k7', entryOf(4000));
  assert.ok(cache.get('k6') && cache.get('k7'), 'replaced entries were counted');
  cache.set('big', entryOf(4000));
  cache.set('bigger', entryOf(4000));
  assert.ok(cache.bytes() <= 10_000);
  assert.is(cache.get('k7'), undefined);
  assert.ok(cache.get('big') && cache.get('bigger'));
  cache.set('huge', entryOf(50_000));
  assert.ok(cache.get('huge'), 'the newest entry was evicted because of its size');
  cache.set('small', entryOf(1));
  assert.ok(cache.bytes() < 1000 && cache.get('small') && !cache.get('huge'));
  cache.delete('small');
  assert.is(cache.bytes(), 0);
});
test.run();
