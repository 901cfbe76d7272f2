import {maxAttempts} from '@toucanrouter/policy';
import {expect} from 'chai';
import type {ChatFleet, ChatFleetOptions} from './ChatCallFixture.js';
import {createChatFleet} from './ChatCallFixture.js';

const crashOnText = 'collar of the crash';
const crashingPrompt = ['be brief', crashOnText, 'measure it'];

async function withFleet(
  options: Partial<ChatFleetOptions>,
  run: (fleet: ChatFleet) => Promise<void>,
): Promise<void> {
  const fleet = await createChatFleet({
    entryCount: 1,
    engineCount: 6,
    crashOnText,
    ...options,
  });
  try {
    await run(fleet);
  } finally {
    await fleet.close();
  }
}

describe('serveChat', () => {
  it('answers a prompt that no engine crashes on at the first attempt', () =>
    withFleet({}, async fleet => {
      const outcome = await fleet.call(0, ['be brief', 'measure it']);
      expect(outcome).to.include({kind: 'answered', attempts: 1});
    }));

  it('ends no more engines with one call than it may make attempts', () =>
    withFleet({}, async fleet => {
      const outcome = await fleet.call(0, crashingPrompt);
      expect(outcome.kind).to.equal('upstream_failed');
      expect(fleet.crashCount()).to.equal(maxAttempts);
    }));

  // Guards against failed hedges that do not count as attempts, with which one
  // call ended up to twice as many engines.
  it('ends no more engines with one call than it may make attempts, with its hedges', () =>
    withFleet({suspectsAll: true}, async fleet => {
      const outcome = await fleet.call(0, crashingPrompt);
      expect(outcome.kind).to.equal('upstream_failed');
      expect(fleet.crashCount()).to.be.at.most(maxAttempts);
    }));
});
