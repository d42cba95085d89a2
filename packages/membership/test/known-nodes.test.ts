// Which addresses a node remembers (§3.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openKnownNodes } from '../src/known-nodes.js';

const self = '10.0.0.1:1';
const addressOf = (i: number): string => `10.0.${i >> 8}.${i & 255}:2`;

test('a role that is not known leaves the one that was known before, and a known one replaces it', () => {
  const known = openKnownNodes(self);
  const [address] = ['10.0.0.2:1'];
  known.add([{ address: address, role: 'coordinator' }]);
  known.add([{ address: address, role: undefined }]);
  assert.equal(known.coordinators(), [address]);
  known.add([{ address: address, role: 'store' }]);
  assert.equal(known.all(), [{ address, role: 'store' }]);
  assert.equal(known.coordinators(), []);
});
test('a node does not know itself', () => {
  const known = openKnownNodes(self);
  known.add([{ address: self, role: 'agent' }]);
  assert.equal(known.addresses(), []);
});
test('at most 256 addresses are remembered; the role of one of them may still change', () => {
  const known = openKnownNodes(self);
  known.add(Array.from({ length: 300 }, (_, i) => ({ address: addressOf(i), role: undefined })));
  assert.is(known.addresses().length, 256);
  known.add([{ address: addressOf(0), role: 'coordinator' }]);
  assert.equal(known.coordinators(), [addressOf(0)]);
});
test.run();
