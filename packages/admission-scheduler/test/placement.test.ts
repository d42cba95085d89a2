import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { arrive, openScheduler } from './builders.js';

test('a program begins in its own zone, unless that is fuller by more than the preference allows', () => {
  const workers = [
    { id: 'far', capacity: 1000, eligible: true, near: false },
    { id: 'near', capacity: 1000, eligible: true, near: true },
  ];
  const placed = (localPreference: number): (string | null)[] => {
    const state = openScheduler({ localPreference }, workers);
    return ['p1', 'p2', 'p3'].map((program, i) => {
      arrive(state, `t${i}`, program, 100, i);
      return state.programs.get(program)!.assignedWorker;
    });
  };
  assert.equal(placed(0), ['far', 'near', 'far']);
  assert.equal(placed(0.15), ['near', 'near', 'far']);
});

test.run();
