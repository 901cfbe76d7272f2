import {expect} from 'chai';
import {runSuite} from './ClaimFuzz.js';

describe('claims under faults', () => {
  it('run a key at most once, never run a call reported as not run, and keep stored outcomes', async () => {
    const report = await runSuite(20, 150);
    expect(report.cases).to.equal(150);
    const exercised = ['claimed', 'completed', 'in_progress', 'key_reused'];
    expect(report.observations).to.include.keys(exercised);
  });
});
