import { readFileSync, readdirSync, existsSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configSchema } from '@thornsail/config-schema';
import { fileOfWorkspace, workspacesOf } from '@thornsail/test-harness';
import { scenarios } from '../src/scenarios/index.js';
import { guards } from '../src/guards.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));
const read = (f: string): string => readFileSync(path.join(root, f), 'utf8');
/** TypeScript files of a folder and of those below it, relative to the root. */
const filesBelow = (folder: string): string[] =>
  existsSync(path.join(root, folder))
    ? readdirSync(path.join(root, folder), { recursive: true, encoding: 'utf8' })
        .filter((file) => file.endsWith('.ts'))
        .map((file) => path.join(folder, file))
    : [];
const sources = (): string[] =>
  workspacesOf(root).flatMap((name) => ['src', 'test'].flatMap((folder) => filesBelow(path.join(name, folder))));

/** A section of DESIGN.md; one that follows the number of an RFC is a section of that RFC. */
const sectionReference = /(?<!RFC \d+ )§(\d+(?:\.\d+)?)/g;

test('every section that a comment or page refers to exists', () => {
  const have = new Set([...read('docs/DESIGN.md').matchAll(/^#{2,3} (\d+(?:\.\d+)?)[. ]/gm)].map((m) => m[1]!));
  for (const f of [...sources(), ...readdirSync(path.join(root, 'docs')).map((d) => `docs/${d}`)])
    for (const m of read(f).matchAll(sectionReference)) assert.ok(have.has(m[1]!), `${f} refers to §${m[1]}`);
});
test('every option is in CONFIG.md, every package has a README that gives its term', () => {
  const doc = read('docs/CONFIG.md');
  const c = configSchema.check({ classes: { a: { kind: 'model', weight: 1 } } });
  assert.ok(c.ok);
  for (const group of [c.value.classes['a']!, c.value.scheduler, c.value.slots, c.value.limits])
    for (const k of Object.keys(group)) assert.ok(doc.includes(`\`${k}\``), `${k} is not in CONFIG.md`);
  for (const role of ['coordinator', 'store', 'agent', 'gateway'] as const)
    for (const k of configSchema.keys(role)) assert.ok(doc.includes(`\`${k}\``), `${k} is not in CONFIG.md`);
  for (const p of workspacesOf(root).filter((name) => name !== 'platform'))
    assert.match(read(`${p}/README.md`), /Standard term: /, p);
});
test('FAILURES.md has a row for every scenario and guard', () => {
  const doc = read('docs/FAILURES.md');
  for (const s of Object.keys(scenarios)) assert.ok(doc.includes(`\`${s}\``), `scenario ${s}`);
  for (const g of guards) assert.ok(doc.includes(g.name), `guard ${g.name}`);
});
test('BRIEF.md names only checks that exist, and every proved row names one', () => {
  const rows = read('docs/BRIEF.md')
    .split('\n')
    .filter((l) => /^\| (?!asked|rule|brought|---)/.test(l));
  assert.ok(rows.length > 50);
  for (const row of rows) {
    const files = [...row.matchAll(/`([a-z-]+\/test\/[a-z-]+\.test\.ts)`/g)].map((m) => m[1]!);
    const named = [...row.matchAll(/scenario `([a-z]+)`/g)].map((m) => m[1]!);
    for (const f of files) assert.ok(existsSync(fileOfWorkspace(root, f)), `${f} does not exist: ${row}`);
    for (const n of named) assert.ok(Object.hasOwn(scenarios, n), `there is no scenario ${n}: ${row}`);
    const said = files.length + named.length > 0 || row.includes('the lint');
    assert.ok(said || !row.endsWith('| proved |'), `proved by nothing: ${row}`);
    assert.match(row, /\| (proved|built|missing[^|]*) \|$/);
  }
});
test.run();
