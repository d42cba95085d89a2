/**
 * Everything that a part may ask of the outside, as plain functions (§2.1): a part takes a `Runtime` and nothing else.
 */
import type { Clock } from './clock.js';
import type { Disk } from './disk.js';
import type { Net } from './net.js';
import type { Random } from './random.js';

/** Writes one line to the log. A text that costs something to make is given as a function: it is called if logged. */
export type Log = (text: string | (() => string)) => void;

/** The outside of one process: the real one (`real.runtime`) or a simulated one. `log` names the part that speaks. */
export type Runtime = { clock: Clock; rand: Random; disk: Disk; net: Net; log: (part: string) => Log };
