// The wire format of the hello message (§3.2). The literals were written by the previous release.
import { stringify } from 'devalue';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { decodeHello, decodeHelloReply, encodeHello, encodeHelloReply, helloName, isHello } from '../src/wire.js';

const gateway = { address: '10.0.0.1:1', role: 'gateway' as const };
const known = [
  { address: '10.0.0.9:1', role: undefined },
  { address: '10.0.0.2:1', role: 'agent' as const },
];

test('a hello and its reply are encoded to the bytes of the previous release', () => {
  assert.is(helloName, 'hello');
  assert.is(stringify(encodeHello(gateway)), '[{"place":1,"role":2},"10.0.0.1:1","front"]');
  assert.is(
    stringify(encodeHelloReply({ known, snapshot: undefined })),
    '[{"known":1,"order":8},[2,5],{"place":3,"role":4},"10.0.0.9:1","",{"place":6,"role":7},"10.0.0.2:1","pilot",null]',
  );
});
test('decoding an encoded message gives the same message', () => {
  assert.equal(decodeHello(encodeHello(gateway)), gateway);
  const reply = { known, snapshot: undefined };
  assert.equal(decodeHelloReply(encodeHelloReply(reply)), reply);
});
test('a hello requires an address and an encoded role, which may be empty', () => {
  assert.ok(isHello({ place: '10.0.0.1:1', role: '' }));
  assert.ok(isHello({ place: '10.0.0.1:1', role: 'tower' }));
  for (const body of [{ place: '10.0.0.1', role: '' }, { place: '10.0.0.1:1', role: 'gateway' }, { role: '' }, null])
    assert.not.ok(isHello(body), JSON.stringify(body));
});
test.run();
