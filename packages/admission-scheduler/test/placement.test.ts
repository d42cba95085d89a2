import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { arrive, openScheduler } from './builders.js';

test('a program is placed in the local zone unless its utilization is higher by more than the local preference', () => {
  const workers = [
    { id: 'far', capacity: 1000, eligible: true, near: false },
    { id: 'near', capacity: 1000, eligible: true, near: true },
  ];
  const placements = (localPreference: number): (string | null)[] => {
    const state = openScheduler({ localPreference }, workers);
    return ['p1', 'p2', 'p3'].map((program, i) => {
      arrive(state, `t${i}`, program, 100, i);
      return state.programs.get(program)!.assignedWorker;
    });
  };
  assert.equal(placements(0), ['far', 'near', 'far']);
  assert.equal(placements(0.15), ['near', 'near', 'far']);
});

test.run();
