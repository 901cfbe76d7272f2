import gts from 'gts';

export default [
  {
    ignores: [
      '**/dist/',
      '**/node_modules/',
      '**/generated/',
      '.run/',
      'target/',
    ],
  },
  ...gts,
  {files: ['**/*.js'], languageOptions: {sourceType: 'module'}},
  {
    files: ['**/*.cjs'],
    languageOptions: {sourceType: 'commonjs', globals: {process: 'readonly'}},
  },
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-process-exit': 'off',
    },
  },
];
