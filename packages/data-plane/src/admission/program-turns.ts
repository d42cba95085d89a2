/** Runs the program scheduler (§4): answers turns by its effects and wakes it when a hold is over. */
import {
  admissionScheduler,
  type SchedulerEffect,
  type SchedulerEvent,
  type SchedulerState,
} from '@thornsail/admission-scheduler';
import { duration, type Cancel, type Clock, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Admission, Released } from './types.js';

/** The scheduler at work. */
export type ProgramTurns = {
  admitTurn: Admission['admitTurn'];
  /** Hands the scheduler an event and carries out what comes of it. */
  step: (event: SchedulerEvent) => void;
  state: SchedulerState;
  close: () => void;
};

/** A timer that is only ever moved to an earlier time. */
const earliestTimer = (
  clock: Clock,
  onDue: () => void,
): { schedule: (at: Microseconds) => void; close: () => void } => {
  let closed = false;
  let dueAt = Infinity;
  let cancel: Cancel = () => undefined;
  return {
    schedule: (at) => {
      if (closed || at >= dueAt) return;
      cancel();
      dueAt = at;
      cancel = clock.schedule(Math.max(0, at - clock.now()), () => {
        dueAt = Infinity;
        onDue();
      });
    },
    close: () => {
      closed = true;
      cancel();
    },
  };
};

/** Runs the scheduler by a runtime's clock. */
export const programTurns = {
  open: (runtime: Runtime): ProgramTurns => {
    const { clock } = runtime;
    const log = runtime.log('admission');
    const state = admissionScheduler.open(admissionScheduler.defaults());
    /** How to answer each turn that waits, by its id. */
    const unanswered = new Map<string, (released: Released) => void>();
    const answer = (turn: string, released: Released): void => {
      unanswered.get(turn)?.(released);
      unanswered.delete(turn);
    };
    const apply = (effect: SchedulerEffect): void => {
      if (effect.type === 'turn-released') {
        const { turn, program, worker, reason, waited } = effect;
        if (reason !== 'ordinary') log(`${reason} ${program} after ${duration.toMs(waited)} ms.`);
        answer(turn, { type: 'released', worker, reason, waited });
      } else if (effect.type === 'turn-rejected') answer(effect.turn, { type: 'rejected', reason: effect.reason });
      else if (effect.type === 'program-paused') log(`paused ${effect.program} at ${effect.worker}.`);
      else if (effect.type === 'program-marked') log(`marked ${effect.program} at ${effect.worker}.`);
    };
    const timer = earliestTimer(clock, () => step({ type: 'forced-release-due' }));
    const step = (event: SchedulerEvent): void => {
      admissionScheduler.step(state, event, clock.now()).effects.forEach(apply);
      const next = admissionScheduler.nextForcedRelease(state);
      if (next !== undefined) timer.schedule(next);
    };
    return {
      state,
      step,
      admitTurn: (arrival, onHold) => {
        const { turn } = arrival;
        let resolve: (released: Released) => void = () => undefined;
        const released = new Promise<Released>((fulfil) => {
          resolve = fulfil;
        });
        unanswered.set(turn, resolve);
        step({ type: 'turn-arrived', ...arrival });
        if (unanswered.has(turn)) onHold();
        const abandon = (): void => {
          if (!unanswered.delete(turn)) return;
          step({ type: 'turn-abandoned', turn });
          resolve({ type: 'abandoned' });
        };
        return { released, abandon };
      },
      close: timer.close,
    };
  },
};
