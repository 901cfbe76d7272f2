import type {RouterError, StoredConfig} from '@toucanrouter/common';
import {createManualClock} from '@toucanrouter/common';
import type {ControlledKeyValue, PendingCall} from '@toucanrouter/standins';
import {createControlledKeyValue} from '@toucanrouter/standins';
import {expect} from 'chai';
import fc from 'fast-check';
import type {Result} from 'neverthrow';
import type {ConfigChangeResult, ConfigStore} from '../../index.js';
import {createConfigStore} from '../../index.js';

type Outcome = Result<ConfigChangeResult, RouterError>;

const configKey = '/toucanrouter/config';

const flushPromises = () => new Promise(resolve => setImmediate(resolve));

function request(expectedVersion: number, classesText: string) {
  return {expectedVersion, classesText, drainedUpstreams: [], author: 'a'};
}

/** Creates a platform, a store for each operator, and a watcher. */
function createHarness(operators: number) {
  const platform = createControlledKeyValue();
  const clock = createManualClock();
  const committed: StoredConfig[] = [];
  const reportedVersions: number[] = [];
  let writes = 0;

  function createStore(name: string): ConfigStore {
    return createConfigStore({
      store: platform.storeFor(name),
      clock,
      createWriteId: () => `w${++writes}`,
    });
  }

  platform.state.registerCommitListener(entries => {
    const entry = entries.find(e => e.key === configKey);
    if (entry) committed.push(JSON.parse(entry.value.toString()));
  });
  const stopWatch = createStore('watcher').watchConfig(config =>
    reportedVersions.push(config.version),
  );
  const stores = Array.from({length: operators}, (_, i) =>
    createStore(`operator ${i}`),
  );
  return {
    platform,
    clock,
    committed,
    reportedVersions,
    stopWatch,
    stores,
  };
}

type Harness = ReturnType<typeof createHarness>;

/** Responds to all calls and lets all retry delays elapse. */
async function runToQuiescence(harness: Harness): Promise<void> {
  for (let i = 0; i < 60; i++) {
    for (const call of harness.platform.pending()) call.respond();
    await flushPromises();
    harness.clock.advance(500);
  }
}

const callActions: Record<string, (call: PendingCall) => void> = {
  execute: call => call.execute(),
  answer: call => call.respond(),
  timeOut: call => call.timeOut(),
  loseAnswer: call => {
    call.execute();
    call.timeOut();
  },
  refuse: call => call.refuse(),
};

const stepArbitrary = fc.record({
  action: fc.constantFrom('change', 'advance', ...Object.keys(callActions)),
  pick: fc.nat(20),
  staleBy: fc.constantFrom(0, 0, 0, 1),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

async function runStep(
  harness: Harness,
  step: Step,
  change: (operator: number, expectedVersion: number) => void,
): Promise<void> {
  const committedVersion = harness.committed.at(-1)?.version ?? 0;
  const calls = harness.platform.pending();
  const call = calls[step.pick % Math.max(calls.length, 1)];
  const action = callActions[step.action];
  if (step.action === 'change') {
    const operator = step.pick % harness.stores.length;
    change(operator, Math.max(0, committedVersion - step.staleBy));
  } else if (step.action === 'advance') harness.clock.advance(400);
  else if (call && action) action(call);
  await flushPromises();
}

function checkOutcome(
  outcome: Outcome,
  text: string,
  committed: readonly StoredConfig[],
): void {
  const isCommitted = committed.some(config => config.classesText === text);
  if (outcome.isErr()) expect(isCommitted, `error for ${text}`).to.equal(false);
  else if (outcome.value.kind === 'accepted')
    expect(isCommitted).to.equal(true);
  else if (outcome.value.kind === 'conflict')
    expect(isCommitted).to.equal(false);
}

describe('createConfigStore', () => {
  it('never loses or reverts an accepted version and never returns a wrong result', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {minLength: 20, maxLength: 120}),
        async steps => {
          const harness = createHarness(3);
          const outcomes = new Map<string, Outcome>();
          let changes = 0;
          for (const step of steps) {
            await runStep(harness, step, (operator, expectedVersion) => {
              const text = `change ${++changes}`;
              void harness.stores[operator]
                ?.change(request(expectedVersion, text))
                .then(outcome => outcomes.set(text, outcome));
            });
          }
          await runToQuiescence(harness);
          harness.stopWatch();
          const versions = harness.committed.map(config => config.version);
          expect(versions).to.deep.equal(versions.map((_, i) => i + 1));
          expect(outcomes.size).to.equal(changes);
          for (const [text, outcome] of outcomes) {
            checkOutcome(outcome, text, harness.committed);
          }
          const ascending = [...new Set(harness.reportedVersions)].sort(
            (a, b) => a - b,
          );
          expect(harness.reportedVersions).to.deep.equal(ascending);
          expect(harness.reportedVersions.at(-1)).to.equal(versions.at(-1));
        },
      ),
      {seed: 4711, numRuns: 300},
    );
  });

  it('reports a change as accepted when its response was lost and another change followed', async () => {
    const harness = createHarness(2);
    const first = harness.stores[0]?.change(request(0, 'first'));
    await respondToNext(harness.platform, 'operator 0');
    const writeWithoutResponse = nextCall(harness.platform, 'operator 0');
    writeWithoutResponse?.execute();
    const second = harness.stores[1]?.change(request(1, 'second'));
    await respondToNext(harness.platform, 'operator 1');
    await respondToNext(harness.platform, 'operator 1');
    writeWithoutResponse?.timeOut();
    await flushPromises();
    await runToQuiescence(harness);
    expect((await first)?._unsafeUnwrap().kind).to.equal('accepted');
    expect((await second)?._unsafeUnwrap().kind).to.equal('accepted');
  });

  it('returns the winning configuration to the loser of a race', async () => {
    const harness = createHarness(2);
    const changes = harness.stores.map((store, i) =>
      store.change(request(0, `from ${i}`)),
    );
    await runToQuiescence(harness);
    const results = await Promise.all(changes);
    const kinds = results.map(result => result._unsafeUnwrap());
    expect(kinds[0]?.kind).to.equal('accepted');
    expect(kinds[1]).to.deep.include({kind: 'conflict'});
    if (kinds[1]?.kind !== 'conflict') return;
    expect(kinds[1].winner?.classesText).to.equal('from 0');
  });

  it('reports a change as not yet known while the platform does not respond', async () => {
    const harness = createHarness(1);
    const change = harness.stores[0]?.change(request(0, 'text'));
    await respondToNext(harness.platform, 'operator 0');
    for (let i = 0; i < 30; i++) {
      for (const call of harness.platform.pending()) {
        if (!call.responded) call.timeOut();
      }
      await flushPromises();
      harness.clock.advance(1000);
    }
    expect((await change)?._unsafeUnwrap().kind).to.equal('not_yet_known');
  });

  it('finds a change that was made before the watch was established', async () => {
    const harness = createHarness(1);
    const storeWithoutWatch = {
      ...harness.platform.storeFor('silent'),
      watch: () => () => {},
    };
    const {clock} = harness;
    const follower = createConfigStore({
      store: storeWithoutWatch,
      clock,
      createWriteId: () => '',
    });
    const seen: number[] = [];
    const stop = follower.watchConfig(config => seen.push(config.version));
    await respondToNext(harness.platform, 'silent');
    void harness.stores[0]?.change(request(0, 'text'));
    await runToQuiescence(harness);
    stop();
    expect(seen).to.deep.equal([1]);
  });

  it('returns the newest versions first', async () => {
    const harness = createHarness(1);
    for (let version = 0; version < 3; version++) {
      const change = harness.stores[0]?.change(request(version, `v${version}`));
      await runToQuiescence(harness);
      await change;
    }
    const history = harness.stores[0]?.history(2);
    await runToQuiescence(harness);
    const versions = (await history)?._unsafeUnwrap().map(c => c.version);
    expect(versions).to.deep.equal([3, 2]);
  });
});

function nextCall(platform: ControlledKeyValue, client: string) {
  return platform.pending().find(call => call.client === client);
}

async function respondToNext(platform: ControlledKeyValue, client: string) {
  nextCall(platform, client)?.respond();
  await flushPromises();
}
