import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { queryShell } from '@thornsail/query-shell';

const ask = (s: string, rows: Record<string, unknown>[]): unknown => {
  const p = queryShell.parse(s);
  if (!p.ok) return p.text;
  return queryShell.run(p.query, rows);
};
const rows = [
  { name: 'a', role: 'store', zone: 'z1', inc: 2 },
  { name: 'b', role: 'coordinator', zone: 'z1', inc: 10 },
  { name: 'c', role: 'store', zone: 'z2', inc: 9 },
];

test('queries', () => {
  assert.equal(ask('nodes where role=store and zone != z2 show name', rows), [{ name: 'a' }]);
  assert.equal(ask('nodes sort inc down limit 2 show name, inc', rows), [
    { name: 'b', inc: 10 },
    { name: 'c', inc: 9 },
  ]);
  assert.equal(ask('nodes where inc >= 9 count', rows), [{ count: 2 }]);
  assert.equal(ask('nodes count by role', rows), [
    { role: 'coordinator', count: 1 },
    { role: 'store', count: 2 },
  ]);
  assert.equal(ask('nodes where role ~ tor and name = "c"', rows), [rows[2]]);
  assert.equal(ask('nodes', rows), rows);
});
test('bad queries are told plainly what is wrong', () => {
  const bad: [string, RegExp][] = [
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
  for (const [s, re] of bad) {
    const r = ask(s, rows);
    assert.type(r, 'string');
    assert.match(r as string, re);
  }
});
test.run();
