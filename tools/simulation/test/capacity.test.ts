// Runs the measurements of docs/CAPACITY.md at small sizes, and checks that the page has the tables that they print.
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { duration } from '@thornsail/runtime';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { failures } from '../src/measurement/capacity/failures.js';
import { figure } from '../src/measurement/capacity/figure.js';
import { measure } from '../src/measurement/capacity/index.js';
import { needRows } from '../src/measurement/capacity/needs.js';
import { capacity, slopeHead, slopeRows } from '../src/measurement/capacity/page.js';
import { alternatives } from '../src/measurement/capacity/ways.js';
import { fit, type Point } from '../src/measurement/fit.js';
import { hollowCluster, kindOf, total } from '../src/measurement/hollow.js';

const page = readFileSync(fileURLToPath(new URL('../../../docs/CAPACITY.md', import.meta.url)), 'utf8');
/** The cells of each table row of the page. */
const rows = page
  .split('\n')
  .filter((line) => line.startsWith('| '))
  .map((line) => line.slice(2, -2).split(' | '));
const smallMeasurement = measure('small');

test('a fit recovers the function that generated its points, and the input at which it reaches a value', () => {
  const inputs = [1, 2, 4, 8, 16];
  const functions = {
    line: (input: number) => 7 + 3 * input,
    power: (input: number) => 5 * input ** 2.1,
    log: (input: number) => 2 + Math.log(input),
  };
  for (const shape of ['line', 'power', 'log'] as const) {
    const fitted = fit.leastSquares(
      inputs.map((input): Point => [input, functions[shape](input)]),
      shape,
    );
    assert.ok(Math.abs(fit.valueAt(fitted, 100) / functions[shape](100) - 1) < 1e-9, shape);
    assert.ok(Math.abs(fit.solveForX(fitted, functions[shape](50)) / 50 - 1) < 1e-9, shape);
    assert.ok(fitted.r2 > 0.999999, shape);
  }
  const flat = fit.leastSquares(
    [1, 2, 3, 4].map((input): Point => [input, input % 2 ? 9 : 11]),
    'flat',
  );
  assert.equal([fit.valueAt(flat, 1), fit.valueAt(flat, 1e6), fit.solveForX(flat, 20)], [10, 10, Infinity]);
  const falling: Point[] = [1, 2, 3, 4].map((input) => [input, 10 - input]);
  assert.is(fit.solveForX(fit.leastSquares(falling, 'line'), 20), Infinity);
  const scattered: Point[] = [1, 2, 3, 4].map((input) => [input, input % 2 ? 10 : 1]);
  assert.ok(fit.leastSquares(scattered, 'line').r2 < 0.5, 'a line through scattered points has a low r²');
});
test('figures have at most three significant digits and a unit prefix', () => {
  assert.equal([0.5, 12, 5_772, 48_211, 2.5e6, 3.1e9, Infinity].map(figure), [
    '0.5',
    '12',
    '5770',
    '48.2 k',
    '2.5 M',
    '3.1 G',
    'never',
  ]);
});
test('a frame is counted under its kind, and a disseminated update under the first word of its name', async () => {
  assert.is(kindOf('[{"p":1,"k":2,"t":3,"n":4,"b":5},1,"tell","beat","",{"id":6,"inc":7},"beat-1",1]'), 'beat');
  const cluster = await hollowCluster.open({ edges: 2 });
  // The nodes may be up before the first heartbeat is due.
  await cluster!.run(duration.s(1));
  const kinds = new Set(cluster!.nodes.flatMap((node) => [...node.tally.sent.keys()]));
  for (const kind of ['beat', 'beam.sum', 'news.order', 'news.workers', 'news.uses', 'load', 'view.order', 'core'])
    assert.ok(kinds.has(kind), `no ${kind}`);
  assert.not(kinds.has('other'));
  const sent = cluster!.nodes.reduce((count, node) => count + total(node.tally.sent).messages, 0);
  assert.is(sent, cluster!.world.frames(), 'the frames on the network are those that were counted');
  assert.is(
    await hollowCluster.open({ edges: 2, within: 1 }),
    undefined,
    'a cluster that takes too long to start is given up',
  );
});
test('every slope has at least four sizes, a mark and finite figures', async () => {
  const measurement = await smallMeasurement;
  assert.is(measurement.slopes.length, new Set(measurement.slopes.map((slope) => slope.name)).size);
  for (const slope of measurement.slopes) {
    assert.ok(slope.points.length >= 4, slope.name);
    assert.is(new Set(slope.points.map(([input]) => input)).size, slope.points.length, slope.name);
    assert.ok(['measured', 'simulated'].includes(slope.origin), slope.name);
    assert.ok(
      [...slope.points.flat(), slope.fit.slope, slope.fit.base, slope.fit.r2].every(Number.isFinite),
      slope.name,
    );
  }
  // Counts of protocol bytes and messages are exact, so these are straight lines at any size.
  for (const name of ['a version, by roster', 'the list of workers', 'load while turns change'])
    assert.ok(measurement.slopes.find((slope) => slope.name === name)!.fit.r2 > 0.99, name);
  assert.equal(
    measurement.checks[0]!.points.map(([, outcome]) => outcome).every(
      (outcome) => outcome === 'acknowledged' || outcome === 'unconfirmed',
    ),
    true,
  );
});
test('the page has the slopes, needs and failures that the command prints, in the same form', async () => {
  const measurement = await smallMeasurement;
  assert.ok(rows.some((row) => row.join() === slopeHead.join()));
  const rowKey = (row: string[]): string => row.slice(0, 2).join(' | ');
  const rowsByKey = new Map(rows.map((row) => [rowKey(row), row]));
  for (const expected of slopeRows(measurement.slopes)) {
    const actual = rowsByKey.get(rowKey(expected));
    assert.ok(actual, `the page lacks ${rowKey(expected)}`);
    assert.is(actual.length, expected.length, rowKey(expected));
    assert.is(actual[2], expected[2], `${rowKey(expected)}: different mark`);
    assert.ok(actual[3]!.split('; ').length >= 4, `${rowKey(expected)}: too few points`);
    assert.is(actual[4]!.includes('·x'), expected[4]!.includes('·x'), `${rowKey(expected)}: different fit`);
  }
  for (const expected of needRows(measurement.slopes)) {
    assert.not(expected.join().includes('NaN'), rowKey(expected));
    assert.is(rowsByKey.get(rowKey(expected))?.length, expected.length, `the page lacks ${rowKey(expected)}`);
  }
  for (const [piece, way] of alternatives(measurement.slopes))
    assert.ok(rowsByKey.has(`${piece} | ${way}`), `the page lacks ${piece} | ${way}`);
  const firstCells = new Set(rows.map((row) => row[0]));
  for (const [failureName] of failures(measurement.slopes))
    assert.ok(firstCells.has(failureName), `the page lacks ${failureName}`);
  for (const finding of measurement.checks) assert.ok(firstCells.has(finding.what), `the page lacks ${finding.what}`);
  const lines: string[] = [];
  capacity.print(measurement, (line) => lines.push(line));
  assert.ok(lines.length > measurement.slopes.length + needRows(measurement.slopes).length);
  assert.not(lines.join('\n').includes('undefined'));
});
test('no child process is left running', async () => {
  await smallMeasurement;
  assert.not(process.getActiveResourcesInfo().includes('ProcessWrap'));
});
test.run();
