import {createSystemClock} from '@toucanrouter/common';
import {expect} from 'chai';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import type {
  RatedFleetOptions,
  RatedTestUpstream,
} from './RateLimitFixtures.js';
import {
  countedFromMs,
  createRatedUpstream,
  maxWindowArrivals,
  startRatedFleet,
  worstWindow,
} from './RateLimitFixtures.js';

const clock = createSystemClock();
const unlimitedMs = 1_000;
const limitedMs = 9_000;
const msPerSecond = 1_000;
/** Part of the rate that must be used while there is more demand than that. */
const minUsedShare = 0.6;

const streamRoute: Partial<GatewayRoute> = {targetLatencyMs: 1_000};
const plainRoute: Partial<GatewayRoute> = {
  streams: false,
  retryPolicy: 'whole',
  targetLatencyMs: 1_000,
};

const startedFleets: {close(): Promise<void>}[] = [];

async function start(
  options: Omit<RatedFleetOptions, 'instanceCount'> &
    Partial<RatedFleetOptions>,
) {
  const fleet = await startRatedFleet({instanceCount: 5, ...options});
  startedFleets.push(fleet);
  return fleet;
}

interface LimitedLoad {
  readonly instanceCount?: number;
  readonly upstreamCount: number;
  /** Upstreams that name the limit: those with the most requests before. */
  readonly limitedCount: number;
  readonly limitPerS: number;
  readonly perS: number;
  readonly servesModels: boolean;
  readonly reportsArrive?: boolean;
  /** Instances that callers reach. */
  readonly loadedCount?: number;
  /** Instances that restart one after the other while the limit holds. */
  readonly restarted?: readonly number[];
}

function usedPerS(upstream: RatedTestUpstream, endMs: number): number {
  const fromMs = countedFromMs(upstream);
  const count = upstream.arrivalsMs.filter(
    atMs => atMs >= fromMs && atMs < endMs,
  ).length;
  return (count / (endMs - fromMs)) * msPerSecond;
}

/** Loads a fleet before and while upstreams name a limit, and checks both. */
async function checkLimit(load: LimitedLoad): Promise<void> {
  const {limitPerS, limitedCount, perS, servesModels, upstreamCount} = load;
  const {instanceCount = 5, reportsArrive, restarted = []} = load;
  const {loadedCount = instanceCount} = load;
  const upstreams = Array.from({length: upstreamCount}, createRatedUpstream);
  const route = servesModels ? streamRoute : plainRoute;
  const routes = [route, route];
  const fleet = await start({
    instanceCount,
    reportsArrive,
    upstreams,
    servesModels,
    routes,
  });
  await fleet.load(perS, unlimitedMs, {loadedCount});
  const limited = upstreams
    .toSorted((a, b) => b.arrivalsMs.length - a.arrivalsMs.length)
    .slice(0, limitedCount);
  for (const upstream of limited) upstream.limit(String(limitPerS));
  const restarts = (async () => {
    for (const instance of restarted) await fleet.restart(instance);
  })();
  await fleet.load(perS, limitedMs, {loadedCount});
  await restarts;
  const endMs = clock.nowMs();
  await fleet.responses();
  for (const [index, upstream] of limited.entries()) {
    const worst = worstWindow(upstream, countedFromMs(upstream));
    const shown = `upstream ${index}, worst window ${worst}`;
    expect(worst, shown).to.be.at.most(maxWindowArrivals(limitPerS));
    const used = usedPerS(upstream, endMs);
    expect(used, `upstream ${index}, requests a second`).to.be.at.least(
      limitPerS * minUsedShare,
    );
  }
}

describe('limited request rates', function () {
  this.timeout(60_000);

  afterEach(async () => {
    for (const fleet of startedFleets.splice(0)) await fleet.close();
  });

  // Guards against instances that together exceed the rate an upstream names.
  it('keeps and uses the rate of one of three model engines', () =>
    checkLimit({
      upstreamCount: 3,
      limitedCount: 1,
      limitPerS: 1,
      perS: 30,
      servesModels: true,
    }));

  // Guards against the same at services whose load is balanced without prompts.
  it('keeps and uses the rate of one of two plain upstreams', () =>
    checkLimit({
      upstreamCount: 2,
      limitedCount: 1,
      limitPerS: 20,
      perS: 100,
      servesModels: false,
    }));

  // Guards against falling back on limited upstreams when no others are left.
  it('keeps and uses the rates of all upstreams of a service', () =>
    checkLimit({
      upstreamCount: 2,
      limitedCount: 2,
      limitPerS: 1,
      perS: 30,
      servesModels: false,
    }));

  // Guards against bursts of one request of each of many instances.
  it('keeps and uses a rate that twelve instances share', () =>
    checkLimit({
      instanceCount: 12,
      upstreamCount: 2,
      limitedCount: 1,
      limitPerS: 1,
      perS: 30,
      servesModels: false,
    }));

  // Guards against shares that are used twice while no instance hears of others.
  it('keeps and uses a rate while no report arrives', () =>
    checkLimit({
      upstreamCount: 2,
      limitedCount: 1,
      limitPerS: 1,
      perS: 30,
      servesModels: false,
      reportsArrive: false,
    }));

  // Guards against a rate of which idle instances keep a part.
  it('uses a rate whose requests come through one instance', () =>
    checkLimit({
      upstreamCount: 2,
      limitedCount: 2,
      limitPerS: 1,
      perS: 10,
      servesModels: false,
      loadedCount: 1,
    }));

  // Guards against instances that come back with a full share, or unaware.
  it('keeps and uses a rate while instances restart', () =>
    checkLimit({
      upstreamCount: 2,
      limitedCount: 2,
      limitPerS: 1,
      perS: 30,
      servesModels: false,
      restarted: [0, 1],
    }));

  // Guards against turns that go to whoever asks most.
  it('gives the rate to the most urgent requests first', async () => {
    const upstreams = [createRatedUpstream(), createRatedUpstream()];
    const routes = [plainRoute, plainRoute];
    const fleet = await start({upstreams, servesModels: false, routes});
    for (const upstream of upstreams) upstream.limit('3');
    await Promise.all([
      fleet.load(3, limitedMs, {tiers: [0]}),
      fleet.load(30, limitedMs, {tiers: [1]}),
    ]);
    const fromMs = Math.max(...upstreams.map(countedFromMs));
    const counted = (await fleet.responses()).filter(
      ({sentMs}) => sentMs >= fromMs,
    );
    const servedShare = (tier: number) => {
      const all = counted.filter(response => response.tier === tier);
      return all.filter(({status}) => status === 200).length / all.length;
    };
    expect(servedShare(0)).to.be.at.least(0.8);
    expect(servedShare(1)).to.be.within(0.01, 0.3);
  });
});
