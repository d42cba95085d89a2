/** Fixtures for the scheduler's tests: a state with one worker of 1000 tokens, and events with default values. */
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

/** The single worker that most tests use. */
export const workerA: Worker = { id: 'a', capacity: 1000, eligible: true };

/** A scheduler state to which the workers were added at time 0. */
export const openScheduler = (
  options: Partial<SchedulerOptions> = {},
  workers: Worker[] = [workerA],
): SchedulerState => {
  const state = admissionScheduler.open({ ...admissionScheduler.defaults(), ...options });
  admissionScheduler.step(state, { type: 'workers-changed', workers }, 0);
  return state;
};
/** Applies an event and returns its effects. */
export const step = (state: SchedulerState, event: SchedulerEvent, now: Microseconds): SchedulerEffect[] =>
  admissionScheduler.step(state, event, now).effects;
/** A turn arrives with a deadline in 3 s, 0.3 s expected service time and a caller that waits 2 s for a first event. */
export const arrive = (
  state: SchedulerState,
  turn: string,
  program: string,
  tokens: number,
  now: Microseconds,
  overrides: Partial<TurnArrival> = {},
): SchedulerEffect[] => {
  const limits = { timeLeft: duration.s(3), expectedService: duration.ms(300), patience: duration.s(2) };
  return step(state, { type: 'turn-arrived', turn, program, tokens, ...limits, ...overrides }, now);
};
/** Ends a running turn. */
export const end = (
  state: SchedulerState,
  turn: string,
  tokens: number,
  now: Microseconds,
  final = false,
): SchedulerEffect[] => step(state, { type: 'turn-ended', turn, tokens, final, worker: null }, now);
/** Runs a tick. */
export const tick = (state: SchedulerState, now: Microseconds): SchedulerEffect[] => step(state, { type: 'tick' }, now);
/** Adds a program of `tokens` tokens that has completed one turn and is ACTING. */
export const runOneTurn = (state: SchedulerState, program: string, tokens: number, now: Microseconds = 0): void => {
  arrive(state, `t-${program}`, program, tokens, now);
  end(state, `t-${program}`, tokens, now + 1);
};
