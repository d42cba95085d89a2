// Which sources are over which limit, once formatted to the width that the limits are meant for.
// `node lint/over-limits.js` prints the list in the form of lint/exceptions.json.
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

/** Sources of the folder and of those below it, by paths from the root. */
const below = (folder) =>
  readdirSync(path.join(root, folder), { recursive: true })
    .filter((file) => file.endsWith('.ts') && !file.endsWith('.d.ts'))
    .map((file) => path.join(folder, file));
/** The files of `limitedFiles`; Node.js 20 has no glob of its own. */
const sources = () =>
  [
    ...['packages', 'programs', 'tools'].flatMap((folder) =>
      readdirSync(path.join(root, folder)).map((name) => `${folder}/${name}/src`),
    ),
    'platform/src',
    'examples',
  ]
    .flatMap(below)
    .sort();

const rulesBroken = async (file) => {
  const text = readFileSync(path.join(root, file), 'utf8');
  const formatted = await prettier.format(text, { ...style, printWidth, parser: 'typescript' });
  return new Set(linter.verify(formatted, config, { filename: file }).map((message) => message.ruleId));
};

/** Files by the rule that they are over, as `{ rule: [file, ...] }`, both in a fixed order. */
export const overLimits = async () => {
  const over = Object.fromEntries(Object.keys(limits).map((rule) => [rule, []]));
  for (const file of sources()) {
    for (const rule of await rulesBroken(file)) over[rule].push(file);
  }
  return over;
};

if (process.argv[1] === fileURLToPath(import.meta.url))
  process.stdout.write(`${JSON.stringify(await overLimits(), null, 2)}\n`);
