/** Runs the admission scheduler (§4): applies its effects to the waiting turns, and wakes it when a hold times out. */
import {
  admissionScheduler,
  type SchedulerEffect,
  type SchedulerEvent,
  type SchedulerState,
} from '@thornsail/admission-scheduler';
import { duration, type Cancel, type Clock, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Admission, AdmissionResult } from './types.js';

/** The running scheduler of a gateway. */
export type ProgramTurns = {
  admitTurn: Admission['admitTurn'];
  /** Passes an event to the scheduler and applies the resulting effects. */
  step: (event: SchedulerEvent) => void;
  state: SchedulerState;
  close: () => void;
};

/** A timer that can only be moved to an earlier time. */
const earliestTimer = (
  clock: Clock,
  onDue: () => void,
): { schedule: (time: Microseconds) => void; close: () => void } => {
  let closed = false;
  let dueAt = Infinity;
  let cancel: Cancel = () => undefined;
  return {
    schedule: (time) => {
      if (closed || time >= dueAt) return;
      cancel();
      dueAt = time;
      cancel = clock.schedule(Math.max(0, time - clock.now()), () => {
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

/** Opens schedulers. */
export const programTurns = {
  open: (runtime: Runtime): ProgramTurns => {
    const { clock } = runtime;
    const log = runtime.log('admission');
    const state = admissionScheduler.open(admissionScheduler.defaults());
    /** Resolves the pending decision of each waiting turn, by turn ID. */
    const waitingTurns = new Map<string, (result: AdmissionResult) => void>();
    const resolveTurn = (turn: string, result: AdmissionResult): void => {
      waitingTurns.get(turn)?.(result);
      waitingTurns.delete(turn);
    };
    const apply = (effect: SchedulerEffect): void => {
      if (effect.type === 'turn-released') {
        const { turn, program, worker, reason, waited } = effect;
        if (reason !== 'ordinary') log(`${reason} ${program} after ${duration.toMs(waited)} ms.`);
        resolveTurn(turn, { type: 'released', worker, reason, waited });
      } else if (effect.type === 'turn-rejected') resolveTurn(effect.turn, { type: 'rejected', reason: effect.reason });
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
        let resolve: (result: AdmissionResult) => void = () => undefined;
        const released = new Promise<AdmissionResult>((resolvePromise) => {
          resolve = resolvePromise;
        });
        waitingTurns.set(turn, resolve);
        step({ type: 'turn-arrived', ...arrival });
        if (waitingTurns.has(turn)) onHold();
        const abandon = (): void => {
          if (!waitingTurns.delete(turn)) return;
          step({ type: 'turn-abandoned', turn });
          resolve({ type: 'abandoned' });
        };
        return { released, abandon };
      },
      close: timer.close,
    };
  },
};
