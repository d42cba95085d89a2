/** Units of time. All times in thornsail are whole microseconds. */

/** A duration or a clock reading in whole microseconds. */
export type Microseconds = number;

/** Conversions to and from microseconds; results are rounded to whole numbers. */
export const duration = {
  ms: (milliseconds: number): Microseconds => Math.round(milliseconds * 1_000),
  s: (seconds: number): Microseconds => Math.round(seconds * 1_000_000),
  toMs: (time: Microseconds): number => Math.round(time / 1_000),
};
