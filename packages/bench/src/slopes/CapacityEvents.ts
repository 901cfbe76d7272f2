/**
 * Derives the cost of instance replacements, shard takeovers and a partition,
 * and the load on the platform's key-value service.
 */
import type {FindFit} from './CapacityModel.js';
import type {CapacityScale} from './CapacityScale.js';
import {deriveRates} from './CapacityScale.js';
import {costAt} from './Fit.js';

/** A derived figure with its unit and the formula behind it. */
export interface EventFigure {
  readonly event: string;
  readonly value: number;
  readonly unit: string;
  readonly derivation: string;
}

const secondsPerDay = 86_400;
const hoursPerDay = 24;
const watchersPerRegion = 2;
const refreshIntervalSeconds = 300;

/** A shard moves off an instance that stops, and back when it returns. */
const movesPerTermination = 2;

/** Derives the cost of takeovers and instance replacements. */
export function deriveReplacement(
  scale: CapacityScale,
  findFit: FindFit,
): readonly EventFigure[] {
  const rates = deriveRates(scale);
  const moves = scale.instanceTerminationsPerDay * movesPerTermination;
  const shardMoves = (moves * rates.shards) / scale.nodes;
  const claimMoves = (moves * scale.claimShards) / scale.nodes;
  const announceBytes = costAt(findFit('announce.bytes'), rates.shardPermits);
  const retainedClaims =
    rates.claimsPerShardPerSecond * scale.claimRetentionSeconds;
  const configBytes = costAt(findFit('config.bytes'), scale.workspaces);
  const copies = costAt(findFit('fleet.copies'), scale.nodes);
  return [
    {
      event: 'takeovers of shards',
      value: shardMoves,
      unit: 'per day',
      derivation: 'instance ends × 2 × shards / nodes',
    },
    {
      event: 'announcements of one takeover',
      value: announceBytes,
      unit: 'bytes',
      derivation: 'all permits of the shard, from all holders',
    },
    {
      event: 'loads of claim shards',
      value: claimMoves,
      unit: 'per day',
      derivation: 'instance ends × 2 × claim shards / nodes',
    },
    {
      event: 'bytes of one claim shard load',
      value: costAt(findFit('claims.stored'), retainedClaims),
      unit: 'bytes',
      derivation: 'claims of 24 h',
    },
    {
      event: 'processor time of one claim shard load',
      value: costAt(findFit('claims.load'), retainedClaims) / 1e6,
      unit: 's',
      derivation: 'claims of 24 h',
    },
    {
      event: 'configuration to one new instance',
      value: configBytes * (1 + copies),
      unit: 'bytes',
      derivation: 'one read of the platform and a copy from each link at most',
    },
    {
      event: 'configuration to all new instances',
      value:
        (configBytes * (1 + copies) * scale.instanceTerminationsPerDay) /
        secondsPerDay,
      unit: 'bytes per second in the fleet',
      derivation: 'instance ends × bytes / day',
    },
  ];
}

/** Derives the cost of a one-hour partition of one region. */
export function derivePartition(
  scale: CapacityScale,
  findFit: FindFit,
): readonly EventFigure[] {
  const {regionNodes} = deriveRates(scale);
  const configBytes = costAt(findFit('config.bytes'), scale.workspaces);
  const copies = costAt(findFit('fleet.copies'), scale.nodes);
  return [
    {
      event: 'changes that the region misses',
      value: scale.configChangesPerDay / hoursPerDay,
      unit: 'changes',
      derivation: 'changes per day / 24; only the last one is passed on',
    },
    {
      event: 'configuration into the region when it heals',
      value: regionNodes * copies * configBytes,
      unit: 'bytes',
      derivation: 'nodes of a region × copies × bytes',
    },
    {
      event: 'members to learn anew on each node of the region',
      value: scale.nodes - regionNodes,
      unit: 'members',
      derivation: 'members of other regions, forgotten after 60 s',
    },
  ];
}

/** Derives the load on the key-value service. */
export function derivePlatform(
  scale: CapacityScale,
  findFit: FindFit,
): readonly EventFigure[] {
  const {claimsPerShardPerSecond} = deriveRates(scale);
  const writes = costAt(findFit('claims.writes'), claimsPerShardPerSecond);
  const watchers = watchersPerRegion * scale.regions;
  return [
    {
      event: 'writes of claims',
      value: writes * scale.claimShards,
      unit: 'per second',
      derivation: 'one writer for each claim shard',
    },
    {
      event: 'writes of configuration changes',
      value: scale.configChangesPerDay / secondsPerDay,
      unit: 'per second',
      derivation: 'one transaction each',
    },
    {
      event: 'waiting watches',
      value: watchers,
      unit: 'watches',
      derivation: `${watchersPerRegion} for each region`,
    },
    {
      event: 'reads beside the watches, and at the start of instances',
      value:
        watchers / refreshIntervalSeconds +
        scale.instanceTerminationsPerDay / secondsPerDay,
      unit: 'per second',
      derivation:
        'one read in 300 s by each watcher, one for each new instance',
    },
  ];
}
