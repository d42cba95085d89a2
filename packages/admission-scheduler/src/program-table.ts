/** The program table (the source's ProgramTable, §4.2): entries are created by arrivals and dropped when over. */
import type { Microseconds } from '@thornsail/runtime';
import { oldestHeldTurn, oldestHeldTurns } from './held-turns.js';
import type { Program, SchedulerEffect, SchedulerState, TurnArrival } from './types.js';

/** Order of pauses and resumes: the smallest first, by id among equals. */
export const bySize = (a: Program, b: Program): number => a.tokens - b.tokens || (a.id < b.id ? -1 : 1);

const newProgram = (arrival: TurnArrival, now: Microseconds): Program => ({
  id: arrival.program,
  phase: 'acting',
  status: 'active',
  tokens: arrival.known?.tokens ?? 0,
  assignedWorker: arrival.known?.worker ?? null,
  markedForPause: false,
  runningTurn: null,
  lastActiveAt: now,
  actingSince: now,
  expectedEndAt: Infinity,
});

/** Drops the program that has been idle for longest; undefined if none is idle. */
const evictIdle = (state: SchedulerState): SchedulerEffect | undefined => {
  let longestIdle: Program | undefined;
  const held = oldestHeldTurns(state);
  for (const program of state.programs.values()) {
    if (program.runningTurn !== null || held.has(program.id)) continue;
    if (!longestIdle || program.lastActiveAt < longestIdle.lastActiveAt) longestIdle = program;
  }
  if (!longestIdle) return undefined;
  state.programs.delete(longestIdle.id);
  state.counts.ended += 1;
  return { type: 'program-ended', program: longestIdle.id, reason: 'evicted' };
};

/** A new entry for an arrival's program; at the limit an idle program makes way for it, or there is no entry. */
export const addProgram = (
  state: SchedulerState,
  arrival: TurnArrival,
  now: Microseconds,
): { program: Program | undefined; effects: SchedulerEffect[] } => {
  const effects: SchedulerEffect[] = [];
  if (state.programs.size >= state.options.maxPrograms) {
    const evicted = evictIdle(state);
    if (!evicted) return { program: undefined, effects };
    effects.push(evicted);
  }
  const program = newProgram(arrival, now);
  state.programs.set(program.id, program);
  return { program, effects };
};

/** Drops idle programs whose retention has passed, or that are over according to their caller (§4.2, §4.3). */
export const expireIdle = (state: SchedulerState, now: Microseconds): SchedulerEffect[] => {
  const effects: SchedulerEffect[] = [];
  const held = oldestHeldTurns(state);
  for (const program of state.programs.values()) {
    if (program.runningTurn !== null || held.has(program.id)) continue;
    if (now - program.lastActiveAt < state.options.idleRetention && now < program.expectedEndAt) continue;
    state.programs.delete(program.id);
    state.counts.expired += 1;
    effects.push({ type: 'program-ended', program: program.id, reason: 'idle' });
  }
  return effects;
};

/** Drops an idle program that another gateway has taken over by its register: it no longer counts here (§4.4). */
export const dropMoved = (state: SchedulerState, id: string): SchedulerEffect[] => {
  const program = state.programs.get(id);
  if (!program || program.runningTurn !== null || oldestHeldTurn(state, id)) return [];
  state.programs.delete(id);
  state.counts.moved += 1;
  return [{ type: 'program-ended', program: id, reason: 'moved' }];
};
