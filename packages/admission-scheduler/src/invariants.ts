/** Invariants of the scheduler state that must hold between any two events (§9.1). */
import { invariant } from '@thornsail/runtime';
import type { Program, SchedulerState } from './types.js';

const checkProgram = (program: Program): void => {
  const idle = program.runningTurn === null;
  invariant.hold(idle || program.phase === 'reasoning', `program ${program.id} is ACTING while it has a running turn`);
  invariant.hold(program.status === 'active' || idle, `program ${program.id} is paused while it has a running turn`);
  invariant.hold(program.tokens >= 0, `program ${program.id} has a negative token count`);
};

/** Checks the whole state; throws on the first violated invariant. Meant for tests, which call it after each event. */
export const checkInvariants = (state: SchedulerState): void => {
  const { programs, heldTurns, runningTurns, options } = state;
  for (const { turn, program } of heldTurns.values())
    invariant.hold(programs.has(program), `held turn ${turn} refers to an unknown program`);
  for (const [turn, id] of runningTurns)
    invariant.hold(
      programs.get(id)?.runningTurn === turn,
      `running turn ${turn} is not the running turn of its program`,
    );
  programs.forEach(checkProgram);
  invariant.hold(programs.size <= options.maxPrograms, 'the program table exceeds maxPrograms');
  invariant.hold(heldTurns.size + runningTurns.size <= options.maxTurns, 'held and running turns exceed maxTurns');
};
