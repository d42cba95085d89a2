import { readFileSync } from 'node:fs';
import parser from '@typescript-eslint/parser';
import plugin from '@typescript-eslint/eslint-plugin';
import jsdoc from 'eslint-plugin-jsdoc';
import { limitedFiles, limits } from './lint/limits.js';

/** Files that were over a limit when it was set, by the rule; limits.test holds that the list only shrinks. */
const exceptions = JSON.parse(readFileSync(new URL('./lint/exceptions.json', import.meta.url), 'utf8'));

export default [
  { ignores: ['**/*.js', '**/*.d.ts'] },
  {
    files: ['{packages,programs,tools,platform}/**/*.ts', 'examples/*.ts'],
    languageOptions: { parser, parserOptions: { project: './tsconfig.json' } },
    plugins: { '@typescript-eslint': plugin, jsdoc },
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: 'FunctionDeclaration', message: 'Arrow functions only.' },
        { selector: 'FunctionExpression[generator=false]', message: 'Arrow functions only.' },
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
  ...Object.entries(exceptions).map(([rule, files]) => ({ files, rules: { [rule]: 'off' } })),
];
