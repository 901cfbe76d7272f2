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

/** Crashes after which requests of their kind are still allowed. */
const toleratedCrashes = 5;
/** Requests of the kind that may be sent after instances had time to react. */
const maxLateCrashes = 3;
const reactionMs = 4_000;
const callIntervalMs = 1_000;
const callCount = 30;

/**
 * Sends calls in turn to the entry instances, of which each crashes engines,
 * each followed by a sound one. Returns the crashes after the reaction time.
 */
async function crashEngines(
  fleet: ChatFleet,
  entryCount: number,
  earlier: readonly string[] = ['be brief'],
): Promise<number> {
  let crashesBefore: number | undefined;
  for (let index = 0; index < callCount; index++) {
    const entryIndex = index % entryCount;
    await fleet.call(entryIndex, [...earlier, crashOnText, `ask ${index}`]);
    await fleet.settle();
    const sound = await fleet.call(entryIndex, [...earlier, `ask ${index}`]);
    expect(sound).to.include({kind: 'answered', attempts: 1});
    fleet.advance(callIntervalMs);
    if (crashesBefore !== undefined) continue;
    if (fleet.crashCount() < toleratedCrashes) continue;
    crashesBefore = fleet.crashCount();
    fleet.advance(reactionMs);
  }
  return fleet.crashCount() - (crashesBefore ?? 0);
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

  // Guards against requests of one kind that end engine after engine.
  it('refuses a prompt that crashes engines, and answers those that share its other messages', () =>
    withFleet({}, async fleet => {
      const crashedLate = await crashEngines(fleet, 1);
      expect(crashedLate).to.be.at.most(maxLateCrashes);
      const permitsBefore = fleet.permitCount();
      const outcome = await fleet.call(0, crashingPrompt);
      expect(outcome).to.include({kind: 'prompt_quarantined', attempts: 0});
      expect(outcome.retryAfterMs).to.be.greaterThan(0);
      expect(fleet.permitCount()).to.equal(permitsBefore);
    }));

  // Guards against a first token that clears a prompt whose engines end later.
  it('refuses a prompt that crashes engines after some tokens', () =>
    withFleet({crashAfterTokens: 3, maxTokens: 40}, async fleet => {
      expect(await crashEngines(fleet, 1)).to.be.at.most(maxLateCrashes);
      const outcome = await fleet.call(0, crashingPrompt);
      expect(outcome).to.include({kind: 'prompt_quarantined', attempts: 0});
    }));

  // Guards against a message that is not looked at because of its place.
  it('refuses a prompt whose fortieth message crashes engines', () =>
    withFleet({}, async fleet => {
      const earlier = Array.from({length: 39}, (_, i) => `message ${i}`);
      expect(await crashEngines(fleet, 1, earlier)).to.be.at.most(
        maxLateCrashes,
      );
      const outcome = await fleet.call(0, [...earlier, ...crashingPrompt]);
      expect(outcome).to.include({kind: 'prompt_quarantined', attempts: 0});
    }));

  // Guards against entry instances that each have to see engines end themselves.
  it('refuses a prompt at each entry instance once engines ended under calls of any', () =>
    withFleet({entryCount: 3}, async fleet => {
      expect(await crashEngines(fleet, 3)).to.be.at.most(maxLateCrashes);
      for (let entryIndex = 0; entryIndex < 3; entryIndex++) {
        const outcome = await fleet.call(entryIndex, crashingPrompt);
        expect(outcome).to.include({kind: 'prompt_quarantined', attempts: 0});
      }
    }));

  it('blocks no prompt for connections that break at engines that live', () =>
    withFleet({}, async fleet => {
      for (let index = 0; index < 10; index++) {
        fleet.switchEngines({breakStreams: {count: 5, afterTokens: 0}});
        await fleet.call(0, ['be brief', `measure ${index}`]);
        await fleet.settle();
        fleet.advance(callIntervalMs);
      }
      fleet.switchEngines({breakStreams: {count: 0, afterTokens: 0}});
      expect(fleet.blockedCount(0)).to.equal(0);
      const outcome = await fleet.call(0, ['be brief', 'measure it']);
      expect(outcome.kind).to.equal('answered');
    }));
});
