// What a measurement of docs/CAPACITY.md gives: slopes over at least four sizes, and what did not come about.
import { type Fit, type Point, type Shape, fit } from '../fit.js';

export type Mark = 'measured' | 'simulated' | 'reckoned';

export type Slope = { name: string; by: string; unit: string; mark: Mark; points: Point[]; fit: Fit };

/** What was tried and did not come about. */
export type Failed = { what: string; why: string };

/** What came out of a check at several sizes, in words. */
export type Found = { what: string; by: string; points: [x: number, text: string][] };

export type Measured = { slopes: Slope[]; failed: Failed[]; found?: Found[] };

/** Small ones hold the measuring code in the tests; the page is made with the whole ones. */
export type Sizes = 'small' | 'whole';

export type Part = (sizes: Sizes) => Promise<Measured>;

export const slope = (
  name: string,
  by: string,
  unit: string,
  mark: Mark,
  points: Point[],
  shape: Shape = 'line',
): Slope => ({
  name,
  by,
  unit,
  mark,
  points,
  fit: fit.of(points, shape),
});

export const pick = (sizes: Sizes, whole: number[], small: number[]): number[] => (sizes === 'small' ? small : whole);

export const points = async (xs: number[], y: (x: number) => number | Promise<number>): Promise<Point[]> => {
  const out: Point[] = [];
  for (const x of xs) out.push([x, await y(x)]);
  return out;
};
