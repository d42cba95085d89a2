// Which addresses a node stores (§3.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openKnownNodes } from '../src/known-nodes.js';

const self = '10.0.0.1:1';
const addressOf = (i: number): string => `10.0.${i >> 8}.${i & 255}:2`;

test('an undefined role does not replace a known role; another known role does', () => {
  const known = openKnownNodes(self);
  const [address] = ['10.0.0.2:1'];
  known.add([{ address: address, role: 'coordinator' }]);
  known.add([{ address: address, role: undefined }]);
  assert.equal(known.coordinators(), [address]);
  known.add([{ address: address, role: 'store' }]);
  assert.equal(known.entries(), [{ address, role: 'store' }]);
  assert.equal(known.coordinators(), []);
});
test('the own address is not stored', () => {
  const known = openKnownNodes(self);
  known.add([{ address: self, role: 'agent' }]);
  assert.equal(known.addresses(), []);
});
test('at most 256 addresses are stored; the role of a stored address can still change', () => {
  const known = openKnownNodes(self);
  known.add(Array.from({ length: 300 }, (_, i) => ({ address: addressOf(i), role: undefined })));
  assert.is(known.addresses().length, 256);
  known.add([{ address: addressOf(0), role: 'coordinator' }]);
  assert.equal(known.coordinators(), [addressOf(0)]);
});
test.run();
