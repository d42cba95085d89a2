// Least-squares fits, by which docs/CAPACITY.md extrapolates to the design size.
/** A sample: the size and the value at this size. */
export type Point = readonly [xValue: number, yValue: number];
/**
 * The model of a fit. `line`: y = base + slope·x. `power`: y = base·x^slope, fitted on logarithms. `log`: y = base +
 * slope·ln x. `flat`: y = base, for values that by design do not depend on x; its r² is 1 minus the squared deviations
 * from the mean over the squared values.
 */
export type Shape = 'line' | 'power' | 'log' | 'flat';
/** A fitted model and its coefficient of determination `r2`. */
export type Fit = { shape: Shape; slope: number; base: number; r2: number };

/** Ordinary least squares of a straight line. */
const linearRegression = (points: Point[]): { slope: number; base: number } => {
  const n = points.length;
  const meanX = points.reduce((a, [xi]) => a + xi, 0) / n;
  const meanY = points.reduce((a, [, yi]) => a + yi, 0) / n;
  const sumXX = points.reduce((a, [xi]) => a + (xi - meanX) ** 2, 0);
  const sumXY = points.reduce((a, [xi, yi]) => a + (xi - meanX) * (yi - meanY), 0);
  const slope = sumXX === 0 ? 0 : sumXY / sumXX;
  return { slope, base: meanY - slope * meanX };
};
/** Fits a model to points, evaluates it, and solves it for x. */
export const fit = {
  leastSquares: (points: readonly Point[], shape: Shape): Fit => {
    if (points.length < 2) throw new Error('a fit needs at least two points');
    if (shape === 'flat') {
      const base = points.reduce((a, [, yi]) => a + yi, 0) / points.length;
      const residual =
        points.reduce((a, [, yi]) => a + (yi - base) ** 2, 0) / points.reduce((a, [, yi]) => a + yi ** 2, 0);
      return { shape, slope: 0, base, r2: 1 - residual };
    }
    const transform = (point: Point): Point =>
      shape === 'line'
        ? point
        : shape === 'log'
          ? [Math.log(point[0]), point[1]]
          : [Math.log(point[0]), Math.log(point[1])];
    const { slope, base } = linearRegression(points.map(transform));
    const curve = { shape, slope, base: shape === 'power' ? Math.exp(base) : base, r2: 1 };
    // r² refers to the values themselves, also where the fit is on their logarithms.
    const mean = points.reduce((a, [, yi]) => a + yi, 0) / points.length;
    const totalVariation = points.reduce((a, [, yi]) => a + (yi - mean) ** 2, 0);
    const residualVariation = points.reduce((a, [xi, yi]) => a + (yi - fit.valueAt(curve, xi)) ** 2, 0);
    return { ...curve, r2: totalVariation <= 1e-9 * mean ** 2 ? 1 : 1 - residualVariation / totalVariation };
  },
  valueAt: (curve: Omit<Fit, 'r2'>, input: number): number =>
    curve.shape === 'line' || curve.shape === 'flat'
      ? curve.base + curve.slope * input
      : curve.shape === 'log'
        ? curve.base + curve.slope * Math.log(input)
        : curve.base * input ** curve.slope,
  /** The x at which the fit reaches the target y; Infinity if it never does. */
  solveForX: (curve: Omit<Fit, 'r2'>, target: number): number => {
    if (curve.slope <= 0) return Infinity;
    if (curve.shape === 'line') return (target - curve.base) / curve.slope;
    return curve.shape === 'log'
      ? Math.exp((target - curve.base) / curve.slope)
      : (target / curve.base) ** (1 / curve.slope);
  },
};
