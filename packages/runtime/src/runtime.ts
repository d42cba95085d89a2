/**
 * The injected environment of a process (§2.1). Packages access time, random values, disk, network and log only through
 * a `Runtime`.
 */
import type { Clock } from './clock.js';
import type { Disk } from './disk.js';
import type { Net } from './net.js';
import type { Random } from './random.js';

/**
 * Writes one line to the log. A text that is expensive to format is passed as a function, which is called only if the
 * line is logged.
 */
export type Log = (text: string | (() => string)) => void;

/** The environment of a process: production (`real.runtime`) or simulated. */
export type Runtime = {
  clock: Clock;
  rand: Random;
  disk: Disk;
  net: Net;
  /** Creates the log of a named part. */
  log: (part: string) => Log;
  /** Gauges of the process itself by metric name; absent in the simulator, whose nodes share a process. */
  usage?: () => Record<string, number>;
};
