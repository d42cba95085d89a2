/** Clocks and the timers that are made of them (§2.1). */
import type { Microseconds } from './duration.js';

/** Cancels a timer; calling it again, or after the timer has fired, does nothing. */
export type Cancel = () => void;

/** A source of time. Only `now` decides anything within a process: the time of day may jump. */
export type Clock = {
  /** Monotonic; means nothing outside this process. */
  now: () => Microseconds;
  /** Wall-clock time since 1970, for what other processes read. */
  wallTime: () => Microseconds;
  /** Calls `fn` once, `after` microseconds from now or a little later. */
  schedule: (after: Microseconds, fn: () => void) => Cancel;
};

const sleep = (clock: Clock, after: Microseconds): Promise<void> =>
  new Promise((resolve) => void clock.schedule(after, resolve));

const every = (clock: Clock, interval: Microseconds, fn: () => void | Promise<void>): Cancel => {
  let stopped = false;
  let cancel: Cancel = () => undefined;
  const runRound = (): void =>
    void Promise.resolve()
      .then(fn)
      .catch(() => undefined)
      .then(scheduleNext);
  const scheduleNext = (): void => {
    if (!stopped) cancel = clock.schedule(interval, runRound);
  };
  scheduleNext();
  return () => {
    stopped = true;
    cancel();
  };
};

const limit = <T>(clock: Clock, timeLeft: Microseconds, work: Promise<T>, late: () => Error): Promise<T> =>
  new Promise((resolve, reject) => {
    const cancel = clock.schedule(timeLeft, () => reject(late()));
    work.then(
      (value) => {
        cancel();
        resolve(value);
      },
      (error: Error) => {
        cancel();
        reject(error);
      },
    );
  });

/** Waiting by a clock. */
export const time = {
  /** Resolves after `after` microseconds. */
  sleep,
  /**
   * Calls `fn` every `interval` microseconds until it is cancelled. A slow round delays the next one and never overlaps
   * it; the error of a failed round is dropped.
   */
  every,
  /** The outcome of `work`, or a rejection with `late()` after `timeLeft` microseconds. The work itself goes on. */
  limit,
};
