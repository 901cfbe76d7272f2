import {expect} from 'chai';
import fc from 'fast-check';
import {createTargetMargin} from '../../TargetMargin.js';

describe('createTargetMargin', () => {
  it('decreases the margin factor while jobs miss their target and restores it later', () => {
    const margin = createTargetMargin();
    for (let i = 0; i < 10; i++) margin.observe(true, i * 500);
    const tightened = margin.factor();
    expect(tightened).to.be.closeTo(0.8, 1e-9);
    for (let i = 0; i < 1000; i++) margin.observe(false, 5000);
    expect(margin.factor()).to.be.greaterThan(tightened);
  });

  it('counts simultaneous misses once, so that one burst does not dominate the margin', () => {
    const margin = createTargetMargin();
    for (let i = 0; i < 100; i++) margin.observe(true, i);
    expect(margin.factor()).to.be.closeTo(0.98, 1e-9);
  });

  it('keeps the factor within its bounds for any observations', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), {maxLength: 300}), outcomes => {
        const margin = createTargetMargin();
        outcomes.forEach((missed, i) => margin.observe(missed, i * 500));
        expect(margin.factor()).to.be.within(0.5, 1);
      }),
      {seed: 7, numRuns: 100},
    );
  });
});
