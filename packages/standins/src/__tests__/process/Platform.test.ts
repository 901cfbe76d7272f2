import {
  describeDeployments,
  expectNoFaults,
  loadWhile,
  sleep,
} from './ProcessFixtures.js';

describeDeployments('failing platform', deployment => {
  for (const outage of ['refuse', 'hang'] as const) {
    it(`runs orders at most once and reports them correctly in an outage (${outage})`, async () => {
      const report = await loadWhile(deployment(), async () => {
        await deployment().switch('platform', {outage, listOutage: true});
        await sleep(2000);
        const restored = {outage: 'off', listOutage: false} as const;
        await deployment().switch('platform', restored);
      });
      expectNoFaults(report);
    });
  }

  it('runs no order twice when responses to writes are lost', async () => {
    const report = await loadWhile(deployment(), async () => {
      for (let i = 0; i < 3; i++) {
        const lostWrites = {loseWriteAnswers: 2, failWriteAnswers: 2};
        await deployment().switch('platform', lostWrites);
        await sleep(600);
      }
    });
    expectNoFaults(report);
  });

  it('runs orders at most once and reports them correctly while the platform is slow', async () => {
    const report = await loadWhile(deployment(), async () => {
      await deployment().switch('platform', {delayMs: 400});
      await sleep(2000);
      await deployment().switch('platform', {delayMs: 0});
    });
    expectNoFaults(report);
  });
});
