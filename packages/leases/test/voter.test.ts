// A delayed message about an earlier grant does not affect the current grant (§3.6).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { leaseVoter } from '../src/index.js';

type GrantBody = { duty: string; by: string; mark: number };
type Handler = (body: unknown) => unknown;
/** Opens a voter, advances its clock past its abstention, and exposes its handlers for encoded messages. */
const openVoter = (): {
  request: (body: GrantBody) => boolean;
  release: (body: unknown) => void;
  advance: (time: number) => void;
} => {
  let now = 0;
  const handlers = new Map<string, Handler>();
  const rpc = { on: (method: string, _validator: unknown, handler: Handler) => void handlers.set(method, handler) };
  const runtime = { clock: { now: () => now } };
  leaseVoter.open({ runtime: runtime as unknown as Runtime, rpc: rpc as unknown as Rpc, term: duration.s(3) });
  now = duration.s(4);
  return {
    request: (body) => (handlers.get('watch.ballot')!(body) as { ok: boolean }).ok,
    release: (body) => void handlers.get('watch.leave')!(body),
    advance: (time) => void (now += time),
  };
};
const lease = 'sweep';

test('a delayed release of an earlier grant does not end a later grant to the same holder', () => {
  const voter = openVoter();
  assert.ok(voter.request({ duty: lease, by: 'a', mark: 5 }));
  voter.release({ duty: lease, by: 'a', mark: 4 });
  assert.not.ok(voter.request({ duty: lease, by: 'b', mark: 6 }), 'a still holds the lease');
  voter.release({ duty: lease, by: 'a', mark: 5 });
  assert.ok(voter.request({ duty: lease, by: 'b', mark: 6 }));
});
test('a release message without a token, as the first software release sends it, ends the grant of its holder', () => {
  const voter = openVoter();
  assert.ok(voter.request({ duty: lease, by: 'a', mark: 5 }));
  voter.release({ duty: lease, by: 'a' });
  assert.ok(voter.request({ duty: lease, by: 'b', mark: 6 }));
});
test('a delayed request with the token of a released grant does not restore the grant', () => {
  const voter = openVoter();
  assert.ok(voter.request({ duty: lease, by: 'a', mark: 5 }));
  voter.release({ duty: lease, by: 'a', mark: 5 });
  assert.not.ok(voter.request({ duty: lease, by: 'a', mark: 5 }));
  assert.ok(voter.request({ duty: lease, by: 'b', mark: 6 }));
});
test('a grant expires one term after its last extension, and the next grant needs a higher token', () => {
  const voter = openVoter();
  assert.ok(voter.request({ duty: lease, by: 'a', mark: 5 }));
  voter.advance(duration.s(2));
  assert.ok(voter.request({ duty: lease, by: 'a', mark: 5 }), 'extended');
  voter.advance(duration.s(2));
  assert.not.ok(voter.request({ duty: lease, by: 'b', mark: 6 }), 'a still holds the lease');
  voter.advance(duration.s(1));
  assert.not.ok(voter.request({ duty: lease, by: 'b', mark: 5 }));
  assert.ok(voter.request({ duty: lease, by: 'b', mark: 6 }));
});
test.run();
