import { readFileSync } from 'node:fs';
import parser from '@typescript-eslint/parser';
import plugin from '@typescript-eslint/eslint-plugin';
import importX from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import { limitedFiles, limits } from './lint/limits.js';
import { withdrawn } from './lint/withdrawn-words.js';

/** Files over a limit, by rule; limits.test.ts checks that the list does not grow. */
const exceptions = JSON.parse(readFileSync(new URL('./lint/exceptions.json', import.meta.url), 'utf8'));

const sources = ['{packages,programs,tools,platform}/**/*.ts', 'examples/*.ts'];
/** Modules that translate names of the previous release; they are removed together with those names. */
const formerNameModules = [
  '**/{deprecated-names,wire,*-codec,core-messages,decode-reply}.ts',
  // Error codes that clients receive are part of the API.
  'packages/data-plane/src/errors.ts',
  '**/{upgrade*,former*,deprecated-names,state-codec}.test.ts',
];

export default [
  { ignores: ['**/*.js', '**/*.d.ts'] },
  ...plugin.configs['flat/recommended-type-checked'].map((config) => ({ ...config, files: sources })),
  {
    files: sources,
    languageOptions: { parser, parserOptions: { project: './tsconfig.json' } },
    plugins: { '@typescript-eslint': plugin, 'import-x': importX, jsdoc, withdrawn },
    settings: {
      'import-x/resolver-next': [createTypeScriptImportResolver({ project: './tsconfig.json' })],
      'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
    },
    rules: {
      'import-x/no-cycle': 'error',
      'withdrawn/words': 'error',
      // Allows destructuring a property only to omit it from the rest.
      '@typescript-eslint/no-unused-vars': ['error', { varsIgnorePattern: '^_', argsIgnorePattern: '^_' }],
      'no-restricted-syntax': [
        'error',
        { selector: 'ClassDeclaration, ClassExpression', message: 'Closures and factories, no classes.' },
        { selector: 'ThisExpression', message: 'No this.' },
        {
          selector: "CallExpression[callee.object.name='Math'][callee.property.name='random']",
          message: 'Random comes from the runtime.',
        },
        {
          selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
          message: 'Time comes from the runtime.',
        },
      ],
      'max-len': ['error', { code: 120 }],
      'no-var': 'error',
      'prefer-const': 'error',
      eqeqeq: 'error',
      'no-console': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
    },
  },
  { files: limitedFiles, rules: limits },
  { files: formerNameModules, rules: { 'withdrawn/words': 'off' } },
  ...Object.entries(exceptions)
    .filter(([, files]) => files.length > 0)
    .map(([rule, files]) => ({ files, rules: { [rule]: 'off' } })),
];
