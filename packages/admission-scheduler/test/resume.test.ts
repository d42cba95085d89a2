import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { arrive, openScheduler, runOneTurn, step, tick, workerA } from './builders.js';

test('resumes the smallest first, each at the worker that it fits best', () => {
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
  // Free: a 950, b 1750. y and x fit tighter in a; z then fits only in b.
  assert.equal(
    effects.filter((effect) => effect.type === 'program-resumed'),
    [
      { type: 'program-resumed', program: 'y', worker: 'a' },
      { type: 'program-resumed', program: 'x', worker: 'a' },
      { type: 'program-resumed', program: 'z', worker: 'b' },
    ],
  );
});

test('does not resume what the same tick has paused, nor what does not fit below the threshold', () => {
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
    '500 of 1000 leaves 350 free: 480 does not fit',
  );
});

test('among gateways the smallest paused program may use all that is free, the others a share of it', () => {
  const resumed = (smallestPausedTokens: number): string[] => {
    const state = openScheduler({ resumeOnRoom: false }, [{ id: 'a', capacity: 2000, eligible: true }]);
    for (const [program, tokens] of [
      ['x', 200],
      ['y', 500],
    ] as const) {
      runOneTurn(state, program, tokens);
      state.programs.get(program)!.status = 'paused';
    }
    // 900 of the threshold's 1900 are the peers', three of whom have paused programs: 1000 are free, a share is 250.
    const peers = { tokensByWorker: new Map([['a', 900]]), gatewaysWithPaused: 3, smallestPausedTokens };
    step(state, { type: 'peers-changed', peers }, 2);
    return tick(state, duration.s(5)).flatMap((effect) => (effect.type === 'program-resumed' ? [effect.program] : []));
  };
  assert.equal(resumed(100), [], 'a peer has a smaller one, and 300 does not fit a share of 250');
  assert.equal(resumed(300), ['x'], 'the smallest of all may use all that is free, the next one only a share');
  assert.equal(resumed(1000), ['x', 'y']);
});

test.run();
