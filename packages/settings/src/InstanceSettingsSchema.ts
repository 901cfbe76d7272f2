/**
 * Schemas of the sections of an instance settings file, with the defaults of
 * optional keys.
 */
import * as z from 'zod';
import {
  addressField,
  addressListField,
  addressTextField,
  choiceField,
  durationField,
  listField,
  memoryField,
  nameField,
  namePattern,
  nameRule,
  nonEmptyField,
  sizeField,
  urlField,
} from './SettingsFields.js';

/** Schemas of the sections of an instance settings file, by name. */
export const instanceSections = {
  instance: z.strictObject({
    id: nameField,
    region: nameField,
    failure_domain: nameField,
    stop_grace: durationField.prefault('90s'),
  }),
  listen: z.strictObject({
    callers: addressField,
    admin: addressField.prefault('127.0.0.1:9090'),
    peers: addressField,
  }),
  platform: z.strictObject({
    key_value: addressTextField,
    instance_list: urlField,
    instance_list_poll: durationField.prefault('1s'),
    timeout: durationField.prefault('2s'),
  }),
  peers: z.strictObject({seeds: addressListField.prefault('')}),
  admin: z.strictObject({
    reader_token_file: nonEmptyField,
    writer_token_file: nonEmptyField,
  }),
  requests: z.strictObject({
    default_timeout: durationField.prefault('5m'),
    max_body: sizeField.prefault('4MiB'),
  }),
  limits: z.strictObject({memory: memoryField.optional()}),
  upstreams: z.strictObject({
    services_ignoring_fencing: listField(
      item => namePattern.test(item),
      nameRule,
    ).prefault(''),
  }),
  log: z.strictObject({
    format: choiceField(['json', 'pretty']).prefault('json'),
    level: choiceField(['debug', 'error', 'info', 'warn']).prefault('info'),
  }),
} as const;

/** Name of a section of an instance settings file. */
export type InstanceSectionName = keyof typeof instanceSections;

/** Validated values of all sections. */
export type InstanceSectionValues = {
  readonly [Name in InstanceSectionName]: z.output<
    (typeof instanceSections)[Name]
  >;
};
