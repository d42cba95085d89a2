import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { admissionScheduler } from '@thornsail/admission-scheduler';
import { arrive, end, openScheduler, runOneTurn, step, tick } from './builders.js';

test('a held turn is force-released within two seconds and never rejected for lack of capacity', () => {
  const state = openScheduler({ resumeOnRoom: false });
  runOneTurn(state, 'p1', 500);
  arrive(state, 't2', 'p2', 480, 0);
  end(state, 't2', 480, 1);
  tick(state, duration.s(5));
  arrive(state, 'n2', 'p2', 480, duration.s(5));
  const limit = duration.s(5) + duration.ms(1500);
  assert.is(admissionScheduler.nextForcedRelease(state), limit);
  assert.equal(step(state, { type: 'forced-release-due' }, duration.s(6)), []);
  const effect = step(state, { type: 'forced-release-due' }, limit)[0]!;
  assert.is(effect.type, 'turn-released');
  assert.is((effect as { reason: string }).reason, 'forced');
  // Less patience, as when first tokens are slow, shortens the hold.
  end(state, 'n2', 480, duration.s(7) - 20);
  state.programs.get('p2')!.status = 'paused';
  const slow = { timeLeft: duration.s(9), patience: duration.ms(700) };
  const held = arrive(state, 'n3', 'p2', 480, duration.s(7) - 10, slow)[0] as { forceReleaseAt: number };
  assert.is(held.forceReleaseAt, duration.s(7) - 10 + duration.ms(700));
  arrive(state, 'x1', 'p1', 500, duration.s(7));
  // A turn of an ACTIVE program is not held.
  assert.is(state.programs.get('p1')!.runningTurn, 'x1');
});

test('a turn held behind a running turn of its program is rejected at its limit, not run concurrently', () => {
  const state = openScheduler();
  arrive(state, 't1', 'p1', 100, 0);
  assert.is((arrive(state, 't2', 'p1', 100, 10)[0] as { reason: string }).reason, 'program-busy');
  assert.equal(step(state, { type: 'forced-release-due' }, duration.ms(1500) + 10), [
    { type: 'turn-rejected', turn: 't2', reason: 'program-busy' },
  ]);
});

test.run();
