// Formats figures for docs/CAPACITY.md: three significant digits and a unit.
import type { Slope } from './slope.js';

/** Formats a number with three digits and an SI prefix; `never` if it is not finite. */
export const figure = (n: number): string => {
  if (!Number.isFinite(n)) return 'never';
  const abs = Math.abs(n);
  if (abs >= 1e15 || (abs > 0 && abs < 1e-3)) return n.toExponential(1);
  const unit = (
    [
      [1e12, 'T'],
      [1e9, 'G'],
      [1e6, 'M'],
      [1e4, 'k'],
    ] as const
  ).find(([threshold]) => abs >= threshold);
  const divisor = unit === undefined ? 1 : unit[1] === 'k' ? 1e3 : unit[0];
  return `${Number((n / divisor).toPrecision(3))}${unit === undefined ? '' : ` ${unit[1]}`}`;
};

/** Formats a number with its prefix and unit. */
export const amount = (n: number, unit: string): string => {
  const text = figure(n);
  return /[kMGT]$/.test(text) ? `${text}${unit}` : `${text} ${unit}`;
};

/** Formats microseconds of processor time a second as a percentage of a core. */
export const coreShare = (used: number): string => `${figure(used / 1e4)}% of a core`;

/** Formats a fit as a formula. */
export const fitText = (slope: Slope): string => {
  const [a, b] = [figure(slope.fit.slope), figure(slope.fit.base)];
  if (slope.fit.shape === 'flat') return `${b}, flat`;
  return slope.fit.shape === 'line' ? `${b} + ${a}·x` : slope.fit.shape === 'log' ? `${b} + ${a}·ln x` : `${b}·x^${a}`;
};

/** Formats a value as a percentage of its limit, from ten times the limit on as a multiple. */
export const shareOfAllowed = (value: number, limit: number, what: string): string =>
  value >= 10 * limit ? `${figure(value / limit)} × ${what}` : `${figure((100 * value) / limit)}% of ${what}`;
