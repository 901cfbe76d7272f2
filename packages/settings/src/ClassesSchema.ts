/**
 * Schemas of the sections of a classes file.
 */
import * as z from 'zod';
import {
  choiceField,
  durationField,
  listField,
  sha256Field,
  yesNoField,
} from './SettingsFields.js';

const modelPattern = /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/;
const servicePattern = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
const allowedMethods = ['DELETE', 'GET', 'HEAD', 'PATCH', 'POST', 'PUT'];

/** Keys of `[class.<name>]`. */
export const classSection = z.strictObject({
  priority: choiceField(['1', '2', '3', '4']),
  target_first_token: durationField.optional(),
  target_token_gap: durationField.optional(),
  target_total: durationField.optional(),
  idempotent: yesNoField,
  max_wait: durationField,
  models: listField(
    item => modelPattern.test(item),
    'list names of models, separated by commas',
  ).prefault(''),
  services: listField(
    item => servicePattern.test(item),
    'list names of plain services, separated by commas',
  ).prefault(''),
  methods: listField(
    item => allowedMethods.includes(item),
    `use ${allowedMethods.join(', ')}`,
  ).prefault(''),
  paths: listField(
    item => item.startsWith('/'),
    'list prefixes of paths, each starting with "/"',
  ).prefault(''),
  only_when_named: yesNoField.prefault('no'),
});

/** Validated values of `[class.<name>]`. */
export type ClassValues = z.output<typeof classSection>;

/** Keys of `[workspace.<name>]`. */
export const workspaceSection = z.strictObject({key_sha256: sha256Field});
