import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { codeOf, table } from '../src/operator.js';

const bin = fileURLToPath(new URL('../src/bin.js', import.meta.url));
const run = (...args: string[]): { code: number | null; out: string; err: string } => {
  const r = spawnSync(process.execPath, [bin, ...args], {
    encoding: 'utf8',
    env: { ...process.env, THORNSAIL_AT: '' },
  });
  return { code: r.status, out: r.stdout, err: r.stderr };
};
const dir = mkdtempSync(path.join(os.tmpdir(), 'thornsail-cli-'));
const file = (name: string, v: unknown): string => {
  const f = path.join(dir, name);
  writeFileSync(f, typeof v === 'string' ? v : JSON.stringify(v));
  return f;
};
const ok = { name: 'f1', place: '127.0.0.1:1', http: '127.0.0.1:2', agent: '127.0.0.1:3' };

test('help and version exit 0; no command and an unknown one exit 2', () => {
  assert.is(run('--help').code, 0);
  assert.match(run('config', 'put', '--help').out, /--base/);
  assert.match(run('--version').out, /^\d+\.\d+\.\d+\n$/);
  assert.is(run().code, 2);
  const r = run('nosuch');
  assert.is(r.code, 2);
  assert.match(r.err, /nosuch/);
});
test('an unknown or bad key, in the file or as a flag, exits 2 and is named', () => {
  const cases: [string[], RegExp][] = [
    [['gateway', '--bogus', '1'], /--bogus/],
    [['gateway', '--settings', file('a.json', { ...ok, colour: 'red' })], /colour: unknown key/],
    [['gateway', '--settings', file('b.json', { ...ok, place: '1.2.3' })], /place: expected an address/],
    [['gateway', '--settings', file('c.json', ok), '--zone', 'Z 1'], /zone: expected/],
    [['gateway', '--settings', file('d.json', '{nonsense')], /settings file/],
    [['gateway', '--settings', path.join(dir, 'absent.json')], /absent\.json/],
    [
      [
        'coordinator',
        '--name',
        't',
        '--place',
        '127.0.0.1:1',
        '--http',
        '127.0.0.1:2',
        '--data',
        '/x',
        '--founders',
        '127.0.0.1:1,127.0.0.1:9',
      ],
      /founders/,
    ],
    [['store', '--name', 'k', '--place', '127.0.0.1:1', '--http', '127.0.0.1:2'], /data: missing/],
    [
      ['store', '--name', 'k', '--place', '127.0.0.1:1', '--http', '127.0.0.1:2', '--data', '/x', '--stores', 'three'],
      /--stores/,
    ],
    [['agent', 'extra'], /extra/],
    [['status'], /--at/],
    [['status', '--at', 'localhost:1'], /--at/],
    [['nodes', '--at', '127.0.0.1:1', '--colour'], /--colour/],
    [['config', 'put', '--at', '127.0.0.1:1', '--file', path.join(dir, 'absent.json')], /--file/],
    [['config', 'put', '--at', '127.0.0.1:1', '--file', file('e.json', {}), '--base', 'x'], /--base/],
  ];
  for (const [args, say] of cases) {
    const r = run(...args);
    assert.is(r.code, 2, `${args.join(' ')}: ${r.err}`);
    assert.match(r.err, say);
  }
});
test('a node that cannot be reached exits 1 and says which', () => {
  const r = run('status', '--at', '127.0.0.1:1');
  assert.is(r.code, 1);
  assert.match(r.err, /127\.0\.0\.1:1/);
});
test('exit codes and tables', () => {
  assert.equal([200, 409, 503, 422, 428, 404, 500].map(codeOf), [0, 3, 4, 2, 2, 1, 1]);
  assert.is(
    table([
      { a: 1, b: null },
      { a: 22, b: { c: 1 } },
    ]),
    'a   b\n1   -\n22  {"c":1}',
  );
});
test.after(() => rmSync(dir, { recursive: true, force: true }));
test.run();
