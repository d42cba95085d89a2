// A message about an earlier grant that arrives late changes nothing of the one that holds now (§3.6).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { watch } from '../src/index.js';

type Ballot = { duty: string; by: string; mark: number };
type Handler = (body: unknown) => unknown;
const voter = (): { ballot: (b: Ballot) => boolean; leave: (body: unknown) => void; pass: (t: number) => void } => {
  let now = 0;
  const handlers = new Map<string, Handler>();
  const rpc = { on: (kind: string, _shape: unknown, fn: Handler) => void handlers.set(kind, fn) };
  const runtime = { clock: { now: () => now } };
  watch.voter({ runtime: runtime as unknown as Runtime, rpc: rpc as unknown as Rpc, term: duration.s(3) });
  now = duration.s(4);
  return {
    ballot: (b) => (handlers.get('watch.ballot')!(b) as { ok: boolean }).ok,
    leave: (body) => void handlers.get('watch.leave')!(body),
    pass: (t) => void (now += t),
  };
};
const duty = 'sweep';

test('leaving an earlier grant does not end a later one of the same holder', () => {
  const v = voter();
  assert.ok(v.ballot({ duty, by: 'a', mark: 5 }));
  v.leave({ duty, by: 'a', mark: 4 });
  assert.not.ok(v.ballot({ duty, by: 'b', mark: 6 }), 'a still holds it');
  v.leave({ duty, by: 'a', mark: 5 });
  assert.ok(v.ballot({ duty, by: 'b', mark: 6 }));
});
test('a holder of the release before says no mark: it leaves as before', () => {
  const v = voter();
  assert.ok(v.ballot({ duty, by: 'a', mark: 5 }));
  v.leave({ duty, by: 'a' });
  assert.ok(v.ballot({ duty, by: 'b', mark: 6 }));
});
test('a ballot that was sent before the grant was left does not bring it back', () => {
  const v = voter();
  assert.ok(v.ballot({ duty, by: 'a', mark: 5 }));
  v.leave({ duty, by: 'a', mark: 5 });
  assert.not.ok(v.ballot({ duty, by: 'a', mark: 5 }));
  assert.ok(v.ballot({ duty, by: 'b', mark: 6 }));
});
test.run();
