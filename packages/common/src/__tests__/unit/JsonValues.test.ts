import {expect} from 'chai';
import {hasTooManyValues} from '../../JsonValues.js';

const manyCount = 600_000;

describe('hasTooManyValues', () => {
  it('counts objects, lists and values', () => {
    for (const part of ['{},', '[],', '0,', '[', '"\\"",']) {
      expect(hasTooManyValues(`[${part.repeat(manyCount)}`)).to.equal(true);
    }
  });

  // Guards against refusing a state whose entries are JSON within strings.
  it('does not count what strings hold', () => {
    const text = JSON.stringify({value: '{"a":["\\\\"],'.repeat(manyCount)});
    expect(hasTooManyValues(text)).to.equal(false);
  });

  it('accepts a long text of few values', () => {
    const numbers = `[${'1234567,'.repeat(400_000)}0]`;
    expect(hasTooManyValues(numbers)).to.equal(false);
  });
});
