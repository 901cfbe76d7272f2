/**
 * Measures how a configuration propagates through a fleet, and what share of
 * the fleet an instance considers alive, by number of instances. The fleet runs
 * on a simulated clock.
 */
import {toUpstreamId} from '@toucanrouter/common';
import type {StoredConfig} from '@toucanrouter/common';
import type {Point} from './Fit.js';
import type {Measurement, Series} from './Series.js';
import type {SimulatedFleet, SimulatedInstance} from './SimulatedFleet.js';
import {createSimulatedFleet} from './SimulatedFleet.js';

const sizes = [25, 50, 100, 200, 400];
const settleMs = 6_000;
const stepMs = 50;
const inFlightCopiesMs = 500;
const propagationTimeoutMs = 5_000;

interface PropagationPoints {
  readonly links: Point[];
  readonly aliveShare: Point[];
  readonly copies: Point[];
  readonly allInEffectMs: Point[];
}

const change: StoredConfig = {
  version: 1,
  writeId: 'write',
  author: 'operator',
  changedAtWallMs: 0,
  classesText: '',
  drainedUpstreams: [toUpstreamId('engine-1')],
};

function meanOf(
  fleet: SimulatedFleet,
  value: (instance: SimulatedInstance) => number,
): number {
  const sum = fleet.instances.reduce((total, each) => total + value(each), 0);
  return sum / fleet.instances.length;
}

/** Offers a change to one instance; returns the time until all have it. */
function propagateChange(fleet: SimulatedFleet): number {
  const {clock, instances} = fleet;
  const startedAtMs = clock.nowMs();
  instances[0]?.offer(change);
  while (
    instances.some(instance => instance.config() === undefined) &&
    clock.nowMs() - startedAtMs < propagationTimeoutMs
  ) {
    clock.advance(stepMs);
  }
  const allInEffectMs = clock.nowMs() - startedAtMs;
  // Copies still in flight are delivered and counted.
  clock.advance(inFlightCopiesMs);
  return allInEffectMs;
}

function measureSize(size: number, points: PropagationPoints): void {
  const fleet = createSimulatedFleet(size);
  fleet.clock.advance(settleMs);
  const alive = meanOf(fleet, each => each.fleet.alive().length);
  points.links.push({x: size, y: meanOf(fleet, each => each.links())});
  points.aliveShare.push({x: size, y: alive / size});
  points.allInEffectMs.push({x: size, y: propagateChange(fleet)});
  const copies = meanOf(fleet, each => each.configsReceived());
  points.copies.push({x: size, y: copies});
  for (const instance of fleet.instances) instance.fleet.close();
}

async function run(): Promise<readonly Series[]> {
  const points: PropagationPoints = {
    links: [],
    aliveShare: [],
    copies: [],
    allInEffectMs: [],
  };
  for (const size of sizes) measureSize(size, points);
  const x = 'instances';
  return [
    {
      key: 'fleet.links',
      title: 'links of an instance that uses all shards',
      x,
      y: 'links, mean',
      points: points.links,
    },
    {
      key: 'fleet.alive',
      title: 'part of the fleet that an instance considers alive',
      x,
      y: 'share, mean',
      points: points.aliveShare,
    },
    {
      key: 'fleet.copies',
      title: 'copies of one change that reach an instance',
      x,
      y: 'copies, mean',
      points: points.copies,
    },
    {
      key: 'fleet.spread',
      title: 'time until a change is at every instance (5,000 is the limit)',
      x,
      y: 'ms',
      points: points.allInEffectMs,
    },
  ];
}

/** Measurements of the propagation of configuration and membership. */
export const spreadSlopes: Measurement = {
  name: 'spread',
  description: 'createFleet of the daemon, simulated links, injected clock',
  run,
};
