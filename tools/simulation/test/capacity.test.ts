// The measuring code of docs/CAPACITY.md at small sizes, and that the page has the form of what it gives.
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
import { ways } from '../src/measurement/capacity/ways.js';
import { fit, type Point } from '../src/measurement/fit.js';
import { hollow, kindOf, total } from '../src/measurement/hollow.js';

const page = readFileSync(fileURLToPath(new URL('../../../docs/CAPACITY.md', import.meta.url)), 'utf8');
/** The cells of the tables of the page, by their row. */
const rows = page
  .split('\n')
  .filter((l) => l.startsWith('| '))
  .map((l) => l.slice(2, -2).split(' | '));
const small = measure('small');

test('fits find the law that made the points, and where it reaches a value', () => {
  const xs = [1, 2, 4, 8, 16];
  const laws = {
    line: (x: number) => 7 + 3 * x,
    power: (x: number) => 5 * x ** 2.1,
    log: (x: number) => 2 + Math.log(x),
  };
  for (const shape of ['line', 'power', 'log'] as const) {
    const f = fit.of(
      xs.map((x): Point => [x, laws[shape](x)]),
      shape,
    );
    assert.ok(Math.abs(fit.at(f, 100) / laws[shape](100) - 1) < 1e-9, shape);
    assert.ok(Math.abs(fit.reaches(f, laws[shape](50)) / 50 - 1) < 1e-9, shape);
    assert.ok(f.r2 > 0.999999, shape);
  }
  const flat = fit.of(
    [1, 2, 3, 4].map((x): Point => [x, x % 2 ? 9 : 11]),
    'flat',
  );
  assert.equal([fit.at(flat, 1), fit.at(flat, 1e6), fit.reaches(flat, 20)], [10, 10, Infinity]);
  const falling: Point[] = [1, 2, 3, 4].map((x) => [x, 10 - x]);
  assert.is(fit.reaches(fit.of(falling, 'line'), 20), Infinity);
  const spread: Point[] = [1, 2, 3, 4].map((x) => [x, x % 2 ? 10 : 1]);
  assert.ok(fit.of(spread, 'line').r2 < 0.5, 'a fit that explains nothing says so');
});
test('figures are short, and say their thousands', () => {
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
test('a frame is counted under its kind, and news under the first word of its name', async () => {
  assert.is(kindOf('[{"p":1,"k":2,"t":3,"n":4,"b":5},1,"tell","beat","",{"id":6,"inc":7},"beat-1",1]'), 'beat');
  const h = await hollow.open({ edges: 2 });
  // They may be up before the first heartbeat is due.
  await h!.run(duration.s(1));
  const kinds = new Set(h!.nodes.flatMap((n) => [...n.tally.sent.keys()]));
  for (const k of ['beat', 'beam.sum', 'news.order', 'news.workers', 'news.uses', 'load', 'view.order', 'core'])
    assert.ok(kinds.has(k), `no ${k}`);
  assert.not(kinds.has('other'));
  const sent = h!.nodes.reduce((a, n) => a + total(n.tally.sent).messages, 0);
  assert.is(sent, h!.w.frames(), 'what goes over the net is what was counted');
  assert.is(await hollow.open({ edges: 2, within: 1 }), undefined, 'one that takes too long is given up');
});
test('every slope has four sizes, a mark, and figures', async () => {
  const m = await small;
  assert.is(m.slopes.length, new Set(m.slopes.map((s) => s.name)).size);
  for (const s of m.slopes) {
    assert.ok(s.points.length >= 4, s.name);
    assert.is(new Set(s.points.map(([x]) => x)).size, s.points.length, s.name);
    assert.ok(['measured', 'simulated'].includes(s.mark), s.name);
    assert.ok([...s.points.flat(), s.fit.slope, s.fit.base, s.fit.r2].every(Number.isFinite), s.name);
  }
  // What counts bytes or messages of the protocol is exact: these are straight lines at any size.
  for (const name of ['a version, by roster', 'the list of workers', 'load while turns change'])
    assert.ok(m.slopes.find((s) => s.name === name)!.fit.r2 > 0.99, name);
  assert.equal(
    m.found[0]!.points.map(([, t]) => t).every((t) => t === 'acknowledged' || t === 'unconfirmed'),
    true,
  );
});
test('the page has the slopes, needs and failures that the command gives, and in its form', async () => {
  const m = await small;
  assert.ok(rows.some((r) => r.join() === slopeHead.join()));
  const first = (r: string[]): string => r.slice(0, 2).join(' | ');
  const have = new Map(rows.map((r) => [first(r), r]));
  for (const want of slopeRows(m.slopes)) {
    const got = have.get(first(want));
    assert.ok(got, `the page lacks ${first(want)}`);
    assert.is(got.length, want.length, first(want));
    assert.is(got[2], want[2], `${first(want)}: another mark`);
    assert.ok(got[3]!.split('; ').length >= 4, `${first(want)}: too few points`);
    assert.is(got[4]!.includes('·x'), want[4]!.includes('·x'), `${first(want)}: another fit`);
  }
  for (const want of needRows(m.slopes)) {
    assert.not(want.join().includes('NaN'), first(want));
    assert.is(have.get(first(want))?.length, want.length, `the page lacks ${first(want)}`);
  }
  for (const [piece, way] of ways(m.slopes))
    assert.ok(have.has(`${piece} | ${way}`), `the page lacks ${piece} | ${way}`);
  const named = new Set(rows.map((r) => r[0]));
  for (const [what] of failures(m.slopes)) assert.ok(named.has(what), `the page lacks ${what}`);
  for (const f of m.found) assert.ok(named.has(f.what), `the page lacks ${f.what}`);
  const lines: string[] = [];
  capacity.print(m, (l) => lines.push(l));
  assert.ok(lines.length > m.slopes.length + needRows(m.slopes).length);
  assert.not(lines.join('\n').includes('undefined'));
});
test('what was started has ended', async () => {
  await small;
  assert.not(process.getActiveResourcesInfo().includes('ProcessWrap'));
});
test.run();
