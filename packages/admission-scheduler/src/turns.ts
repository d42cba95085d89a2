/** The lifecycle of a turn: it arrives, is released or held, and ends or is abandoned (§4.2, §4.3). */
import { invariant, type Microseconds } from '@thornsail/runtime';
import { forcedReleaseTime, releaseOverdueTurns } from './forced-release.js';
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

const rejectTurn = (state: SchedulerState, turn: string, reason: RejectionReason): SchedulerEffect => {
  state.counts.rejected += 1;
  return { type: 'turn-rejected', turn, reason };
};

const holdTurn = (
  state: SchedulerState,
  program: Program,
  arrival: TurnArrival,
  now: Microseconds,
): SchedulerEffect[] => {
  const { turn } = arrival;
  const forceReleaseAt = forcedReleaseTime(state, arrival, now);
  state.heldTurns.set(turn, { turn, program: program.id, heldSince: now, forceReleaseAt });
  state.counts.held += 1;
  const reason = program.status === 'paused' ? 'program-paused' : 'program-busy';
  const effect: SchedulerEffect = { type: 'turn-held', turn, program: program.id, reason, forceReleaseAt };
  return forceReleaseAt <= now ? [effect, ...releaseOverdueTurns(state, now)] : [effect];
};

const updateOnArrival = (program: Program, arrival: TurnArrival, now: Microseconds): void => {
  program.lastActiveAt = now;
  if (arrival.programTimeLeft !== undefined) program.expectedEndAt = now + arrival.programTimeLeft;
  // While a turn of the program is running, that turn reports the growth of the context.
  if (program.runningTurn !== null) return;
  program.tokens = Math.max(program.tokens, arrival.known?.tokens ?? 0, arrival.tokens);
};

/**
 * Admits a turn: it is released immediately if its program is ACTIVE and has no other turn, and held otherwise. It is
 * rejected if the limit on turns or programs is reached.
 */
export const turnArrived = (state: SchedulerState, arrival: TurnArrival, now: Microseconds): SchedulerEffect[] => {
  state.counts.arrived += 1;
  if (state.heldTurns.size + state.runningTurns.size >= state.options.maxTurns)
    return [rejectTurn(state, arrival.turn, 'turn-limit')];
  const existing = state.programs.get(arrival.program);
  const { program, effects } = existing ? { program: existing, effects: [] } : addProgram(state, arrival, now);
  if (!program) return [...effects, rejectTurn(state, arrival.turn, 'program-limit')];
  updateOnArrival(program, arrival, now);
  const busy = program.runningTurn !== null || oldestHeldTurn(state, program.id) !== undefined;
  if (program.status === 'active' && !busy)
    return [...effects, releaseTurn(state, program, { turn: arrival.turn, reason: 'ordinary', waited: 0 }, now)];
  return [...effects, ...holdTurn(state, program, arrival, now)];
};

const updateOnCompletion = (program: Program, { tokens, worker }: TurnCompletion, now: Microseconds): void => {
  program.runningTurn = null;
  program.phase = 'acting';
  program.actingSince = now;
  program.lastActiveAt = now;
  if (tokens !== null) program.tokens = tokens;
  if (worker !== null) program.assignedWorker = worker;
};

/**
 * Handles the end of a turn (the tool boundary): the program becomes ACTING. It is then removed if the turn was final,
 * paused if it was marked, or its next held turn is released. Turns that are not running are ignored.
 */
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
    `turn ${turn} ended while ${program.runningTurn} is the running turn of program ${id}`,
  );
  updateOnCompletion(program, completion, now);
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

/** Handles a caller's disconnect: a held turn is discarded, a running turn ends without usage or worker. */
export const turnAbandoned = (state: SchedulerState, turn: string, now: Microseconds): SchedulerEffect[] => {
  if (state.heldTurns.delete(turn)) return [];
  return turnEnded(state, turn, { tokens: null, final: false, worker: null }, now);
};

/** Raises a program's token estimate while its turn is generating; it is never lowered before the turn ends. */
export const contextGrew = (state: SchedulerState, id: string, tokens: number): void => {
  const program = state.programs.get(id);
  if (program && tokens > program.tokens) program.tokens = tokens;
};
