// Which updates are stored, and what is compared with peers (§3.5).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real } from '@thornsail/runtime';
import { openItemStore, type ItemRules, type ItemStore } from '../src/item-store.js';

const store = (rules: Partial<ItemRules> = {}): ItemStore =>
  openItemStore(real.runtime('/nonexistent').clock, {
    admits: () => true,
    isValid: () => true,
    isVolatile: () => false,
    ...rules,
  });
const update = (name: string, version: number): { name: string; version: number; value: string } => ({
  name,
  version,
  value: `${name} ${version}`,
});

test('an update is stored if it is newer than what is known, and otherwise not', () => {
  const items = store();
  assert.equal(
    [5, 5, 4, 6].map((version) => items.accept(update('order', version))),
    [true, false, false, true],
  );
  assert.is(items.get('order')?.value, 'order 6');
});
test('an update that is not admitted, or not valid, leaves no trace', () => {
  const items = store({ admits: (name) => name !== 'load/dead', isValid: ({ value }) => value !== 'order 7' });
  assert.not.ok(items.accept(update('load/dead', 1)));
  assert.not.ok(items.accept(update('order', 7)));
  assert.equal(items.digest(), {});
  assert.is(items.get('order'), undefined);
});
test('volatile items are stored, and are in no digest, checksum or difference', () => {
  const items = store({ isVolatile: (name) => name.startsWith('load/') });
  const empty = items.checksum();
  items.accept(update('load/a', 3));
  assert.is(items.checksum(), empty);
  assert.equal([items.digest(), items.newerThan({})], [{}, []]);
  assert.equal(
    items.withPrefix('load/').map(({ name }) => name),
    ['load/a'],
  );
});
test('checksums are the same exactly when the digests are, in whatever order the updates came', () => {
  const [one, other] = [store(), store()];
  for (const [name, version] of [['a', 1] as const, ['b', 2] as const]) one.accept(update(name, version));
  other.accept(update('b', 2));
  assert.is.not(one.checksum(), other.checksum());
  assert.equal(one.newerThan(other.digest()), [update('a', 1)]);
  other.accept(update('a', 1));
  assert.is(one.checksum(), other.checksum());
  one.retain((name) => name !== 'a');
  assert.is.not(one.checksum(), other.checksum());
  assert.is(one.get('a'), undefined);
});
test('the checksum is the number that the release before computes of the same items', () => {
  const items = store();
  items.accept(update('order', 7));
  items.accept(update('load/a', 3));
  assert.is(items.checksum(), 1044062151);
});
test.run();
