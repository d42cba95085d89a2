// The wire format of a heartbeat (§3.2). The literal is the body that the previous release passes to its RPC endpoint
// for this peer, in the encoding of RPC bodies.
import { stringify } from 'devalue';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { decodeHeartbeat, encodeHeartbeat, heartbeatName, isHeartbeat } from '../src/wire.js';

test('a heartbeat has only the fields, and the bytes, of the previous release, and is decoded again', () => {
  const peer = { address: '127.0.0.1:1', id: 'a', incarnation: 3 };
  assert.is(heartbeatName, 'beat');
  assert.is(stringify(encodeHeartbeat(peer)), '[{"id":1,"inc":2},"a",3]');
  assert.equal(decodeHeartbeat({ id: 'a', inc: 3 }), { id: 'a', incarnation: 3 });
});
test('a heartbeat without an id, or with an incarnation that is not an integer, is rejected', () => {
  assert.ok(isHeartbeat({ id: 'a', inc: 3 }));
  for (const body of [{ inc: 3 }, { id: 'a' }, { id: 'a', inc: 0.5 }, { id: 'a', inc: '3' }, null])
    assert.not.ok(isHeartbeat(body), JSON.stringify(body));
});
test.run();
