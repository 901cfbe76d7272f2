import {expect} from 'chai';
import {
  describeDeployments,
  expectNoFaults,
  loadWhile,
  sleep,
} from './ProcessFixtures.js';

describeDeployments('failing routers', deployment => {
  it('runs no order twice when routers are killed, including the owner of the queue', async () => {
    const killed = deployment().names('router').slice(0, 2);
    const report = await loadWhile(deployment(), async () => {
      for (const name of killed) {
        await deployment().kill(name);
        await sleep(500);
      }
    });
    for (const name of killed) await deployment().restart(name);
    expectNoFaults(report);
  });

  it('does not run abandoned requests when a paused router resumes', async () => {
    const paused = deployment().names('router').slice(2, 4);
    const report = await loadWhile(deployment(), async () => {
      for (const name of paused) {
        deployment().pause(name);
        await sleep(1500);
        deployment().resume(name);
      }
    });
    expectNoFaults(report);
  });

  it('interrupts no request when a router stops under load, and exits with 0', async () => {
    const [name = ''] = deployment().names('router');
    const report = await loadWhile(deployment(), async () => {
      const {exit} = await deployment().stop(name);
      expect(exit).to.deep.equal({code: 0, signal: null});
    });
    await deployment().restart(name);
    expectNoFaults(report);
    const broken = report.observations.filter(o => o.outcome === 'broken');
    expect(broken.map(o => o.errorMessage)).to.deep.equal([]);
  });
});
