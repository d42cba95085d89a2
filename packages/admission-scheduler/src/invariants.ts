/** What holds between any two events (§9.1). */
import { invariant } from '@thornsail/runtime';
import type { Program, SchedulerState } from './types.js';

const checkProgram = (program: Program): void => {
  const idle = program.runningTurn === null;
  invariant.hold(idle || program.phase === 'reasoning', `${program.id} is ACTING with a turn at a worker`);
  invariant.hold(program.status === 'active' || idle, `${program.id} is paused with a turn at a worker`);
  invariant.hold(program.tokens >= 0, `${program.id} has negative tokens`);
};

/** Checks the state as a whole; for tests, which call it after each event. Throws on the first breach. */
export const checkInvariants = (state: SchedulerState): void => {
  const { programs, heldTurns, runningTurns, options } = state;
  for (const { turn, program } of heldTurns.values())
    invariant.hold(programs.has(program), `held turn ${turn} has no program`);
  for (const [turn, id] of runningTurns)
    invariant.hold(programs.get(id)?.runningTurn === turn, `running turn ${turn} is not its program's`);
  programs.forEach(checkProgram);
  invariant.hold(programs.size <= options.maxPrograms, 'too many programs');
  invariant.hold(heldTurns.size + runningTurns.size <= options.maxTurns, 'too many turns');
};
