// The tables of docs/CAPACITY.md.
import { fit } from '../fit.js';
import { failures } from './failures.js';
import { figure, fitText } from './figure.js';
import { needRows } from './needs.js';
import { sizeOf } from './size.js';
import type { Found, Measured, Slope } from './slope.js';
import { ways } from './ways.js';

export type Row = (...c: (string | number)[]) => void;

const head = (row: Row, ...c: string[]): void => {
  row(...c);
  row(...c.map(() => '---'));
};

export const slopeHead = ['what', 'unit', 'mark', 'points', 'fit', 'r²', 'at the size'];

export const slopeRows = (slopes: Slope[]): string[][] =>
  slopes.map((s) => {
    const x = sizeOf[s.by]!;
    const run = s.points.some(([p]) => p >= x * 0.95);
    return [
      s.name,
      s.unit,
      s.mark,
      s.points.map(([p, y]) => `${figure(p)}: ${figure(y)}`).join('; '),
      fitText(s),
      s.fit.r2.toFixed(3),
      `${figure(fit.at(s.fit, x))} (${figure(x)} × ${s.by}${run ? '' : ', carried on'})`,
    ];
  });

const foundRows = (found: Found[]): string[][] =>
  found.map((f) => [f.what, f.points.map(([x, t]) => `${figure(x)}: ${t}`).join('; ')]);

export const capacity = {
  /** All tables of the page, in its order. */
  print: (m: Required<Measured>, out: (line: string) => void): void => {
    const row: Row = (...c) => out(`| ${c.join(' | ')} |`);
    out('\n### Slopes\n');
    head(row, ...slopeHead);
    for (const r of slopeRows(m.slopes)) row(...r);
    out('\n### Checks at several sizes (simulated)\n');
    head(row, 'what', 'by gateways');
    for (const r of foundRows(m.found)) row(...r);
    out('\n### Tries that failed\n');
    head(row, 'what', 'what came of it');
    for (const f of m.failed) row(f.what, f.why);
    out('\n### What each role holds and says at the size (reckoned)\n');
    head(row, 'role', 'what', 'by', 'at the size', 'of what is allowed', 'breaks');
    for (const r of needRows(m.slopes)) row(...r);
    out('\n### Ways weighed (reckoned)\n');
    head(row, 'piece', 'way', 'at the size', 'against what is allowed');
    for (const r of ways(m.slopes)) row(...r);
    out('\n### Failures (reckoned)\n');
    head(row, 'what', 'how much');
    for (const r of failures(m.slopes)) row(...r);
  },
};
