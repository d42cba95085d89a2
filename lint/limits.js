// Size and naming limits (CONTRIBUTING.md, "Naming and size") for all sources except tests.

/** Glob patterns of the files to which the limits apply. */
export const limitedFiles = ['{packages,programs,tools}/*/src/**/*.ts', 'platform/src/**/*.ts', 'examples/*.ts'];

/** Line width at which the limits on numbers of lines are checked. */
export const printWidth = 100;

/** The limits as ESLint rules. */
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
