// The pages of documentation agree with the code: sections, options, error codes, commands, log lines and file names.
import { execFile, spawnSync } from 'node:child_process';
import { readFileSync, readdirSync, existsSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import path from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configSchema } from '@thornsail/config-schema';
import { fileOfWorkspace, workspacesOf } from '@thornsail/test-harness';
import { scenarios } from '../src/scenarios/index.js';
import { guards } from '../src/guards.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));
const read = (file: string): string => readFileSync(path.join(root, file), 'utf8');
/** TypeScript files of a folder and of those below it, relative to the root. */
const filesBelow = (folder: string): string[] =>
  existsSync(path.join(root, folder))
    ? readdirSync(path.join(root, folder), { recursive: true, encoding: 'utf8' })
        .filter((file) => file.endsWith('.ts'))
        .map((file) => path.join(folder, file))
    : [];
/** The pages of docs/ and of the folders below it, relative to the root. */
const pagesOfDocs = (): string[] =>
  readdirSync(path.join(root, 'docs'), { recursive: true, encoding: 'utf8' })
    .filter((page) => page.endsWith('.md'))
    .map((page) => `docs/${page}`);
const sources = (): string[] =>
  workspacesOf(root).flatMap((name) => ['src', 'test'].flatMap((folder) => filesBelow(path.join(name, folder))));

/** The text of a page from one heading to the next of the same level or a higher one. */
const sectionOf = (page: string, heading: string): string => {
  const start = page.indexOf(`## ${heading}\n`);
  assert.ok(start >= 0, `no section "${heading}"`);
  const end = page.indexOf('\n## ', start);
  return page.slice(start, end < 0 ? undefined : end);
};
/** The cells of the rows of a table, without its head. */
const rowsOf = (text: string): string[][] =>
  text
    .split('\n')
    .filter((line) => line.startsWith('| ') && !line.startsWith('| ---'))
    .slice(1)
    .map((line) => line.slice(2, -2).split(' | '));
/** Matches a reference to a section of DESIGN.md; a section number after an RFC number belongs to that RFC. */
const sectionReference = /(?<!RFC \d+ )§(\d+(?:\.\d+)?)/g;

test('every section that a comment or page refers to exists', () => {
  const sections = new Set(
    [...read('docs/DESIGN.md').matchAll(/^#{2,3} (\d+(?:\.\d+)?)[. ]/gm)].map((match) => match[1]!),
  );
  for (const file of [...sources(), ...pagesOfDocs()])
    for (const match of read(file).matchAll(sectionReference))
      assert.ok(sections.has(match[1]!), `${file} refers to §${match[1]}`);
});
test('every configuration key and option is in CONFIG.md', () => {
  const page = read('docs/CONFIG.md');
  const checked = configSchema.check({ classes: { a: { kind: 'model', weight: 1 } } });
  assert.ok(checked.ok);
  for (const group of [checked.value.classes['a']!, checked.value.scheduler, checked.value.slots, checked.value.limits])
    for (const key of Object.keys(group)) assert.ok(page.includes(`\`${key}\``), `${key} is not in CONFIG.md`);
  for (const role of ['coordinator', 'store', 'agent', 'gateway'] as const)
    for (const key of configSchema.keys(role)) assert.ok(page.includes(`\`${key}\``), `${key} is not in CONFIG.md`);
});
test('every package has a term in GLOSSARY.md, and a README with its name, a description and its design', () => {
  const terms = new Map(rowsOf(sectionOf(read('docs/GLOSSARY.md'), 'Packages')).map((row) => [row[2]!, row]));
  for (const workspace of workspacesOf(root).filter((name) => name !== 'platform')) {
    const name = path.basename(workspace);
    assert.is(terms.get(`\`${workspace}\``)?.[0], name, `${workspace} is not in GLOSSARY.md`);
    assert.ok(terms.get(`\`${workspace}\``)?.[1], `${workspace} has no term`);
    const readme = read(`${workspace}/README.md`);
    assert.match(readme, new RegExp(`^# ${name}\\n\\n[^\\n#]{20,}`), workspace);
    assert.match(readme, /docs\/DESIGN\.md/, workspace);
  }
});
test('FAILURES.md has a row for every scenario and guard', () => {
  const page = read('docs/FAILURES.md');
  for (const scenario of Object.keys(scenarios)) assert.ok(page.includes(`\`${scenario}\``), `scenario ${scenario}`);
  for (const { name } of guards) assert.ok(page.includes(name), `guard ${name}`);
});
test('FAILURES.md names scenarios of the platform that exist', () => {
  const text = filesBelow('platform/test')
    .filter((file) => !file.endsWith('.d.ts'))
    .map(read)
    .join('\n');
  const names = rowsOf(sectionOf(read('docs/FAILURES.md'), 'Losses in turn, on the platform'))
    .flatMap((row) => [...row[0]!.matchAll(/`([a-z-]+)`/g)])
    .map((match) => match[1]!);
  assert.ok(names.length > 5);
  for (const name of names) assert.ok(text.includes(`'${name}'`), `the platform has no scenario ${name}`);
});
test('BRIEF.md names only checks that exist, and every proved row names one', () => {
  const rows = read('docs/BRIEF.md')
    .split('\n')
    .filter((line) => /^\| (?!asked|rule|brought|---)/.test(line));
  assert.ok(rows.length > 50);
  for (const row of rows) {
    const files = [...row.matchAll(/`([a-z-]+\/test\/[a-z-]+\.test\.ts)`/g)].map((match) => match[1]!);
    const scenarioNames = [...row.matchAll(/scenario `([a-z]+)`/g)].map((match) => match[1]!);
    for (const file of files) assert.ok(existsSync(fileOfWorkspace(root, file)), `${file} does not exist: ${row}`);
    for (const scenario of scenarioNames)
      assert.ok(Object.hasOwn(scenarios, scenario), `there is no scenario ${scenario}: ${row}`);
    const hasProof = files.length + scenarioNames.length > 0 || row.includes('the lint');
    assert.ok(hasProof || !row.endsWith('| proved |'), `no test, scenario or lint rule proves this row: ${row}`);
    assert.match(row, /\| (proved|built|missing[^|]*) \|$/);
  }
});

/** The parts of `errors` of the data plane that are compared with the page. */
type ClientErrors = {
  codes: string[];
  name: (code: string) => string;
  status: (callKind: 'chat' | 'unread', code: string) => number;
};
type Catalogue = { codeOf: unknown; entries: Record<string, { message: string; retryable: boolean }> };
const moduleOf = async (file: string): Promise<Record<string, unknown>> =>
  (await import(pathToFileURL(path.join(root, file)).href)) as Record<string, unknown>;
const isCatalogue = (value: unknown): value is Catalogue =>
  typeof value === 'object' && value !== null && 'codeOf' in value && 'entries' in value;

test('ERRORS.md has every code that a client gets, with its name and its status at each interface', async () => {
  const { errors } = (await moduleOf('packages/data-plane/src/errors.js')) as { errors: ClientErrors };
  const rows = rowsOf(sectionOf(read('docs/ERRORS.md'), 'What a client gets'));
  const expected = errors.codes.map((code) => [
    `\`${code}\``,
    `\`${errors.name(code)}\``,
    String(errors.status('chat', code)),
    String(errors.status('unread', code)),
  ]);
  assert.equal(
    rows.map((row) => row.slice(0, 4)),
    expected,
  );
  for (const row of rows) {
    assert.match(row[4]!, /^(no|yes|with the same key|if idempotent)$/, row[0]);
    assert.ok(row[5], `${row[0]} has no meaning`);
  }
});
test('ERRORS.md has every code that an operator gets, and no other', () => {
  const used = new Set(
    filesBelow('packages/admin-api/src')
      .filter((file) => !file.endsWith('.d.ts'))
      .flatMap((file) => [...read(file).matchAll(/\berror: '([a-z_]+)'|\? '([a-z_]+)' : '([a-z_]+)',$/gm)])
      .flatMap((match) => match.slice(1).filter(Boolean)),
  );
  const text = sectionOf(read('docs/ERRORS.md'), 'What an operator gets');
  const rows = rowsOf(text.slice(0, text.indexOf("On the users' platform")));
  const sorted = (codes: string[]): string[] => [...codes].sort();
  assert.equal(sorted(rows.map((row) => row[0]!.slice(1, -1))), sorted([...used]));
});
test('ERRORS.md has every code of every error catalogue, whether it may be retried, and its message', async () => {
  const expected: string[][] = [];
  for (const workspace of workspacesOf(root)) {
    const file = path.join(workspace, 'src/errors.ts');
    if (!existsSync(path.join(root, file))) continue;
    for (const exported of Object.values(await moduleOf(file.replace(/\.ts$/, '.js'))))
      if (isCatalogue(exported))
        for (const [code, { message, retryable }] of Object.entries(exported.entries))
          expected.push([path.basename(workspace), `\`${code}\``, retryable ? 'yes' : 'no', message]);
  }
  const rows = rowsOf(sectionOf(read('docs/ERRORS.md'), 'Typed errors in the code'));
  const lines = (table: string[][]): string => table.map((row) => `| ${row.join(' | ')} |`).join('\n');
  assert.is(lines(rows), lines(expected));
});

const commandLine = path.join(root, 'programs/thornsail/src/bin.js');
/** The exit code of `thornsail classes` at a node that answers with a status. */
const exitCodeFor = async (status: number): Promise<number> => {
  const server = createServer((_request, response) =>
    response.writeHead(status).end('{"error":"any","mark":1,"classes":{}}'),
  );
  await new Promise<void>((listening) => server.listen(0, '127.0.0.1', listening));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const code = await new Promise<number>((ended) => {
    const child = execFile(process.execPath, [commandLine, 'classes', '--at', address]);
    child.on('exit', (exitCode) => ended(exitCode ?? -1));
  });
  server.close();
  server.closeAllConnections();
  return code;
};
test('ERRORS.md has the exit code that each status of an operator call leads to', async () => {
  const rows = rowsOf(sectionOf(read('docs/ERRORS.md'), 'Exit codes of the command line'));
  const statuses = rows.flatMap((row) => row[2]!.split(', ').map((status) => ({ status, code: Number(row[0]) })));
  assert.equal(
    rows.map((row) => row[0]),
    ['0', '1', '2', '3', '4'],
  );
  const operators = sectionOf(read('docs/ERRORS.md'), 'What an operator gets');
  for (const status of new Set([...operators.matchAll(/\| (\d{3}) \|/g)].map((match) => match[1]!)))
    assert.ok(status === '412' || statuses.some((row) => row.status === status), `${status} has no exit code`);
  for (const { status, code } of statuses) assert.is(await exitCodeFor(Number(status)), code, status);
});

const pagesWithCommands = ['README.md', 'docs/OPERATING.md', 'docs/RUNBOOK.md', 'docs/CONFIG.md'];
test('every command on the pages for operators exists', () => {
  const { stdout } = spawnSync(process.execPath, [commandLine, '--help'], {
    encoding: 'utf8',
  });
  const knownCommands = new Set([...stdout.matchAll(/^\s+`?([a-z]+)`?\s{2,}/gm)].map((match) => match[1]!));
  assert.ok(knownCommands.size > 10, stdout);
  for (const page of pagesWithCommands)
    for (const match of read(page).matchAll(/(?:`|\| |^ {4}|run -s )thornsail (?:-- )?([a-z|]+)/gm))
      for (const command of match[1]!.split('|'))
        assert.ok(knownCommands.has(command), `${page}: thornsail ${command}`);
});
/** Matches a log line as pages quote it: `part: text`, the part being the log's label, with … for what varies. */
const logLine = /`([a-z][a-z -]*): ([^`]+)`/g;
test('every symptom of RUNBOOK.md names a test that causes it, and log lines that the code has', () => {
  const code = workspacesOf(root)
    .filter((workspace) => !workspace.startsWith('tools'))
    .flatMap((workspace) => filesBelow(path.join(workspace, 'src')))
    .filter((file) => !file.endsWith('.d.ts'))
    .map((file) => read(file).replace(/\$\{[^}]*\}/g, '…'))
    .join('\n');
  const symptoms = read('docs/RUNBOOK.md').split(/^### /m).slice(1);
  assert.ok(symptoms.length > 15);
  for (const symptom of symptoms) {
    const title = symptom.slice(0, symptom.indexOf('\n'));
    for (const part of ['Look at:', 'Do:', 'Leave alone:', 'Brought about by:'])
      assert.ok(symptom.includes(`**${part}**`), `${title}: no "${part}"`);
    const proof = symptom.slice(symptom.indexOf('**Brought about by:**')).split('\n\n')[0]!;
    const files = [...proof.matchAll(/`([a-z-]+\/test\/[a-z-]+\.test\.ts)`/g)].map((match) => match[1]!);
    const scenarioNames = [...proof.matchAll(/scenario `([a-z]+)`/g)].map((match) => match[1]!);
    assert.ok(files.length + scenarioNames.length > 0, `${title}: no test or scenario causes it`);
    for (const file of files) assert.ok(existsSync(fileOfWorkspace(root, file)), `${title}: ${file} does not exist`);
    for (const name of scenarioNames)
      assert.ok(Object.hasOwn(scenarios, name), `${title}: there is no scenario ${name}`);
    const lookAt = symptom.slice(symptom.indexOf('**Look at:**'), symptom.indexOf('**Do:**'));
    for (const [, part, text] of lookAt.matchAll(logLine)) {
      assert.ok(code.includes(`log('${part}')`) || part === 'thornsail', `${title}: no part ${part} of the log`);
      for (const piece of text!.split('…').filter((piece) => piece.trim().length > 3))
        assert.ok(code.includes(piece), `${title}: no log line has "${piece}"`);
    }
    for (const [, finding] of lookAt.matchAll(/"([^"]+)"/g))
      for (const piece of finding!.split('…').filter((text) => text.trim().length > 3))
        assert.ok(code.includes(piece.trim()), `${title}: the code has no text "${piece}"`);
  }
});
/** Matches a path of the repository as pages quote it. */
const quotedPath = /`((?:packages|programs|tools|platform)(?:\/[a-z0-9.-]+)+|platform)\/?`/g;
test('every repository path that ARCHITECTURE.md, GLOSSARY.md, CONTRIBUTING.md and README.md quote exists', () => {
  for (const page of ['docs/ARCHITECTURE.md', 'docs/GLOSSARY.md', 'CONTRIBUTING.md', 'README.md'])
    for (const [, file] of read(page).matchAll(quotedPath))
      assert.ok(existsSync(path.join(root, file!)), `${page}: ${file} does not exist`);
});
test('every identifier that GLOSSARY.md names exists in the code', () => {
  const code = new Set(
    sources()
      .filter((file) => !file.includes('/test/') && !file.endsWith('.d.ts'))
      .flatMap((file) => read(file).match(/[A-Za-z_]+/g) ?? []),
  );
  const rows = read('docs/GLOSSARY.md')
    .slice(0, read('docs/GLOSSARY.md').indexOf('## Names that stay outside'))
    .split('\n## ')
    .slice(1)
    .flatMap(rowsOf);
  assert.ok(rows.length > 50);
  for (const row of rows)
    for (const [, name] of row[2]!.matchAll(/`([A-Za-z_]+)`/g))
      assert.ok(code.has(name!) || existsSync(path.join(root, name!)), `${row[0]}: the code has no ${name}`);
});
/** Matches a test, or a command that detects a removed guard, as pages name it: from the folder of its workspace. */
const quotedTest = /`([a-z-]+\/test\/[a-z-]+(?:\.test)?)(?:\.[jt]s)?`/g;
test('every test that a page names with its workspace exists', () => {
  for (const page of [...pagesOfDocs(), 'README.md', 'CONTRIBUTING.md'])
    for (const [, file] of read(page).matchAll(quotedTest))
      assert.ok(
        [`${file}.ts`, `${file}.test.ts`].some((name) => existsSync(fileOfWorkspace(root, name))),
        `${page}: ${file} does not exist`,
      );
});
/** Matches a source file as pages name it: from the root, from its workspace with or without `src`, or by name. */
const quotedFile = /`([a-z0-9./-]+\.ts)`/g;
test('every source file that a page names exists', () => {
  const withoutSrc = (file: string): string => `/${file.replace(/(^|\/)src\//, '$1')}`;
  const files = sources().filter((file) => !file.endsWith('.d.ts'));
  const knownFiles = [...files, ...filesBelow('examples')].map(withoutSrc);
  for (const page of [...pagesOfDocs(), 'README.md'])
    for (const [, file] of read(page).matchAll(quotedFile))
      assert.ok(
        knownFiles.some((candidate) => candidate.endsWith(withoutSrc(file!))),
        `${page}: there is no ${file}`,
      );
});
test.run();
