// Prints the tables of docs/CAPACITY.md.
import { fit } from '../fit.js';
import { failures } from './failures.js';
import { figure, fitText } from './figure.js';
import { needRows } from './needs.js';
import { sizeOf } from './size.js';
import type { SizeCheck, Measurement, Slope } from './slope.js';
import { alternatives } from './ways.js';

/** Prints a table row. */
export type Row = (...cells: (string | number)[]) => void;

const tableHead = (row: Row, ...cells: string[]): void => {
  row(...cells);
  row(...cells.map(() => '---'));
};

/** Column headings of the table of slopes. */
export const slopeHead = ['what', 'unit', 'mark', 'points', 'fit', 'r²', 'at the size'];

/** Rows of the table of slopes; values beyond the largest sample are marked as extrapolated (`carried on`). */
export const slopeRows = (slopes: Slope[]): string[][] =>
  slopes.map((slope) => {
    const input = sizeOf[slope.by]!;
    const coversSize = slope.points.some(([pointX]) => pointX >= input * 0.95);
    return [
      slope.name,
      slope.unit,
      slope.origin,
      slope.points.map(([pointX, pointY]) => `${figure(pointX)}: ${figure(pointY)}`).join('; '),
      fitText(slope),
      slope.fit.r2.toFixed(3),
      `${figure(fit.valueAt(slope.fit, input))} (${figure(input)} × ${slope.by}${coversSize ? '' : ', carried on'})`,
    ];
  });

const foundRows = (found: SizeCheck[]): string[][] =>
  found.map((check) => [check.what, check.points.map(([input, text]) => `${figure(input)}: ${text}`).join('; ')]);

/** The tables of docs/CAPACITY.md. */
export const capacity = {
  /** All tables of the page, in its order. */
  print: (results: Required<Measurement>, out: (line: string) => void): void => {
    const row: Row = (...cells) => out(`| ${cells.join(' | ')} |`);
    out('\n### Slopes\n');
    tableHead(row, ...slopeHead);
    for (const cells of slopeRows(results.slopes)) row(...cells);
    out('\n### Checks at several sizes (simulated)\n');
    tableHead(row, 'what', 'by gateways');
    for (const cells of foundRows(results.checks)) row(...cells);
    out('\n### Tries that failed\n');
    tableHead(row, 'what', 'what came of it');
    for (const attempt of results.failed) row(attempt.what, attempt.why);
    out('\n### What each role holds and says at the size (reckoned)\n');
    tableHead(row, 'role', 'what', 'by', 'at the size', 'of what is allowed', 'breaks');
    for (const cells of needRows(results.slopes)) row(...cells);
    out('\n### Ways weighed (reckoned)\n');
    tableHead(row, 'piece', 'way', 'at the size', 'against what is allowed');
    for (const cells of alternatives(results.slopes)) row(...cells);
    out('\n### Failures (reckoned)\n');
    tableHead(row, 'what', 'how much');
    for (const cells of failures(results.slopes)) row(...cells);
  },
};
