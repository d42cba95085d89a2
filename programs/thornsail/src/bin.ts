#!/usr/bin/env node
// The command line (§7.4). Exit codes: 0 done, 1 failed, 2 wrong use or settings, 3 collision, 4 no agreed result.
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { stripVTControlCharacters } from 'node:util';
import { defineCommand, renderUsage, runCommand, type ArgsDef, type CommandDef } from 'citty';
import { configSchema, deprecatedNames, type Role } from '@thornsail/config-schema';
import { queryShell } from '@thornsail/query-shell';
import { fault, invariant, real, type Runtime } from '@thornsail/runtime';
import { currentCommandLine } from './deprecated-names.js';
import { operator } from './operator.js';
import { roles, type Node } from './roles.js';
import { warmUpGateway } from './warm-up.js';

const plain = (text: string): string => (process.stdout.isTTY ? text : stripVTControlCharacters(text));
const out = (text: string): void => void process.stdout.write(`${plain(text)}\n`);
const err = (text: string): void => void process.stderr.write(`thornsail: ${stripVTControlCharacters(text)}\n`);
const release =
  (JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8')) as Record<string, string>)[
    'version'
  ] ?? '0';

const lists = new Set(['seeds', 'founders']);
const numbers = new Set(['beatMs', 'tolerates', 'leastStores']);
/** A flag's text as its key wants it; what is no number is left for the check to name. */
const fromFlag = (key: string, v: unknown): unknown => {
  if (lists.has(key)) return String(v).split(',').filter(Boolean);
  return numbers.has(key) && /^\d+$/.test(String(v)) ? Number(v) : v;
};
const wrongUse = (text: string): never => {
  err(text);
  process.exit(2);
};

const flagsOnly = (args: Record<string, unknown>, known: string[]): void => {
  for (const k of Object.keys(args)) if (k !== '_' && !known.includes(k)) wrongUse(`unknown flag --${k}`);
};
const kebabCase = (key: string): string => key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
const describe: Record<string, string> = {
  place: 'address for siblings, ip:port',
  http: 'address for HTTP, ip:port',
  zone: 'zone of this machine',
  seeds: 'three addresses of other processes, comma between',
  name: 'name of this node',
  data: 'data folder',
  founders: 'the three places of the first coordinators (coordinators only)',
  platform: 'address of the platform',
  agent: 'place of the agent beside this gateway',
  beatMs: 'milliseconds between two heartbeats',
  tolerates: 'machines that may be lost at once (coordinators only)',
  leastStores: 'stores that a drain leaves at least (coordinators only)',
};

const roleCommand = (role: Role, text: string): CommandDef => {
  const keys = configSchema.keys(role);
  const args: ArgsDef = { 'settings': { type: 'string', description: 'settings file (JSON); flags go first' } };
  for (const k of keys) args[k] = { type: 'string', description: describe[k] ?? k };
  return defineCommand({
    meta: { name: role, description: text },
    args,
    run: async ({ args: given }) => {
      const a = given as Record<string, unknown> & { _: string[] };
      // citty gives `--beatMs` under `beat-ms` as well.
      flagsOnly(a, ['settings', ...keys, ...keys.map(kebabCase)]);
      if (a._.length) wrongUse(`unexpected word ${a._[0]}`);
      let file: unknown = {};
      if (typeof a['settings'] === 'string') {
        try {
          file = JSON.parse(readFileSync(a['settings'], 'utf8'));
        } catch (e) {
          wrongUse(`settings file ${a['settings']}: ${fault.text(e)}`);
        }
        if (typeof file !== 'object' || file === null || Array.isArray(file))
          wrongUse(`settings file ${a['settings']}: an object is needed`);
      }
      const fromFile = deprecatedNames.settings(role, file as Record<string, unknown>);
      for (const warning of fromFile.warnings) err(warning);
      const merged = fromFile.settings;
      for (const k of keys) if (a[k] !== undefined) merged[k] = fromFlag(k, a[k]);
      const c = configSchema.options(role, merged);
      if (!c.ok) {
        for (const p of c.problems) err(`${p.path}: ${p.text}`);
        process.exit(2);
      }
      await run(role, c.value as { data?: string });
    },
  });
};

const run = async (role: Role, options: { data?: string }): Promise<void> => {
  real.enableDefaultLogs();
  const runtime = real.runtime(options.data ?? '/nonexistent');
  const node = await (roles[role] as (l: Runtime, o: never) => Promise<Node>)(runtime, options as never);
  out(`${role} listens at http ${node.http}, siblings ${node.place}`);
  if (role === 'gateway') void warmUpGateway(runtime, node);
  node.onFailed((why) => {
    err(why);
    process.exit(1);
  });
  let asked = 0;
  const leave = (): void => {
    asked += 1;
    if (asked > 1) process.exit(1);
    // Running turns are finished; nothing is cut off.
    const work = role === 'gateway' || role === 'agent' ? node.drain() : Promise.resolve();
    work
      .catch(() => undefined)
      .then(() => node.close())
      .then(
        () => process.exit(invariant.breaches().length ? 1 : 0),
        () => process.exit(1),
      );
  };
  process.on('SIGTERM', leave);
  process.on('SIGINT', leave);
  process.on('unhandledRejection', (e) => {
    err(`a step failed unhandled: ${fault.text(e)}`);
    process.exit(1);
  });
};

const at: ArgsDef = {
  at: { type: 'string', description: 'HTTP address of any node, ip:port', default: process.env['THORNSAIL_AT'] ?? '' },
  json: { type: 'boolean', description: 'print JSON' },
};
const operatorCommand = (
  name: string,
  text: string,
  extra: ArgsDef,
  fn: (a: Record<string, unknown> & { _: string[] }) => Promise<number>,
): CommandDef =>
  defineCommand({
    meta: { name, description: text },
    args: { ...at, ...extra },
    run: async ({ args: given }) => {
      const a = given as Record<string, unknown> & { _: string[] };
      const words = Object.entries(extra).filter(([, d]) => d.type === 'positional').length;
      flagsOnly(a, [
        'at',
        'json',
        ...Object.keys(extra),
        ...Object.keys(extra).map((k) => k.replace(/-([a-z])/g, (_m, c: string) => c.toUpperCase())),
      ]);
      if (a._.length > words) wrongUse(`unexpected word ${a._[words]}`);
      if (!a['at']) wrongUse('--at is needed: the HTTP address of any node, ip:port (or THORNSAIL_AT)');
      if (!/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/.test(String(a['at']))) wrongUse('--at: an address "ip:port" is needed');
      process.exitCode = await fn(a);
    },
  });
const op = operator.open({ runtime: real.runtime('/nonexistent'), out, err });
const show = (what: string, text: string): CommandDef =>
  operatorCommand(what, text, {}, (a) => op.show(String(a['at']), what, a['json'] === true));
const pushArgs: ArgsDef = {
  file: { type: 'string', description: 'JSON file, or - for standard input', required: true },
  base: { type: 'string', description: 'the mark that the change is based on (default: the present one)' },
  'push-id': { type: 'string', description: 'repeating a push with the same id has one effect' },
};
const fileText = (a: Record<string, unknown>): string => {
  try {
    const body = readFileSync(a['file'] === '-' ? 0 : String(a['file']), 'utf8');
    JSON.parse(body);
    return body;
  } catch (e) {
    return wrongUse(`--file: ${fault.text(e)}`);
  }
};
const checkBase = (a: Record<string, unknown>): void => {
  if (a['base'] !== undefined && !/^\d+$/.test(a['base'] as string)) wrongUse('--base: a whole number is needed');
};
const pushed =
  (how: 'PUT' | 'PATCH') =>
  (a: Record<string, unknown>): Promise<number> => {
    const body = fileText(a);
    checkBase(a);
    return op.push(
      String(a['at']),
      how,
      body,
      a['base'] as string | undefined,
      (a['push-id'] ?? a['pushId']) as string | undefined,
      a['json'] === true,
    );
  };

const shell = async (where: string, query: string | undefined, json: boolean): Promise<number> => {
  if (query !== undefined) {
    if (query === 'help') {
      out(queryShell.help());
      return 0;
    }
    return op.query(where, query, json);
  }
  const rl = createInterface({
    input: process.stdin,
    ...(process.stdin.isTTY ? { output: process.stdout } : {}),
    prompt: 'thornsail> ',
  });
  let code = 0;
  rl.prompt();
  for await (const line of rl) {
    const text = line.trim();
    if (text === 'quit' || text === 'exit') break;
    if (text === 'help') out(queryShell.help());
    else if (text !== '') code = (await op.query(where, text, json)) || code;
    rl.prompt();
  }
  rl.close();
  return code;
};
const main = defineCommand({
  meta: { name: 'thornsail', 'version': release, description: 'A serving tier for agent programs.' },
  subCommands: {
    gateway: roleCommand('gateway', "the reference gateway: takes callers' requests"),
    agent: roleCommand('agent', 'the daemon beside a gateway'),
    coordinator: roleCommand('coordinator', 'a core node: orders configuration and membership'),
    store: roleCommand('store', 'a store node: keeps registers'),
    config: defineCommand({
      meta: { name: 'config', description: 'read and change the configuration' },
      subCommands: {
        get: operatorCommand('get', 'the agreed configuration', {}, (a) =>
          op.show(String(a['at']), 'config', a['json'] === true),
        ),
        put: operatorCommand('put', 'replace the whole configuration', pushArgs, pushed('PUT')),
        history: operatorCommand('history', 'the last few configurations', {}, (a) =>
          op.show(String(a['at']), 'history', a['json'] === true),
        ),
        revert: operatorCommand(
          'revert',
          'go back to an earlier configuration, as a new one',
          { to: { type: 'string', description: 'the mark to go back to', required: true } },
          (a) => {
            if (!/^\d+$/.test(String(a['to']))) wrongUse('--to: a whole number is needed');
            return op.revert(String(a['at']), String(a['to']), a['json'] === true);
          },
        ),
        plan: operatorCommand(
          'plan',
          'show what a JSON Patch would change, without changing it',
          { file: pushArgs['file']! },
          (a) => op.plan(String(a['at']), fileText(a), a['json'] === true),
        ),
        'json-patch': operatorCommand('json-patch', 'change by JSON Patch; the plan is shown first', pushArgs, (a) => {
          checkBase(a);
          return op.jsonPatch(
            String(a['at']),
            fileText(a),
            a['base'] as string | undefined,
            (a['push-id'] ?? a['pushId']) as string | undefined,
            a['json'] === true,
          );
        }),
        patch: operatorCommand('patch', 'change a part (JSON Merge Patch)', pushArgs, pushed('PATCH')),
      },
    }),
    query: operatorCommand(
      'query',
      "query the fleet's state: one query, or a shell without one",
      { query: { type: 'positional', description: 'a query, quoted', required: false } },
      (a) => shell(String(a['at']), a['query'] as string | undefined, a['json'] === true),
    ),
    check: operatorCommand('check', 'look at every node and say what needs attention', {}, (a) =>
      op.check(String(a['at']), a['json'] === true),
    ),
    status: show('status', 'the fleet in short'),
    nodes: show('nodes', 'the roster'),
    workers: show('workers', 'the workers'),
    classes: show('classes', 'classes of service'),
    programs: show('programs', 'programs and their budgets'),
    marks: show('marks', 'the marks of views, configuration and groups'),
    duties: show('duties', 'who holds which duty'),
    drain: operatorCommand(
      'drain',
      "have a node leave; a store's records are moved first",
      {
        node: { type: 'positional', description: 'name, id or place of the node', required: true },
        cancel: { type: 'boolean', description: "take a store's drain back" },
        wait: { type: 'boolean', description: 'wait until it is safe to remove' },
      },
      (a) => op.drain(String(a['at']), String(a['node']), a['cancel'] === true, a['wait'] === true, a['json'] === true),
    ),
  },
});

const resolve = (argv: string[]): CommandDef => {
  let cmd: CommandDef = main;
  for (const w of argv) {
    const subs = cmd.subCommands as Record<string, CommandDef> | undefined;
    if (!subs || w.startsWith('-') || !Object.hasOwn(subs, w)) break;
    cmd = subs[w]!;
  }
  return cmd;
};
const start = async (): Promise<void> => {
  const { args: argv, warnings } = currentCommandLine(process.argv.slice(2));
  for (const warning of warnings) err(warning);
  if (argv.includes('--help') || argv.includes('-h')) {
    out(await renderUsage(resolve(argv)));
    return;
  }
  if (argv[0] === '--version' || argv[0] === '-v') {
    out(release);
    return;
  }
  if (argv.length === 0) {
    out(await renderUsage(main));
    process.exitCode = 2;
    return;
  }
  try {
    await runCommand(main, { rawArgs: argv });
  } catch (e) {
    const code = (e as { code?: string }).code ?? '';
    err(fault.text(e));
    process.exitCode = /^E_|UNKNOWN|MISSING|ARG/i.test(code) && code !== 'EADDRINUSE' ? 2 : 1;
    if (process.exitCode === 1) process.exit(1);
  }
};
await start();
