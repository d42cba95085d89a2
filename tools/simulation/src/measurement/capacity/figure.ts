// Figures as docs/CAPACITY.md writes them: three digits and a unit.
import type { Slope } from './slope.js';

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
  ).find(([from]) => abs >= from);
  const of = unit === undefined ? 1 : unit[1] === 'k' ? 1e3 : unit[0];
  return `${Number((n / of).toPrecision(3))}${unit === undefined ? '' : ` ${unit[1]}`}`;
};

export const amount = (n: number, unit: string): string => {
  const f = figure(n);
  return /[kMGT]$/.test(f) ? `${f}${unit}` : `${f} ${unit}`;
};

export const ofCore = (used: number): string => `${figure(used / 1e4)}% of a core`;

export const fitText = (s: Slope): string => {
  const [a, b] = [figure(s.fit.slope), figure(s.fit.base)];
  if (s.fit.shape === 'flat') return `${b}, flat`;
  return s.fit.shape === 'line' ? `${b} + ${a}·x` : s.fit.shape === 'log' ? `${b} + ${a}·ln x` : `${b}·x^${a}`;
};

export const ofAllowed = (value: number, most: number, what: string): string =>
  value >= 10 * most ? `${figure(value / most)} × ${what}` : `${figure((100 * value) / most)}% of ${what}`;
