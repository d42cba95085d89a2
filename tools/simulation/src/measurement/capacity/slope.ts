// Results of the parts of docs/CAPACITY.md: slopes over at least four sizes, and attempts that failed.
import { type Fit, type Point, type Shape, fit } from '../fit.js';

/** How a figure was obtained; the page prints it under `mark`. */
export type Origin = 'measured' | 'simulated' | 'reckoned';

/** A quantity, sampled at several sizes, and its fit; `by` names what x counts, a key of `sizeOf`. */
export type Slope = { name: string; by: string; unit: string; origin: Origin; points: Point[]; fit: Fit };

/** An attempt that failed, and the reason. */
export type FailedAttempt = { what: string; why: string };

/** The outcome of a check at several sizes, as text. */
export type SizeCheck = { what: string; by: string; points: [size: number, text: string][] };

/** The results of a part. */
export type Measurement = { slopes: Slope[]; failed: FailedAttempt[]; checks?: SizeCheck[] };

/** `small` sizes are for tests of this code; the page is generated with the `whole` ones. */
export type Sizes = 'small' | 'whole';

/** Computes one group of figures. */
export type Part = (sizes: Sizes) => Promise<Measurement>;

/** Fits a model, by default a straight line, to the points. */
export const slope = (
  name: string,
  by: string,
  unit: string,
  origin: Origin,
  points: Point[],
  shape: Shape = 'line',
): Slope => ({
  name,
  by,
  unit,
  origin: origin,
  points,
  fit: fit.leastSquares(points, shape),
});

/** Selects the list for the given sizes. */
export const pick = (sizes: Sizes, full: number[], small: number[]): number[] => (sizes === 'small' ? small : full);

/** Evaluates a function at each size, one after another. */
export const points = async (
  inputs: number[],
  evaluate: (input: number) => number | Promise<number>,
): Promise<Point[]> => {
  const results: Point[] = [];
  for (const input of inputs) results.push([input, await evaluate(input)]);
  return results;
};
