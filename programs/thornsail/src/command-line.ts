/** The command line (§7.4). Exit codes: 0 done, 1 failed, 2 bad use or settings, 3 collision, 4 no agreed result. */
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { stripVTControlCharacters } from 'node:util';
import { defineCommand, renderUsage, runCommand, type ArgsDef, type CommandDef } from 'citty';
import { configSchema, deprecatedNames, type Role } from '@thornsail/config-schema';
import { queryShell } from '@thornsail/query-shell';
import { duration, fault, real, type Runtime } from '@thornsail/runtime';
import { signals, type DaemonSignal } from '@thornsail/runtime/signals';
import { currentCommandLine } from './deprecated-names.js';
import { daemonProcess } from './daemon-process.js';
import { operator } from './operator.js';
import { roles, type Node } from './roles.js';
import { warmUpGateway } from './warm-up.js';

/** Ends a command whose reader has gone, as `head` does after its lines. */
const endWithReader = (): void => void process.stdout.on('error', () => process.exit(0));
const plain = (text: string): string => (process.stdout.isTTY ? text : stripVTControlCharacters(text));
const out = (text: string): void => void process.stdout.write(`${plain(text)}\n`);
const err = (text: string): void => real.logOutput().write(`thornsail: ${stripVTControlCharacters(text)}`);
const release =
  (JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8')) as Record<string, string>)[
    'version'
  ] ?? '0';

const listKeys = new Set(['seeds', 'founders', 'possibleFounders']);
const numberKeys = new Set(['beatMs', 'tolerates', 'leastStores']);
/** Converts the text of a flag to the type of its key; a text that is not a number is left for the check to report. */
const parseFlag = (key: string, value: unknown): unknown => {
  if (listKeys.has(key)) return String(value).split(',').filter(Boolean);
  return numberKeys.has(key) && /^\d+$/.test(String(value)) ? Number(value) : value;
};
/** Prints a usage error and exits with code 2. */
const usageError = (text: string): never => {
  err(text);
  process.exit(2);
};

const rejectUnknownFlags = (args: Record<string, unknown>, known: string[]): void => {
  for (const flag of Object.keys(args)) if (flag !== '_' && !known.includes(flag)) usageError(`unknown flag --${flag}`);
};
const kebabCase = (key: string): string => key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
const descriptions: Record<string, string> = {
  place: 'address for other nodes, ip:port',
  http: 'address for HTTP, ip:port',
  zone: 'zone of this machine',
  seeds: 'addresses of three other processes, separated by commas',
  name: 'name of this node',
  data: 'data folder',
  dataMb: 'space for the data folder, in megabytes',
  founders: 'the addresses of the three first coordinators (coordinators only)',
  possibleFounders: 'at a later start: the founders, if no group was ever formed (coordinators only)',
  platform: 'address of the platform',
  agent: 'address of the agent on the same machine',
  beatMs: 'milliseconds between two heartbeats',
  tolerates: 'number of machines that may be lost at once (coordinators only)',
  leastStores: 'minimum number of stores that a drain leaves (coordinators only)',
};

const roleCommand = (role: Role, text: string): CommandDef => {
  const keys = configSchema.keys(role);
  const definitions: ArgsDef = {
    'settings': { type: 'string', description: 'settings file (JSON); flags take precedence' },
  };
  for (const key of keys) definitions[key] = { type: 'string', description: descriptions[key] ?? key };
  return defineCommand({
    meta: { name: role, description: text },
    args: definitions,
    run: async ({ args: given }) => {
      const args = given as Record<string, unknown> & { _: string[] };
      // citty also provides `--beatMs` as `beat-ms`.
      rejectUnknownFlags(args, ['settings', ...keys, ...keys.map(kebabCase)]);
      if (args._.length) usageError(`unexpected word ${args._[0]}`);
      let file: unknown = {};
      if (typeof args['settings'] === 'string') {
        try {
          file = JSON.parse(readFileSync(args['settings'], 'utf8'));
        } catch (error) {
          usageError(`settings file ${args['settings']}: ${fault.text(error)}`);
        }
        if (typeof file !== 'object' || file === null || Array.isArray(file))
          usageError(`settings file ${args['settings']}: an object is needed`);
      }
      const fromFile = deprecatedNames.settings(role, file as Record<string, unknown>);
      for (const warning of fromFile.warnings) err(warning);
      const merged = fromFile.settings;
      for (const key of keys) if (args[key] !== undefined) merged[key] = parseFlag(key, args[key]);
      const checked = configSchema.options(role, merged);
      if (!checked.ok) {
        for (const problem of checked.problems) err(`${problem.path}: ${problem.text}`);
        process.exit(2);
      }
      await run(role, checked.value as { data?: string });
    },
  });
};

/** How long a daemon waits for addresses that its predecessor still uses. */
const addressWait = duration.s(10);
const run = async (role: Role, options: { data?: string }): Promise<void> => {
  const daemon = daemonProcess.open(err);
  daemon.endAtUnhandledErrors();
  daemon.announce(role);
  for (const signal of ['SIGTERM', 'SIGINT'] as const)
    signals.on(signal, () => daemon.endInOrder(`${signal} while it started`));
  signals.on('SIGHUP', () => err('SIGHUP: settings are read at the start only; this node runs on'));
  await signals.delivered();
  real.enableDefaultLogs();
  const runtime = real.runtime(options.data ?? '/nonexistent', { addressWait });
  const node = await (roles[role] as (runtime: Runtime, options: never) => Promise<Node>)(runtime, options as never);
  out(`${role} listens at http ${node.http}, siblings ${node.place}`);
  if (role === 'gateway') void warmUpGateway(runtime, node);
  node.onFailed((why) => daemon.end(1, why));
  let received = 0;
  const leave = (signal: DaemonSignal): void => {
    received += 1;
    if (received > 1) daemon.end(1, `${signal}, the second signal`);
    // A gateway completes its running turns, and an agent is drained as well; a second signal exits at once.
    const drained = role === 'gateway' || role === 'agent' ? node.drain() : Promise.resolve();
    drained
      .catch(() => undefined)
      .then(() => node.close())
      .then(
        () => daemon.endInOrder(signal),
        (error: unknown) => daemon.end(1, `${signal}; the shutdown failed: ${fault.text(error)}`),
      );
  };
  signals.on('SIGTERM', () => leave('SIGTERM'));
  signals.on('SIGINT', () => leave('SIGINT'));
};

const commonArgs: ArgsDef = {
  at: { type: 'string', description: 'HTTP address of any node, ip:port', default: process.env['THORNSAIL_AT'] ?? '' },
  json: { type: 'boolean', description: 'print JSON' },
};
const operatorCommand = (
  name: string,
  text: string,
  extra: ArgsDef,
  execute: (args: Record<string, unknown> & { _: string[] }) => Promise<number>,
): CommandDef =>
  defineCommand({
    meta: { name, description: text },
    args: { ...commonArgs, ...extra },
    run: async ({ args: given }) => {
      const args = given as Record<string, unknown> & { _: string[] };
      const positionals = Object.entries(extra).filter(([, definition]) => definition.type === 'positional').length;
      rejectUnknownFlags(args, [
        'at',
        'json',
        ...Object.keys(extra),
        ...Object.keys(extra).map((key) => key.replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase())),
      ]);
      if (args._.length > positionals) usageError(`unexpected word ${args._[positionals]}`);
      if (!args['at']) usageError('--at is needed: the HTTP address of any node, ip:port (or THORNSAIL_AT)');
      if (!/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/.test(String(args['at'])))
        usageError('--at: an address "ip:port" is needed');
      process.exitCode = await execute(args);
    },
  });
const commands = operator.open({ runtime: real.runtime('/nonexistent'), out, err });
const show = (what: string, text: string): CommandDef =>
  operatorCommand(what, text, {}, (args) => commands.show(String(args['at']), what, args['json'] === true));
const pushArgs: ArgsDef = {
  file: { type: 'string', description: 'JSON file, or - for standard input', required: true },
  base: { type: 'string', description: 'the mark that the change is based on (default: the current one)' },
  'push-id': { type: 'string', description: 'id of the push; a push that is repeated with the same id has one effect' },
};
const fileText = (args: Record<string, unknown>): string => {
  try {
    const body = readFileSync(args['file'] === '-' ? 0 : String(args['file']), 'utf8');
    JSON.parse(body);
    return body;
  } catch (error) {
    return usageError(`--file: ${fault.text(error)}`);
  }
};
const checkBase = (args: Record<string, unknown>): void => {
  if (args['base'] !== undefined && !/^\d+$/.test(args['base'] as string))
    usageError('--base: a whole number is needed');
};
const pushCommand =
  (method: 'PUT' | 'PATCH') =>
  (args: Record<string, unknown>): Promise<number> => {
    const body = fileText(args);
    checkBase(args);
    return commands.push(
      String(args['at']),
      method,
      body,
      args['base'] as string | undefined,
      (args['push-id'] ?? args['pushId']) as string | undefined,
      args['json'] === true,
    );
  };

const shell = async (at: string, query: string | undefined, json: boolean): Promise<number> => {
  if (query !== undefined) {
    if (query === 'help') {
      out(queryShell.help());
      return 0;
    }
    return commands.query(at, query, json);
  }
  const terminal = createInterface({
    input: process.stdin,
    ...(process.stdin.isTTY ? { output: process.stdout } : {}),
    prompt: 'thornsail> ',
  });
  let code = 0;
  terminal.prompt();
  for await (const line of terminal) {
    const text = line.trim();
    if (text === 'quit' || text === 'exit') break;
    if (text === 'help') out(queryShell.help());
    else if (text !== '') code = (await commands.query(at, text, json)) || code;
    terminal.prompt();
  }
  terminal.close();
  return code;
};
const main = defineCommand({
  meta: { name: 'thornsail', 'version': release, description: 'A serving tier for agent programs.' },
  subCommands: {
    gateway: roleCommand('gateway', "the reference gateway: serves callers' requests"),
    agent: roleCommand('agent', 'the daemon on the machine of a gateway'),
    coordinator: roleCommand('coordinator', 'a core node: orders configuration and membership'),
    store: roleCommand('store', 'a store node: stores registers'),
    config: defineCommand({
      meta: { name: 'config', description: 'read and change the configuration' },
      subCommands: {
        get: operatorCommand('get', 'the agreed configuration', {}, (args) =>
          commands.show(String(args['at']), 'config', args['json'] === true),
        ),
        put: operatorCommand('put', 'replace the whole configuration', pushArgs, pushCommand('PUT')),
        history: operatorCommand('history', 'the last few configurations', {}, (args) =>
          commands.show(String(args['at']), 'history', args['json'] === true),
        ),
        revert: operatorCommand(
          'revert',
          'go back to an earlier configuration, as a new one',
          { to: { type: 'string', description: 'the mark to go back to', required: true } },
          (args) => {
            if (!/^\d+$/.test(String(args['to']))) usageError('--to: a whole number is needed');
            return commands.revert(String(args['at']), String(args['to']), args['json'] === true);
          },
        ),
        plan: operatorCommand(
          'plan',
          'show what a JSON Patch would change, without changing it',
          { file: pushArgs['file']! },
          (args) => commands.plan(String(args['at']), fileText(args), args['json'] === true),
        ),
        'json-patch': operatorCommand(
          'json-patch',
          'change by JSON Patch; the plan is shown first',
          pushArgs,
          (args) => {
            checkBase(args);
            return commands.jsonPatch(
              String(args['at']),
              fileText(args),
              args['base'] as string | undefined,
              (args['push-id'] ?? args['pushId']) as string | undefined,
              args['json'] === true,
            );
          },
        ),
        patch: operatorCommand(
          'patch',
          'change parts of the configuration (JSON Merge Patch)',
          pushArgs,
          pushCommand('PATCH'),
        ),
      },
    }),
    query: operatorCommand(
      'query',
      'query the state of the cluster: a single query, or a shell if none is given',
      { query: { type: 'positional', description: 'a query, quoted', required: false } },
      (args) => shell(String(args['at']), args['query'] as string | undefined, args['json'] === true),
    ),
    check: operatorCommand('check', 'check every node and report what needs attention', {}, (args) =>
      commands.check(String(args['at']), args['json'] === true),
    ),
    status: show('status', 'summary of the cluster'),
    nodes: show('nodes', 'the members of the cluster'),
    workers: show('workers', 'the workers'),
    classes: show('classes', 'classes of service'),
    programs: show('programs', 'programs and their budgets'),
    marks: show('marks', 'the versions of views, configuration and groups'),
    duties: show('duties', 'holders of the leases'),
    drain: operatorCommand(
      'drain',
      'remove a node from the cluster; the records of a store are moved first',
      {
        node: { type: 'positional', description: 'name, id or address of the node', required: true },
        cancel: { type: 'boolean', description: 'cancel the drain of a store' },
        wait: { type: 'boolean', description: 'wait until it is safe to remove' },
      },
      (args) =>
        commands.drain(
          String(args['at']),
          String(args['node']),
          args['cancel'] === true,
          args['wait'] === true,
          args['json'] === true,
        ),
    ),
  },
});

/** The command that the arguments name, for its help. */
const commandOf = (argv: string[]): CommandDef => {
  let command: CommandDef = main;
  for (const word of argv) {
    const subCommands = command.subCommands as Record<string, CommandDef> | undefined;
    if (!subCommands || word.startsWith('-') || !Object.hasOwn(subCommands, word)) break;
    command = subCommands[word]!;
  }
  return command;
};
/** Whether the arguments start a daemon; other commands end by a signal as any program does. */
const isDaemon = (argv: string[]): boolean => configSchema.isRole(argv[0] ?? '');
const start = async (): Promise<void> => {
  const { args: argv, warnings } = currentCommandLine(process.argv.slice(2));
  for (const warning of warnings) err(warning);
  if (!isDaemon(argv)) {
    signals.release();
    endWithReader();
  }
  if (argv.includes('--help') || argv.includes('-h')) {
    out(await renderUsage(commandOf(argv)));
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
  } catch (error) {
    const code = (error as { code?: string }).code ?? '';
    err(fault.text(error));
    process.exitCode = /^E_|UNKNOWN|MISSING|ARG/i.test(code) && code !== 'EADDRINUSE' ? 2 : 1;
    if (process.exitCode === 1) process.exit(1);
  }
};
await start();
