import { spawn, spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { setTimeout } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { codeOf, table } from '../src/operator.js';

const bin = fileURLToPath(new URL('../src/bin.js', import.meta.url));
const run = (...args: string[]): { code: number | null; out: string; err: string } => {
  const result = spawnSync(process.execPath, [bin, ...args], {
    encoding: 'utf8',
    env: { ...process.env, THORNSAIL_AT: '' },
  });
  return { code: result.status, out: result.stdout, err: result.stderr };
};
const dir = mkdtempSync(path.join(os.tmpdir(), 'thornsail-cli-'));
const writeSettings = (name: string, content: unknown): string => {
  const file = path.join(dir, name);
  writeFileSync(file, typeof content === 'string' ? content : JSON.stringify(content));
  return file;
};
const validSettings = { name: 'f1', place: '127.0.0.1:1', http: '127.0.0.1:2', agent: '127.0.0.1:3' };

test('help and version exit 0; no command and an unknown one exit 2', () => {
  assert.is(run('--help').code, 0);
  assert.match(run('config', 'put', '--help').out, /--base/);
  assert.match(run('--version').out, /^\d+\.\d+\.\d+\n$/);
  assert.is(run().code, 2);
  const unknown = run('nosuch');
  assert.is(unknown.code, 2);
  assert.match(unknown.err, /nosuch/);
});
test('an unknown or invalid key, in the settings file or as a flag, exits 2 and is named', () => {
  const cases: [string[], RegExp][] = [
    [['gateway', '--bogus', '1'], /--bogus/],
    [['gateway', '--settings', writeSettings('a.json', { ...validSettings, colour: 'red' })], /colour: unknown key/],
    [
      ['gateway', '--settings', writeSettings('b.json', { ...validSettings, place: '1.2.3' })],
      /place: expected an address/,
    ],
    [['gateway', '--settings', writeSettings('c.json', validSettings), '--zone', 'Z 1'], /zone: expected/],
    [['gateway', '--settings', writeSettings('d.json', '{nonsense')], /settings file/],
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
    [['config', 'put', '--at', '127.0.0.1:1', '--file', writeSettings('e.json', {}), '--base', 'x'], /--base/],
  ];
  for (const [args, message] of cases) {
    const result = run(...args);
    assert.is(result.code, 2, `${args.join(' ')}: ${result.err}`);
    assert.match(result.err, message);
  }
});
test('commands and flags of the previous release are accepted, with a warning for each', () => {
  const warning = (deprecated: string, current: string): string =>
    `thornsail: ${deprecated} is deprecated and goes in 0.3.0: use ${current}\n`;
  for (const [deprecatedCommand, currentCommand] of [
    ['front', 'gateway'],
    ['pilot', 'agent'],
    ['tower', 'coordinator'],
    ['keeper', 'store'],
  ] as const) {
    const former = run(deprecatedCommand);
    const current = run(currentCommand);
    assert.is(former.err, `${warning(deprecatedCommand, currentCommand)}${current.err}`);
    assert.is(former.code, 2);
  }
  assert.is(run('front', '--help').out, run('gateway', '--help').out);
  const shell = run('glass', '--at', '127.0.0.1:1', 'help');
  assert.is(shell.err, warning('glass', 'query'));
  assert.is(shell.code, 0);
  assert.is(shell.out, run('query', '--at', '127.0.0.1:1', 'help').out);

  const invalidArgs = ['--name', 'n', '--place', 'x', '--http', '127.0.0.1:2'];
  const gateway = run('front', ...invalidArgs, '--pilot', '127.0.0.1:3');
  assert.is(
    gateway.err,
    `${warning('front', 'gateway')}${warning('--pilot', '--agent')}thornsail: place: expected an address "ip:port"\n`,
  );
  const coordinator = run('coordinator', ...invalidArgs, '--data', '/x', '--leastKeepers=9');
  assert.match(coordinator.err, warning('--leastKeepers', '--leastStores'));
  assert.match(coordinator.err, /^thornsail: leastStores: expected a whole number from 0 to 7$/m);
});
test('a settings file of the previous release is accepted, and a flag takes precedence over its deprecated key', () => {
  const { agent, ...rest } = validSettings;
  const settings = writeSettings('before.json', { ...rest, ['pilot']: agent });
  const fromFile = run('gateway', '--settings', settings, '--zone', 'Z 1');
  assert.match(fromFile.err, /^thornsail: pilot is deprecated and goes in 0\.3\.0: use agent$/m);
  assert.is(fromFile.err.split('\n').length, 3, fromFile.err);
  assert.match(fromFile.err, /zone: expected/);
  const both = run('gateway', '--settings', settings, '--agent', 'nowhere');
  assert.match(both.err, /^thornsail: agent: expected an address/m);
});
test('a gateway serves that is started with the command and the settings of the previous release', async () => {
  const [place, http, agent] = ['127.0.0.1:17391', '127.0.0.1:17392', '127.0.0.1:17393'];
  const child = spawn(process.execPath, [
    ...[bin, 'front', '--settings', writeSettings('front.json', { name: 'f1', place, http, ['pilot']: agent })],
  ]);
  let out = '';
  child.stdout.setEncoding('utf8').on('data', (text: string) => void (out += text));
  const ended = once(child, 'exit');
  try {
    for (let i = 0; i < 200 && !out.includes('\n') && child.exitCode === null; i++) await setTimeout(50);
    assert.is(out, `gateway listens at http ${http}, siblings ${place}\n`);
  } finally {
    child.kill('SIGKILL');
    await ended;
  }
});
test('an unreachable node exits 1 and is named in the error', () => {
  const result = run('status', '--at', '127.0.0.1:1');
  assert.is(result.code, 1);
  assert.match(result.err, /127\.0\.0\.1:1/);
});
test('HTTP statuses map to exit codes, and rows print as an aligned table', () => {
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
