import {expect} from 'chai';

describe('workspace', () => {
  it('runs tests', () => {
    expect(1).to.equal(1);
  });
});
