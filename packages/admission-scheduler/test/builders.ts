/** Set-up for the tests of the scheduler: a state with one worker of 1000 tokens, and events with usual values. */
import { duration, type Microseconds } from '@thornsail/runtime';
import {
  admissionScheduler,
  type SchedulerEffect,
  type SchedulerEvent,
  type SchedulerOptions,
  type SchedulerState,
  type TurnArrival,
  type Worker,
} from '@thornsail/admission-scheduler';

/** The one worker that most tests need. */
export const workerA: Worker = { id: 'a', capacity: 1000, eligible: true };

/** A scheduler at time 0 that knows its workers. */
export const openScheduler = (
  options: Partial<SchedulerOptions> = {},
  workers: Worker[] = [workerA],
): SchedulerState => {
  const state = admissionScheduler.open({ ...admissionScheduler.defaults(), ...options });
  admissionScheduler.step(state, { type: 'workers-changed', workers }, 0);
  return state;
};
/** Applies an event. */
export const step = (state: SchedulerState, event: SchedulerEvent, now: Microseconds): SchedulerEffect[] =>
  admissionScheduler.step(state, event, now).effects;
/** A turn with a deadline in 3 s, 0.3 s of service and a caller that waits for 2 s. */
export const arrive = (
  state: SchedulerState,
  turn: string,
  program: string,
  tokens: number,
  now: Microseconds,
  other: Partial<TurnArrival> = {},
): SchedulerEffect[] => {
  const limits = { timeLeft: duration.s(3), expectedService: duration.ms(300), patience: duration.s(2) };
  return step(state, { type: 'turn-arrived', turn, program, tokens, ...limits, ...other }, now);
};
/** Ends a running turn. */
export const end = (
  state: SchedulerState,
  turn: string,
  tokens: number,
  now: Microseconds,
  final = false,
): SchedulerEffect[] => step(state, { type: 'turn-ended', turn, tokens, final, worker: null }, now);
/** A tick. */
export const tick = (state: SchedulerState, now: Microseconds): SchedulerEffect[] => step(state, { type: 'tick' }, now);
/** A program of so many tokens that has had one turn and is ACTING. */
export const runOneTurn = (state: SchedulerState, program: string, tokens: number, now: Microseconds = 0): void => {
  arrive(state, `t-${program}`, program, tokens, now);
  end(state, `t-${program}`, tokens, now + 1);
};
