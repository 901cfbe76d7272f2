import {expect} from 'chai';
import fc from 'fast-check';
import {toClassId, toWorkspaceId} from '@toucanrouter/common';
import {createLengthModel} from '../../index.js';

const classId = toClassId('drafts');
const workspaceId = toWorkspaceId('w');

describe('createLengthModel', () => {
  it('returns no quantile before enough lengths were observed', () => {
    const model = createLengthModel();
    model.observe(classId, workspaceId, 100);
    expect(model.quantile(classId, workspaceId, 0.5)).to.equal(undefined);
  });

  it('uses the lengths of the class for a new workspace, then its own lengths', () => {
    const model = createLengthModel();
    for (let i = 0; i < 200; i++) model.observe(classId, workspaceId, 1000);
    const fresh = toWorkspaceId('fresh');
    expect(model.quantile(classId, fresh, 0.5)).to.be.closeTo(1000, 190);
    for (let i = 0; i < 50; i++) model.observe(classId, fresh, 10);
    expect(model.quantile(classId, fresh, 0.5)).to.be.closeTo(10, 2);
  });

  it('follows a change of lengths, because old ones lose weight', () => {
    const model = createLengthModel();
    for (let i = 0; i < 5000; i++) model.observe(classId, workspaceId, 50);
    for (let i = 0; i < 5000; i++) model.observe(classId, workspaceId, 800);
    expect(model.quantile(classId, workspaceId, 0.5)).to.be.closeTo(800, 152);
  });

  it('stays within one bucket of the exact quantile', () => {
    const lengths = fc.array(fc.integer({min: 1, max: 100_000}), {
      minLength: 50,
      maxLength: 300,
    });
    fc.assert(
      fc.property(
        lengths,
        fc.double({min: 0.01, max: 1, noNaN: true}),
        (values, fraction) => {
          const model = createLengthModel();
          for (const value of values)
            model.observe(classId, workspaceId, value);
          const sorted = [...values].sort((a, b) => a - b);
          const exact = sorted[Math.ceil(fraction * values.length) - 1]!;
          const quantile = model.quantile(classId, workspaceId, fraction)!;
          expect(quantile / exact).to.be.within(0.84, 1.2);
        },
      ),
      {seed: 7, numRuns: 200},
    );
  });
});
