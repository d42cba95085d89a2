import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { queryShell } from '@thornsail/query-shell';

const runQuery = (source: string, rows: Record<string, unknown>[]): unknown => {
  const parsed = queryShell.parse(source);
  if (!parsed.ok) return parsed.text;
  return queryShell.run(parsed.query, rows);
};
const rows = [
  { name: 'a', role: 'store', zone: 'z1', inc: 2 },
  { name: 'b', role: 'coordinator', zone: 'z1', inc: 10 },
  { name: 'c', role: 'store', zone: 'z2', inc: 9 },
];

test('queries filter, sort, limit, select and count rows', () => {
  assert.equal(runQuery('nodes where role=store and zone != z2 show name', rows), [{ name: 'a' }]);
  assert.equal(runQuery('nodes sort inc down limit 2 show name, inc', rows), [
    { name: 'b', inc: 10 },
    { name: 'c', inc: 9 },
  ]);
  assert.equal(runQuery('nodes where inc >= 9 count', rows), [{ count: 2 }]);
  assert.equal(runQuery('nodes count by role', rows), [
    { role: 'coordinator', count: 1 },
    { role: 'store', count: 2 },
  ]);
  assert.equal(runQuery('nodes where role ~ tor and name = "c"', rows), [rows[2]]);
  assert.equal(runQuery('nodes', rows), rows);
});
test('an invalid query gives an error message that names the mistake', () => {
  const invalid: [string, RegExp][] = [
    ['', /empty/],
    ['nodez', /no table "nodez"; there are nodes/],
    ['nodes where colour = red', /no column "colour"/],
    ['nodes where role', /one of = !=/],
    ['nodes where role =', /a value is needed/],
    ['nodes limit 0', /whole number/],
    ['nodes sideways', /"sideways" is not understood/],
    ['nodes show name count', /do not go together/],
    ['nodes where name = "a', /column/],
  ];
  for (const [source, message] of invalid) {
    const result = runQuery(source, rows);
    assert.type(result, 'string');
    assert.match(result as string, message);
  }
});
test.run();
