import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { arrive, end, openScheduler, runOneTurn, tick } from './builders.js';

test('pauses the smallest ACTING programs down to the target and holds their next turns', () => {
  const state = openScheduler();
  runOneTurn(state, 'p1', 300);
  runOneTurn(state, 'p2', 400);
  runOneTurn(state, 'p3', 260);
  // 960 of 1000 tokens are used, 160 above the target; pausing the smallest program (260) is enough.
  assert.equal(tick(state, duration.s(5)), [{ type: 'program-paused', program: 'p3', worker: 'a' }]);
  assert.is(arrive(state, 'n3', 'p3', 260, duration.s(5) + 1)[0]!.type, 'turn-held');
  assert.is(arrive(state, 'n1', 'p1', 300, duration.s(5) + 1)[0]!.type, 'turn-released');
});

test('marks the smallest REASONING program when none is ACTING, and pauses it only when its turn ends', () => {
  const state = openScheduler();
  arrive(state, 't1', 'p1', 500, 0);
  arrive(state, 't2', 'p2', 460, 0);
  assert.equal(tick(state, duration.s(5)), [{ type: 'program-marked', program: 'p2', worker: 'a' }]);
  assert.is(state.programs.get('p2')!.status, 'active');
  assert.equal(end(state, 't2', 470, duration.s(6))[0], { type: 'program-paused', program: 'p2', worker: 'a' });
});

test.run();
