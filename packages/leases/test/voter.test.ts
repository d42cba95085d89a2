// A message about an earlier grant that arrives late changes nothing of the one that holds now (§3.6).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { leaseVoter } from '../src/index.js';

type GrantBody = { duty: string; by: string; mark: number };
type Handler = (body: unknown) => unknown;
/** A voter past the term in which it abstains, and its messages as they come over the wire. */
const voter = (): {
  request: (body: GrantBody) => boolean;
  release: (body: unknown) => void;
  pass: (time: number) => void;
} => {
  let now = 0;
  const handlers = new Map<string, Handler>();
  const rpc = { on: (kind: string, _validator: unknown, handler: Handler) => void handlers.set(kind, handler) };
  const runtime = { clock: { now: () => now } };
  leaseVoter.open({ runtime: runtime as unknown as Runtime, rpc: rpc as unknown as Rpc, term: duration.s(3) });
  now = duration.s(4);
  return {
    request: (body) => (handlers.get('watch.ballot')!(body) as { ok: boolean }).ok,
    release: (body) => void handlers.get('watch.leave')!(body),
    pass: (time) => void (now += time),
  };
};
const duty = 'sweep';

test('a release of an earlier grant does not end a later one of the same holder', () => {
  const v = voter();
  assert.ok(v.request({ duty, by: 'a', mark: 5 }));
  v.release({ duty, by: 'a', mark: 4 });
  assert.not.ok(v.request({ duty, by: 'b', mark: 6 }), 'a still holds it');
  v.release({ duty, by: 'a', mark: 5 });
  assert.ok(v.request({ duty, by: 'b', mark: 6 }));
});
test('a release without a token, as the first release sent it, ends the grant of its holder', () => {
  const v = voter();
  assert.ok(v.request({ duty, by: 'a', mark: 5 }));
  v.release({ duty, by: 'a' });
  assert.ok(v.request({ duty, by: 'b', mark: 6 }));
});
test('a request that was sent before the grant was released does not bring it back', () => {
  const v = voter();
  assert.ok(v.request({ duty, by: 'a', mark: 5 }));
  v.release({ duty, by: 'a', mark: 5 });
  assert.not.ok(v.request({ duty, by: 'a', mark: 5 }));
  assert.ok(v.request({ duty, by: 'b', mark: 6 }));
});
test('a grant ends one term after its last extension, and the next one needs a newer token', () => {
  const v = voter();
  assert.ok(v.request({ duty, by: 'a', mark: 5 }));
  v.pass(duration.s(2));
  assert.ok(v.request({ duty, by: 'a', mark: 5 }), 'extended');
  v.pass(duration.s(2));
  assert.not.ok(v.request({ duty, by: 'b', mark: 6 }), 'a still holds it');
  v.pass(duration.s(1));
  assert.not.ok(v.request({ duty, by: 'b', mark: 5 }));
  assert.ok(v.request({ duty, by: 'b', mark: 6 }));
});
test.run();
