/** The life of a turn: it arrives, is released or held, and ends or is abandoned (§4.2, §4.3). */
import { invariant, type Microseconds } from '@thornsail/runtime';
import { forcedReleaseTime, releaseOverdue } from './forced-release.js';
import { oldestHeldTurn } from './held-turns.js';
import { pauseProgram } from './pause.js';
import { addProgram } from './program-table.js';
import { releaseHeldTurn, releaseTurn } from './release.js';
import { greedyResume } from './resume.js';
import type {
  Program,
  RejectionReason,
  SchedulerEffect,
  SchedulerState,
  TurnArrival,
  TurnCompletion,
} from './types.js';

const reject = (state: SchedulerState, turn: string, reason: RejectionReason): SchedulerEffect => {
  state.counts.rejected += 1;
  return { type: 'turn-rejected', turn, reason };
};

const hold = (state: SchedulerState, program: Program, arrival: TurnArrival, now: Microseconds): SchedulerEffect[] => {
  const { turn } = arrival;
  const forceReleaseAt = forcedReleaseTime(state, arrival, now);
  state.heldTurns.set(turn, { turn, program: program.id, heldSince: now, forceReleaseAt });
  state.counts.held += 1;
  const reason = program.status === 'paused' ? 'program-paused' : 'program-busy';
  const held: SchedulerEffect = { type: 'turn-held', turn, program: program.id, reason, forceReleaseAt };
  return forceReleaseAt <= now ? [held, ...releaseOverdue(state, now)] : [held];
};

const noteArrival = (program: Program, arrival: TurnArrival, now: Microseconds): void => {
  program.lastActiveAt = now;
  if (arrival.programTimeLeft !== undefined) program.expectedEndAt = now + arrival.programTimeLeft;
  // The running turn of a program reports its growing context itself.
  if (program.runningTurn !== null) return;
  program.tokens = Math.max(program.tokens, arrival.known?.tokens ?? 0, arrival.tokens);
};

/** Admission: a turn of an ACTIVE program with no other turn is released at once, any other is held. */
export const turnArrived = (state: SchedulerState, arrival: TurnArrival, now: Microseconds): SchedulerEffect[] => {
  state.counts.arrived += 1;
  if (state.heldTurns.size + state.runningTurns.size >= state.options.maxTurns)
    return [reject(state, arrival.turn, 'turn-limit')];
  const existing = state.programs.get(arrival.program);
  const { program, effects } = existing ? { program: existing, effects: [] } : addProgram(state, arrival, now);
  if (!program) return [...effects, reject(state, arrival.turn, 'program-limit')];
  noteArrival(program, arrival, now);
  const busy = program.runningTurn !== null || oldestHeldTurn(state, program.id) !== undefined;
  if (program.status === 'active' && !busy)
    return [...effects, releaseTurn(state, program, { turn: arrival.turn, reason: 'ordinary', waited: 0 }, now)];
  return [...effects, ...hold(state, program, arrival, now)];
};

const noteCompletion = (program: Program, { tokens, worker }: TurnCompletion, now: Microseconds): void => {
  program.runningTurn = null;
  program.phase = 'acting';
  program.actingSince = now;
  program.lastActiveAt = now;
  if (tokens !== null) program.tokens = tokens;
  if (worker !== null) program.assignedWorker = worker;
};

/** The tool boundary: the program is ACTING, and it is dropped, paused, or its next held turn released. */
export const turnEnded = (
  state: SchedulerState,
  turn: string,
  completion: TurnCompletion,
  now: Microseconds,
): SchedulerEffect[] => {
  const id = state.runningTurns.get(turn);
  if (id === undefined) return [];
  state.runningTurns.delete(turn);
  const program = state.programs.get(id)!;
  invariant.hold(
    program.runningTurn === turn,
    `turn ${turn} ended while ${program.runningTurn} is the open one of ${id}`,
  );
  noteCompletion(program, completion, now);
  const effects: SchedulerEffect[] = [];
  const justPaused = new Set<string>();
  const next = oldestHeldTurn(state, id);
  if (completion.final && !next) {
    state.programs.delete(id);
    state.counts.ended += 1;
    effects.push({ type: 'program-ended', program: id, reason: 'final' });
  } else if (program.markedForPause) {
    justPaused.add(id);
    effects.push(pauseProgram(state, program));
  } else if (next) effects.push(releaseHeldTurn(state, program, next, 'ordinary', now));
  if (state.options.resumeOnRoom) effects.push(...greedyResume(state, now, justPaused));
  return effects;
};

/** The caller has disconnected: a held turn is forgotten, a running one ends with nothing known of it. */
export const turnAbandoned = (state: SchedulerState, turn: string, now: Microseconds): SchedulerEffect[] => {
  if (state.heldTurns.delete(turn)) return [];
  return turnEnded(state, turn, { tokens: null, final: false, worker: null }, now);
};

/** A running turn has generated more; the estimate never shrinks before the turn ends. */
export const contextGrew = (state: SchedulerState, id: string, tokens: number): void => {
  const program = state.programs.get(id);
  if (program && tokens > program.tokens) program.tokens = tokens;
};
