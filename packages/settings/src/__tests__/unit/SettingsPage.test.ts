import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import type {z} from 'zod';
import {classSection} from '../../ClassesSchema.js';
import {instanceSections} from '../../InstanceSettingsSchema.js';

const page = readFileSync(
  new URL('../../../../../docs/settings.md', import.meta.url),
  'utf8',
);

/** Returns the default of a key as the page shows it. */
function defaultText(field: z.core.$ZodType): string {
  const {def} = field._zod;
  if (def.type === 'optional') return '(none)';
  if (def.type !== 'prefault') return '';
  const {defaultValue} = def as unknown as {defaultValue: string};
  return defaultValue === '' ? '(empty)' : `\`${defaultValue}\``;
}

describe('docs/settings.md', () => {
  it('lists every key of the instance settings with its default', () => {
    for (const [section, schema] of Object.entries(instanceSections)) {
      for (const [key, field] of Object.entries(schema.shape)) {
        const cell = defaultText(field);
        const row = `| \`${section}\` | \`${key}\` | ${cell ? `${cell} ` : ''}|`;
        expect(page).to.contain(row);
      }
    }
  });

  it('lists every key of a class with its default', () => {
    for (const [key, field] of Object.entries(classSection.shape)) {
      const cell = defaultText(field);
      expect(page).to.contain(`| \`${key}\` | ${cell ? `${cell} ` : ''}|`);
    }
  });

  it('lists no other keys', () => {
    const keys = Object.values(instanceSections).flatMap(({shape}) =>
      Object.keys(shape),
    );
    const sections = Object.keys(instanceSections).join('|');
    const pattern = new RegExp(`^\\| \`(?:${sections})\` \\| \``, 'gm');
    const rows = page.match(pattern) ?? [];
    expect(rows).to.have.length(keys.length);
  });
});
