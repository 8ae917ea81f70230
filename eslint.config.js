import tseslint from 'typescript-eslint';

/** Naming and safety rules of the Google TypeScript Style Guide that a linter can check; prettier owns layout. */
const googleStyle = {
  'no-var': 'error',
  'prefer-const': 'error',
  eqeqeq: ['error', 'always', {null: 'ignore'}],
  curly: ['error', 'multi-line'],
  'no-eval': 'error',
  'no-restricted-syntax': [
    'error',
    {selector: 'TSEnumDeclaration', message: 'Use a constant object.'},
    {selector: 'ExportDefaultDeclaration', message: 'Use a named export.'},
  ],
  'max-lines': ['error', {max: 400, skipComments: true}],
  '@typescript-eslint/naming-convention': [
    'error',
    {selector: 'typeLike', format: ['PascalCase']},
    {selector: 'function', format: ['camelCase']},
    {selector: 'method', format: ['camelCase']},
    {selector: 'parameter', format: ['camelCase'], leadingUnderscore: 'allow'},
    {
      selector: 'variable',
      format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
      leadingUnderscore: 'allow',
    },
  ],
  '@typescript-eslint/no-explicit-any': 'error',
  '@typescript-eslint/consistent-type-imports': 'error',
  '@typescript-eslint/no-floating-promises': 'error',
  '@typescript-eslint/no-misused-promises': [
    'error',
    {checksVoidReturn: false},
  ],
  '@typescript-eslint/switch-exhaustiveness-check': 'error',
};

export default tseslint.config(
  {ignores: ['**/dist/**', '**/gen/**', 'eslint.config.js']},
  ...tseslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {projectService: true},
    },
    rules: googleStyle,
  },
  // node:test returns promises from describe and it that need no await.
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': 'off',
      'max-lines': ['error', {max: 500, skipComments: true}],
    },
  },
);
