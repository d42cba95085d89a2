// The wire format of the lease messages (§3.6). The literals were written by the previous release.
import { stringify } from 'devalue';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import * as wire from '../src/wire.js';

const grant = { lease: 'sweep', holder: 'a', fencingToken: 1700000000000 };

test('requests, replies and releases are encoded to the bytes of the previous release', () => {
  const body = '[{"duty":1,"by":2,"mark":3},"sweep","a",1700000000000]';
  assert.is(stringify(wire.encodeGrantRequest(grant)), body);
  assert.is(stringify(wire.encodeRelease(grant)), body);
  const granted = { granted: true, fencingToken: 1700000000000, holder: 'a', remaining: 3000000 };
  assert.is(
    stringify(wire.encodeGrantReply(granted)),
    '[{"ok":1,"mark":2,"by":3,"left":4},true,1700000000000,"a",3000000]',
  );
  const rejected = { granted: false, fencingToken: 0, holder: null, remaining: 3000000 };
  assert.is(stringify(wire.encodeGrantReply(rejected)), '[{"ok":1,"mark":2,"by":3,"left":4},false,0,null,3000000]');
  assert.equal(wire.messageNames, { grant: 'watch.ballot', release: 'watch.leave' });
});
test('decoding an encoded message gives the same message', () => {
  assert.equal(wire.decodeGrantRequest(wire.encodeGrantRequest(grant)), grant);
  assert.equal(wire.decodeRelease(wire.encodeRelease(grant)), grant);
  for (const holder of ['a', null]) {
    const reply = { granted: holder !== null, fencingToken: 7, holder, remaining: 5 };
    assert.equal(wire.decodeGrantReply(wire.encodeGrantReply(reply)), reply);
  }
  assert.is(wire.decodeGrantReply(undefined), undefined);
});
test('the token is optional in a release and required in a request; a token that is not an integer is rejected', () => {
  assert.ok(wire.isRelease({ duty: 'sweep', by: 'a' }));
  assert.is(wire.decodeRelease({ duty: 'sweep', by: 'a' }).fencingToken, undefined);
  assert.not.ok(wire.isGrantRequest({ duty: 'sweep', by: 'a' }));
  for (const mark of ['5', 0.5, NaN]) {
    assert.not.ok(wire.isRelease({ duty: 'sweep', by: 'a', mark }));
    assert.not.ok(wire.isGrantRequest({ duty: 'sweep', by: 'a', mark }));
  }
});
test.run();
