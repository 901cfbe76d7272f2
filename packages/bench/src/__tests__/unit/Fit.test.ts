import {expect} from 'chai';
import {costAt, fitLine} from '../../slopes/Fit.js';

describe('fitLine', () => {
  it('returns the exact line for collinear points, so that slopes are not distorted', () => {
    const points = [0, 1, 5, 12].map(x => ({x, y: 3 * x + 7}));
    const fit = fitLine(points);
    expect(fit.slope).to.be.closeTo(3, 1e-9);
    expect(fit.intercept).to.be.closeTo(7, 1e-9);
    expect(fit.determination).to.be.closeTo(1, 1e-9);
  });

  it('minimizes the squared vertical distances of the points', () => {
    const fit = fitLine([
      {x: 0, y: 0},
      {x: 1, y: 2},
      {x: 2, y: 1},
    ]);
    expect(fit.slope).to.be.closeTo(0.5, 1e-9);
    expect(fit.intercept).to.be.closeTo(0.5, 1e-9);
    expect(fit.determination).to.be.closeTo(0.25, 1e-9);
  });

  it('returns a determination of 1 for constant y instead of dividing by zero', () => {
    const fit = fitLine([
      {x: 1, y: 4},
      {x: 2, y: 4},
    ]);
    expect(fit).to.deep.equal({slope: 0, intercept: 4, determination: 1});
  });

  it('rejects points with equal x, whose slope would be arbitrary', () => {
    const points = [
      {x: 2, y: 1},
      {x: 2, y: 3},
    ];
    expect(() => fitLine(points)).to.throw('differ in x');
    expect(() => fitLine([])).to.throw('differ in x');
  });
});

describe('costAt', () => {
  it('returns no negative cost for sizes below the measured ones', () => {
    const fit = {slope: 2, intercept: -10, determination: 1};
    expect(costAt(fit, 3)).to.equal(0);
    expect(costAt(fit, 8)).to.equal(6);
  });
});
