// What the callers saw of the system, added up.
import type { Microseconds } from '@thornsail/runtime';

/** Whether a request ran, as far as its answer says. */
export type Ran = 'no' | 'unknown' | 'yes';

/** What the callers know of one key, over all copies of its request; `no`: when they heard that it had not run. */
export type KeyStory = { ran: Ran[]; ok: boolean; sent: Microseconds[]; no: Microseconds[] };

/** Counts, waits and breaches. */
export type Summary = {
  chats: number;
  kept: number;
  jobs: number;
  turns: number;
  results: number;
  cut: number;
  /** Streams that were cut by their caller after two seconds of silence. */
  silent: number;
  rejected: Record<string, number>;
  gaveUp: number;
  failed: number;
  recalled: number;
  slowest: Microseconds;
  /** The slowest refusal of each kind. */
  refusals: Record<string, Microseconds>;
  urgentWaits: Microseconds[];
  chatWaits: Microseconds[];
  breaches: string[];
  /** Turns whose caller heard nothing for too long, with no fault at its own gateway to excuse it. */
  silences: { program: string; begun: Microseconds; waited: Microseconds; what: string }[];
  lastOk: Microseconds;
};

/** A summary before the first caller. */
export const emptySummary = (): Summary => ({
  chats: 0,
  kept: 0,
  jobs: 0,
  turns: 0,
  results: 0,
  cut: 0,
  silent: 0,
  rejected: {},
  gaveUp: 0,
  failed: 0,
  recalled: 0,
  slowest: 0,
  refusals: {},
  urgentWaits: [],
  chatWaits: [],
  breaches: [],
  silences: [],
  lastOk: 0,
});
