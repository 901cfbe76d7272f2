import {expect} from 'chai';
import {
  describeDeployments,
  expectNoFaults,
  loadWhile,
  sleep,
} from './ProcessFixtures.js';

describeDeployments('failing upstreams', deployment => {
  it('returns complete responses when streams break, which could truncate them', async () => {
    const report = await loadWhile(deployment(), async () => {
      for (const [index, name] of deployment().names('engine').entries()) {
        const cut = {count: 3, afterTokens: 2 + index};
        await deployment().switch(name, {breakStreams: cut});
      }
    });
    expectNoFaults(report);
  });

  it('continues elsewhere when engines forget runs, which must not repeat tokens', async () => {
    const report = await loadWhile(deployment(), async () => {
      for (const name of deployment().names('engine')) {
        const breakStreams = {count: 3, afterTokens: 4};
        await deployment().switch(name, {forgetRuns: true, breakStreams});
      }
    });
    for (const name of deployment().names('engine')) {
      await deployment().switch(name, {forgetRuns: false});
    }
    expectNoFaults(report);
  });

  it('treats a stream without the end marker as incomplete, although it closes cleanly', async () => {
    const report = await loadWhile(deployment(), async () => {
      for (const name of deployment().names('engine')) {
        const truncateStreams = {count: 3, afterTokens: 3};
        await deployment().switch(name, {truncateStreams});
      }
    });
    expectNoFaults(report);
  });

  it('leaves no lost response unreported when an engine is killed', async () => {
    const [name = ''] = deployment().names('engine');
    const report = await loadWhile(deployment(), () => deployment().kill(name));
    await deployment().restart(name);
    expectNoFaults(report);
  });

  it('does not mix up responses when a paused engine resumes', async () => {
    const [, name = ''] = deployment().names('engine');
    const report = await loadWhile(deployment(), async () => {
      deployment().pause(name);
      await sleep(2000);
      deployment().resume(name);
    });
    expectNoFaults(report);
  });

  it('runs no order twice when a service is killed or drops responses', async () => {
    const [killed = '', ...others] = deployment().names('service');
    const report = await loadWhile(deployment(), async () => {
      for (const name of others) {
        await deployment().switch(name, {dropAnswers: 1});
      }
      await deployment().kill(killed);
    });
    await deployment().restart(killed);
    expectNoFaults(report);
  });

  it('interrupts nothing when engines leave one after the other', async () => {
    const [first = '', second = ''] = deployment().names('engine');
    const report = await loadWhile(deployment(), async () => {
      for (const name of [first, second]) {
        const {exit} = await deployment().stop(name);
        expect(exit?.code, name).to.equal(0);
      }
    });
    await deployment().restart(first);
    await deployment().restart(second);
    expectNoFaults(report);
  });
});
