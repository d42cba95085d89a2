import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { admissionScheduler, type SchedulerEffect } from '@thornsail/admission-scheduler';
import { arrive, end, openScheduler, runOneTurn, step, tick, workerA } from './builders.js';

test('at the program limit the longest idle program is evicted; without an idle one the turn is rejected', () => {
  const state = openScheduler({ maxPrograms: 2, maxTurns: 3 });
  arrive(state, 't1', 'p1', 10, 0);
  end(state, 't1', 10, 1);
  arrive(state, 't2', 'p2', 10, 2);
  assert.equal(
    arrive(state, 't3', 'p3', 10, 3).map((effect) => effect.type),
    ['program-ended', 'turn-released'],
  );
  assert.equal(arrive(state, 't4', 'p4', 10, 4), [{ type: 'turn-rejected', turn: 't4', reason: 'program-limit' }]);
  arrive(state, 't5', 'p3', 10, 5);
  assert.equal(arrive(state, 't6', 'p3', 10, 6), [{ type: 'turn-rejected', turn: 't6', reason: 'turn-limit' }]);
});

test('idle programs expire after the retention time, programs with a final turn end immediately', () => {
  const state = openScheduler();
  runOneTurn(state, 'p1', 10);
  arrive(state, 't2', 'p2', 10, 0);
  assert.equal(
    end(state, 't2', 10, 1, true).map((effect) => effect.type),
    ['program-ended'],
  );
  assert.equal(tick(state, duration.s(1799)), []);
  assert.equal(tick(state, duration.s(1801)), [{ type: 'program-ended', program: 'p1', reason: 'idle' }]);
});

test('a program past its announced end is removed at the next update of the workers', () => {
  const state = openScheduler();
  arrive(state, 't1', 'p1', 900, 0, { programTimeLeft: duration.s(1) });
  end(state, 't1', 900, duration.ms(300));
  const updateWorkers = (now: number): SchedulerEffect[] =>
    step(state, { type: 'workers-changed', workers: [workerA] }, now);
  assert.equal(updateWorkers(duration.ms(900)), []);
  assert.equal(updateWorkers(duration.ms(1100)), [{ type: 'program-ended', program: 'p1', reason: 'idle' }]);
  assert.equal(admissionScheduler.load(state).tokensByWorker, {});
});

test.run();
