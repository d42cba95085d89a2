// Finds the sources that exceed a limit when formatted to `printWidth`.
// `node lint/over-limits.js` prints them in the format of lint/exceptions.json.
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Linter } from 'eslint';
import jsdoc from 'eslint-plugin-jsdoc';
import parser from '@typescript-eslint/parser';
import prettier from 'prettier';
import { limits, printWidth } from './limits.js';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');
const style = JSON.parse(readFileSync(path.join(root, '.prettierrc.json'), 'utf8'));
const linter = new Linter();
const config = [
  {
    files: ['**/*.ts'],
    languageOptions: { parser },
    plugins: { jsdoc },
    linterOptions: { reportUnusedDisableDirectives: 'off' },
    rules: limits,
  },
];

/** TypeScript sources in a folder and its subfolders, as paths relative to the root. */
const sourcesIn = (folder) =>
  readdirSync(path.join(root, folder), { recursive: true })
    .filter((file) => file.endsWith('.ts') && !file.endsWith('.d.ts'))
    .map((file) => path.join(folder, file));
/** The files that match `limitedFiles`; listed by hand, as Node.js 20 has no glob function. */
const sources = () =>
  [
    ...['packages', 'programs', 'tools'].flatMap((folder) =>
      readdirSync(path.join(root, folder)).map((name) => `${folder}/${name}/src`),
    ),
    'platform/src',
    'examples',
  ]
    .flatMap(sourcesIn)
    .sort();

/** Names of the rules that a file violates at `printWidth`. */
const violatedRules = async (file) => {
  const text = readFileSync(path.join(root, file), 'utf8');
  const formatted = await prettier.format(text, { ...style, printWidth, parser: 'typescript' });
  return new Set(linter.verify(formatted, config, { filename: file }).map((message) => message.ruleId));
};

/** Returns the files over each limit, as `{ rule: [file, ...] }`, in a stable order. */
export const overLimits = async () => {
  const over = Object.fromEntries(Object.keys(limits).map((rule) => [rule, []]));
  for (const file of sources()) {
    for (const rule of await violatedRules(file)) over[rule].push(file);
  }
  return over;
};

if (process.argv[1] === fileURLToPath(import.meta.url))
  process.stdout.write(`${JSON.stringify(await overLimits(), null, 2)}\n`);
