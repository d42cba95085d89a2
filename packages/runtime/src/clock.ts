/** Clocks, and timers built on them (§2.1). */
import type { Microseconds } from './duration.js';

/** Cancels a timer. Calls after the first one, or after the timer has fired, have no effect. */
export type Cancel = () => void;

/** A source of time. Decisions within a process use `now` only, because the wall clock may jump. */
export type Clock = {
  /** Monotonic time; its origin is arbitrary, so values are not comparable between processes. */
  now: () => Microseconds;
  /** Wall-clock time since the Unix epoch, for values that other processes read. */
  wallTime: () => Microseconds;
  /** Calls `callback` once, `delay` microseconds from now or slightly later. */
  schedule: (delay: Microseconds, callback: () => void) => Cancel;
};

const sleep = (clock: Clock, delay: Microseconds): Promise<void> =>
  new Promise((resolve) => void clock.schedule(delay, resolve));

const every = (clock: Clock, interval: Microseconds, callback: () => void | Promise<void>): Cancel => {
  let stopped = false;
  let cancel: Cancel = () => undefined;
  const runOnce = (): void =>
    void Promise.resolve()
      .then(callback)
      .catch(() => undefined)
      .then(scheduleNext);
  const scheduleNext = (): void => {
    if (!stopped) cancel = clock.schedule(interval, runOnce);
  };
  scheduleNext();
  return () => {
    stopped = true;
    cancel();
  };
};

const withTimeout = <T>(clock: Clock, timeout: Microseconds, work: Promise<T>, timeoutError: () => Error): Promise<T> =>
  new Promise((resolve, reject) => {
    const cancel = clock.schedule(timeout, () => reject(timeoutError()));
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

/** Timers on a given clock. */
export const time = {
  /** Resolves after `delay` microseconds. */
  sleep,
  /**
   * Calls `callback` repeatedly until it is cancelled, each time `interval` microseconds after the previous call ended,
   * so that calls never overlap. Errors of the callback are ignored.
   */
  every,
  /** Settles as `work` does, or rejects with `timeoutError()` after `timeout` microseconds. Does not cancel `work`. */
  withTimeout,
};
