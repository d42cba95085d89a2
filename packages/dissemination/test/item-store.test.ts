// Which updates the item store accepts, and which items it includes in comparisons with peers (§3.5).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real } from '@thornsail/runtime';
import { openItemStore, type ItemRules, type ItemStore } from '../src/item-store.js';

const openStore = (rules: Partial<ItemRules> = {}): ItemStore =>
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

test('an update is stored only if it is newer than the stored version', () => {
  const items = openStore();
  assert.equal(
    [5, 5, 4, 6].map((version) => items.accept(update('order', version))),
    [true, false, false, true],
  );
  assert.is(items.get('order')?.value, 'order 6');
});
test('an update that is not admitted or not valid is not stored', () => {
  const items = openStore({ admits: (name) => name !== 'load/dead', isValid: ({ value }) => value !== 'order 7' });
  assert.not.ok(items.accept(update('load/dead', 1)));
  assert.not.ok(items.accept(update('order', 7)));
  assert.equal(items.digest(), {});
  assert.is(items.get('order'), undefined);
});
test('volatile items are stored, and left out of digests, checksums and differences', () => {
  const items = openStore({ isVolatile: (name) => name.startsWith('load/') });
  const empty = items.checksum();
  items.accept(update('load/a', 3));
  assert.is(items.checksum(), empty);
  assert.equal([items.digest(), items.newerThan({})], [{}, []]);
  assert.equal(
    items.withPrefix('load/').map(({ name }) => name),
    ['load/a'],
  );
});
test('checksums are equal exactly if the digests are, independent of the order of the updates', () => {
  const [first, second] = [openStore(), openStore()];
  for (const [name, version] of [['a', 1] as const, ['b', 2] as const]) first.accept(update(name, version));
  second.accept(update('b', 2));
  assert.is.not(first.checksum(), second.checksum());
  assert.equal(first.newerThan(second.digest()), [update('a', 1)]);
  second.accept(update('a', 1));
  assert.is(first.checksum(), second.checksum());
  first.retain((name) => name !== 'a');
  assert.is.not(first.checksum(), second.checksum());
  assert.is(first.get('a'), undefined);
});
test('the checksum equals that of the previous release for the same items', () => {
  const items = openStore();
  items.accept(update('order', 7));
  items.accept(update('load/a', 3));
  assert.is(items.checksum(), 1044062151);
});
test.run();
