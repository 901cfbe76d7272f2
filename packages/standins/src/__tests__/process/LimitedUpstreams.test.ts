import {expect} from 'chai';
import {request} from 'undici';
import type {Deployment} from '../../deployment/Deployment.js';
import {describeDeployments, sleep} from './ProcessFixtures.js';

const limitPerS = 1;
const loadSeconds = 12;
const sampleMs = 100;
/** The rule: a limit must be kept from this time after it was first stated. */
const contactMs = 3_000;
const windowMs = 4_000;
const msPerSecond = 1_000;
const maxInWindow = (1.5 * limitPerS * windowMs) / msPerSecond + 5;
/** Least part of the limits of all upstreams together that is used. */
const usedShare = 0.5;

interface Sample {
  readonly atMs: number;
  /** Requests that have reached the upstream. */
  readonly count: number;
}

/** Counts the requests that have reached an upstream. */
async function countRequests(address: string): Promise<number> {
  const response = await request(`http://${address}/runs`);
  const {runs} = (await response.body.json()) as {
    runs: readonly {readonly resumed?: number}[];
  };
  return runs.reduce((total, {resumed = 0}) => total + 1 + resumed, 0);
}

async function sampleWhile(
  deployment: Deployment,
  name: string,
  isOver: () => boolean,
): Promise<readonly Sample[]> {
  const samples: Sample[] = [];
  while (!isOver()) {
    const count = await countRequests(deployment.addressOf(name));
    samples.push({atMs: performance.now(), count});
    await sleep(sampleMs);
  }
  return samples;
}

function worstWindow(samples: readonly Sample[]): number {
  const counts = samples.map(first => {
    const within = samples.filter(
      ({atMs}) => atMs >= first.atMs && atMs <= first.atMs + windowMs,
    );
    return (within.at(-1)?.count ?? first.count) - first.count;
  });
  return Math.max(0, ...counts);
}

/** Returns the samples in which the limit must hold and be used. */
function whileLimited(samples: readonly Sample[]): readonly Sample[] {
  const first = samples.find(({count}) => count > 0);
  const firstAtMs = first?.atMs ?? Infinity;
  return samples.filter(
    ({atMs}) =>
      atMs >= firstAtMs + contactMs &&
      atMs <= firstAtMs + loadSeconds * msPerSecond,
  );
}

function expectLimitUsed(sampled: readonly (readonly Sample[])[]): void {
  const counts = sampled.map(
    samples => (samples.at(-1)?.count ?? 0) - (samples[0]?.count ?? 0),
  );
  const allowed = sampled.map(
    samples =>
      (((samples.at(-1)?.atMs ?? 0) - (samples[0]?.atMs ?? 0)) / msPerSecond) *
      limitPerS,
  );
  const sum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  expect(sum(counts)).to.be.at.least(usedShare * sum(allowed));
}

describeDeployments('upstreams that limit their request rate', deployment => {
  // Guards against instances that do not tell their schedulers of a limit, and against a limit that is not used.
  it('get requests of all instances at that rate', async () => {
    const names = (['engine', 'service'] as const).flatMap(role =>
      deployment().names(role),
    );
    for (const name of names) {
      await deployment().switch(name, {rateLimit: String(limitPerS)});
    }
    let isOver = false;
    const sampling = names.map(name =>
      sampleWhile(deployment(), name, () => isOver),
    );
    const report = await deployment().load({seconds: loadSeconds});
    isOver = true;
    const sampled = (await Promise.all(sampling)).map(whileLimited);
    for (const [index, samples] of sampled.entries()) {
      expect(worstWindow(samples), names[index]).to.be.at.most(maxInWindow);
    }
    expectLimitUsed(sampled);
    expect(report.faults, `seed ${report.seed}`).to.deep.equal([]);
  });
});
