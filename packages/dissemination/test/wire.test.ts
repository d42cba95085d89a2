// The wire format of the dissemination messages (§3.5). The literals were written by the previous release.
import { stringify } from 'devalue';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import * as wire from '../src/wire.js';

test('updates and comparison messages are encoded to the bytes of the previous release', () => {
  assert.equal(wire.messageNames, { updates: 'beam.news', checksum: 'beam.sum', digest: 'beam.digest' });
  const encoded = [
    wire.encodeUpdates([{ name: 'order', version: 7, value: { x: 1 } }]),
    wire.encodeChecksumRequest({ checksum: 1044062151, isLeaf: false }),
    wire.encodeDigestRequest({ digest: { 'order': 7, 'load/a': 3 }, isLeaf: false }),
    wire.encodeDigestReply({
      updates: [{ name: 'load/b', version: 4, value: { z: 2 } }],
      digest: { 'order': 7, 'load/b': 4 },
    }),
  ];
  assert.equal(
    encoded.map((body) => stringify(body)),
    [
      '[[1],{"name":2,"mark":3,"value":4},"order",7,{"x":5},1]',
      '[{"sum":1,"leaf":2},1044062151,false]',
      '[{"digest":1,"leaf":4},{"order":2,"load/a":3},7,3,false]',
      '[{"news":1,"digest":7},[2],{"name":3,"mark":4,"value":5},"load/b",4,{"z":6},2,{"order":8,"load/b":4},7]',
    ],
  );
});
test('decoding an encoded message gives the same message', () => {
  const updates = [{ name: 'order', version: 7, value: { x: 1 } }];
  assert.equal(wire.decodeUpdates(wire.encodeUpdates(updates)), updates);
  const checksum = { checksum: 5, isLeaf: true };
  assert.equal(wire.decodeChecksumRequest(wire.encodeChecksumRequest(checksum)), checksum);
  const digest = { digest: { order: 7 }, isLeaf: true };
  assert.equal(wire.decodeDigestRequest(wire.encodeDigestRequest(digest)), digest);
  const reply = { updates, digest: { order: 7 } };
  assert.equal(wire.decodeDigestReply(wire.encodeDigestReply(reply)), reply);
});
test('a list with one malformed update is rejected; in a reply only the malformed update is dropped', () => {
  const valid = { name: 'order', mark: 7, value: 1 };
  const malformed = [{ name: 'order', mark: 0.5, value: 1 }, { mark: 7, value: 1 }, null, 'order'];
  assert.ok(wire.isUpdates([valid]));
  for (const update of malformed) {
    assert.not.ok(wire.isUpdates([valid, update]), JSON.stringify(update));
    const { updates } = wire.decodeDigestReply({ news: [update, valid], digest: {} });
    assert.equal(updates, [{ name: 'order', version: 7, value: 1 }]);
  }
  assert.throws(() => wire.decodeDigestReply(null));
});
test.run();
