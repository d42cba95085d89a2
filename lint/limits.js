// The limits that keep the code readable (CONTRIBUTING.md, "Naming and size"). They hold for all sources but the tests.

/** The files that the limits hold for. */
export const limitedFiles = ['{packages,programs,tools}/*/src/**/*.ts', 'platform/src/**/*.ts', 'examples/*.ts'];

/** The width that the code is formatted to; the limits that count lines are meant for text of this width. */
export const printWidth = 100;

/** The rules by their names in eslint. */
export const limits = {
  'max-lines': ['error', { max: 400 }],
  'max-lines-per-function': ['error', { max: 60 }],
  'id-length': ['error', { min: 2, exceptions: ['i', 'j', 'n', 'a', 'b', '_'], properties: 'never' }],
  'jsdoc/require-jsdoc': [
    'error',
    {
      publicOnly: true,
      require: { ArrowFunctionExpression: true, FunctionDeclaration: false },
      contexts: ['ExportNamedDeclaration > TSTypeAliasDeclaration', 'ExportNamedDeclaration > VariableDeclaration'],
      enableFixer: false,
    },
  ],
};
