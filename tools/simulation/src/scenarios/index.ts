// The fault-injection scenarios (§9.4): each injects one kind of failure into a simulated deployment and reports the
// guarantees that were violated. One scenario per file; its figures are simulated times and counts.
import type { Scenario } from '../scenario-support.js';
import { budget } from './budget.js';
import { burst } from './burst.js';
import { clocks } from './clocks.js';
import { closing } from './closing.js';
import { config } from './config.js';
import { disk } from './disk.js';
import { durable } from './durable.js';
import { hold } from './hold.js';
import { kept } from './kept.js';
import { leaving } from './leaving.js';
import { notrun } from './notrun.js';
import { once } from './once.js';
import { random } from './random.js';
import { rolling } from './rolling.js';
import { split } from './split.js';
import { storm } from './storm.js';
import { streams } from './streams.js';
import { uncut } from './uncut.js';
import { urgent } from './urgent.js';
import { workers } from './workers.js';

export type { Outcome, Scenario } from '../scenario-support.js';

/** All scenarios by the names that the sweep, the guards and docs/FAILURES.md use; a sweep runs them in this order. */
export const scenarios: Record<string, Scenario> = {
  disk,
  clocks,
  workers,
  split,
  burst,
  budget,
  hold,
  uncut,
  once,
  notrun,
  kept,
  leaving,
  config,
  durable,
  streams,
  urgent,
  closing,
  rolling,
  storm,
  random,
};
