/**
 * The program table (ThunderAgent's ProgramTable, §4.2): an entry is created when a program's first turn arrives and
 * removed when the program ends, expires, is evicted or moves to another gateway.
 */
import type { Microseconds } from '@thornsail/runtime';
import { oldestHeldTurn, oldestHeldTurns } from './held-turns.js';
import type { Program, SchedulerEffect, SchedulerState, TurnArrival } from './types.js';

/** Sort order in which programs are paused and resumed: by tokens, then by id. */
export const compareBySize = (a: Program, b: Program): number => a.tokens - b.tokens || (a.id < b.id ? -1 : 1);

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

/** Removes the program that has been idle longest; returns undefined if none is idle. */
const evictIdleProgram = (state: SchedulerState): SchedulerEffect | undefined => {
  let longestIdle: Program | undefined;
  const heldTurns = oldestHeldTurns(state);
  for (const program of state.programs.values()) {
    if (program.runningTurn !== null || heldTurns.has(program.id)) continue;
    if (!longestIdle || program.lastActiveAt < longestIdle.lastActiveAt) longestIdle = program;
  }
  if (!longestIdle) return undefined;
  state.programs.delete(longestIdle.id);
  state.counts.ended += 1;
  return { type: 'program-ended', program: longestIdle.id, reason: 'evicted' };
};

/**
 * Adds an entry for an arrival's program. If the table is full, the longest idle program is evicted; if none is idle,
 * no entry is added and `program` is undefined.
 */
export const addProgram = (
  state: SchedulerState,
  arrival: TurnArrival,
  now: Microseconds,
): { program: Program | undefined; effects: SchedulerEffect[] } => {
  const effects: SchedulerEffect[] = [];
  if (state.programs.size >= state.options.maxPrograms) {
    const evicted = evictIdleProgram(state);
    if (!evicted) return { program: undefined, effects };
    effects.push(evicted);
  }
  const program = newProgram(arrival, now);
  state.programs.set(program.id, program);
  return { program, effects };
};

/** Removes idle programs whose retention time or announced end time has passed (§4.2, §4.3). */
export const expireIdlePrograms = (state: SchedulerState, now: Microseconds): SchedulerEffect[] => {
  const effects: SchedulerEffect[] = [];
  const heldTurns = oldestHeldTurns(state);
  for (const program of state.programs.values()) {
    if (program.runningTurn !== null || heldTurns.has(program.id)) continue;
    if (now - program.lastActiveAt < state.options.idleRetention && now < program.expectedEndAt) continue;
    state.programs.delete(program.id);
    state.counts.expired += 1;
    effects.push({ type: 'program-ended', program: program.id, reason: 'idle' });
  }
  return effects;
};

/**
 * Removes an idle program that another gateway has taken over through the program's register, so that its tokens are
 * no longer counted here (§4.4).
 */
export const removeMovedProgram = (state: SchedulerState, id: string): SchedulerEffect[] => {
  const program = state.programs.get(id);
  if (!program || program.runningTurn !== null || oldestHeldTurn(state, id)) return [];
  state.programs.delete(id);
  state.counts.moved += 1;
  return [{ type: 'program-ended', program: id, reason: 'moved' }];
};
