import parser from '@typescript-eslint/parser';
import plugin from '@typescript-eslint/eslint-plugin';

export default [
  { ignores: ['**/*.js', '**/*.d.ts'] },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts', 'examples/*.ts'],
    languageOptions: { parser, parserOptions: { project: './tsconfig.json' } },
    plugins: { '@typescript-eslint': plugin },
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: 'FunctionDeclaration', message: 'Arrow functions only.' },
        { selector: 'FunctionExpression[generator=false]', message: 'Arrow functions only.' },
        { selector: 'ClassDeclaration, ClassExpression', message: 'Closures and factories, no classes.' },
        { selector: 'ThisExpression', message: 'No this.' },
        {
          selector: "CallExpression[callee.object.name='Math'][callee.property.name='random']",
          message: 'Random comes from lens.',
        },
        {
          selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
          message: 'Time comes from lens.',
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
];
