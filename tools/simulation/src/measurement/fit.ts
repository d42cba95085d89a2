// Fits of measured points, by least squares; what docs/CAPACITY.md carries on to the size to design for.
export type Point = readonly [x: number, y: number];
/**
 * `line`: y = base + slope·x. `power`: y = base·x^slope, fitted on logarithms. `log`: y = base + slope·ln x. `flat`:
 * y = base, for what does not grow with x by its mechanism; its r² is what the mean leaves of the figures' size.
 */
export type Shape = 'line' | 'power' | 'log' | 'flat';
export type Fit = { shape: Shape; slope: number; base: number; r2: number };

const straight = (points: Point[]): { slope: number; base: number } => {
  const n = points.length;
  const mx = points.reduce((a, [x]) => a + x, 0) / n;
  const my = points.reduce((a, [, y]) => a + y, 0) / n;
  const sxx = points.reduce((a, [x]) => a + (x - mx) ** 2, 0);
  const sxy = points.reduce((a, [x, y]) => a + (x - mx) * (y - my), 0);
  const slope = sxx === 0 ? 0 : sxy / sxx;
  return { slope, base: my - slope * mx };
};
export const fit = {
  of: (points: readonly Point[], shape: Shape): Fit => {
    if (points.length < 2) throw new Error('a fit needs points');
    if (shape === 'flat') {
      const base = points.reduce((a, [, y]) => a + y, 0) / points.length;
      const off = points.reduce((a, [, y]) => a + (y - base) ** 2, 0) / points.reduce((a, [, y]) => a + y ** 2, 0);
      return { shape, slope: 0, base, r2: 1 - off };
    }
    const to = (p: Point): Point =>
      shape === 'line' ? p : shape === 'log' ? [Math.log(p[0]), p[1]] : [Math.log(p[0]), Math.log(p[1])];
    const { slope, base } = straight(points.map(to));
    const f = { shape, slope, base: shape === 'power' ? Math.exp(base) : base, r2: 1 };
    // How much of the spread of the figures themselves, not of their logarithms, the fit explains.
    const mean = points.reduce((a, [, y]) => a + y, 0) / points.length;
    const all = points.reduce((a, [, y]) => a + (y - mean) ** 2, 0);
    const left = points.reduce((a, [x, y]) => a + (y - fit.at(f, x)) ** 2, 0);
    return { ...f, r2: all <= 1e-9 * mean ** 2 ? 1 : 1 - left / all };
  },
  at: (f: Omit<Fit, 'r2'>, x: number): number =>
    f.shape === 'line' || f.shape === 'flat'
      ? f.base + f.slope * x
      : f.shape === 'log'
        ? f.base + f.slope * Math.log(x)
        : f.base * x ** f.slope,
  /** The x at which the fit reaches y; Infinity if it never does. */
  reaches: (f: Omit<Fit, 'r2'>, y: number): number => {
    if (f.slope <= 0) return Infinity;
    if (f.shape === 'line') return (y - f.base) / f.slope;
    return f.shape === 'log' ? Math.exp((y - f.base) / f.slope) : (y / f.base) ** (1 / f.slope);
  },
};
