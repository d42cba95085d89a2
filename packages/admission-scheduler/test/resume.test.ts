import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { arrive, openScheduler, runOneTurn, step, tick, workerA } from './builders.js';

test('resumes the smallest programs first, each on the worker with the best fit', () => {
  const state = openScheduler({ resumeOnRoom: false }, [workerA, { id: 'b', capacity: 2000, eligible: true }]);
  for (const [program, tokens] of [
    ['x', 300],
    ['y', 200],
    ['z', 700],
  ] as const) {
    runOneTurn(state, program, tokens);
    state.programs.get(program)!.status = 'paused';
  }
  arrive(state, 'tb', 'big', 50, 2);
  state.programs.get('big')!.assignedWorker = 'b';
  const effects = tick(state, duration.s(5));
  // Free tokens: 950 on a, 1750 on b. Best fit places y and x on a; z then fits only on b.
  assert.equal(
    effects.filter((effect) => effect.type === 'program-resumed'),
    [
      { type: 'program-resumed', program: 'y', worker: 'a' },
      { type: 'program-resumed', program: 'x', worker: 'a' },
      { type: 'program-resumed', program: 'z', worker: 'b' },
    ],
  );
});

test('does not resume programs paused in the same tick or programs that do not fit below the threshold', () => {
  const state = openScheduler();
  runOneTurn(state, 'x', 500);
  runOneTurn(state, 'y', 480);
  assert.equal(
    tick(state, duration.s(5)).map((effect) => effect.type),
    ['program-paused'],
  );
  assert.equal(
    tick(state, duration.s(10)).map((effect) => effect.type),
    [],
    '500 of 1000 tokens leave 350 free: a program of 480 does not fit',
  );
});

test('the smallest paused program of all gateways may use all free capacity, the others a share of it', () => {
  const resumed = (smallestPausedTokens: number): string[] => {
    const state = openScheduler({ resumeOnRoom: false }, [{ id: 'a', capacity: 2000, eligible: true }]);
    for (const [program, tokens] of [
      ['x', 200],
      ['y', 500],
    ] as const) {
      runOneTurn(state, program, tokens);
      state.programs.get(program)!.status = 'paused';
    }
    // Of the 1900 tokens below the threshold the peers use 900, so 1000 are free. Three peers and this gateway have
    // paused programs, so a share is 250.
    const peers = { tokensByWorker: new Map([['a', 900]]), gatewaysWithPaused: 3, smallestPausedTokens };
    step(state, { type: 'peers-changed', peers }, 2);
    return tick(state, duration.s(5)).flatMap((effect) => (effect.type === 'program-resumed' ? [effect.program] : []));
  };
  assert.equal(resumed(100), [], 'a peer has a smaller paused program, and 300 does not fit into a share of 250');
  assert.equal(resumed(300), ['x'], 'the smallest program may use all free capacity, the next one only a share');
  assert.equal(resumed(1000), ['x', 'y']);
});

test.run();
