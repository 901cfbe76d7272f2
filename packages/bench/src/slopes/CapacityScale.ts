/**
 * The scale that the fleet is designed for, and the rates derived from it.
 */

/** Sizes and rates that a fleet must support. */
export interface CapacityScale {
  readonly nodes: number;
  readonly engines: number;
  readonly models: number;
  readonly regions: number;
  readonly workspaces: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly firstTokenMs: number;
  readonly tokenGapMs: number;
  readonly configChangesPerDay: number;
  /** Instances that fail, restart or are replaced. */
  readonly instanceTerminationsPerDay: number;
  /** Share of requests that must run at most once. */
  readonly nonIdempotentShare: number;
  readonly claimShards: number;
  readonly claimRetentionSeconds: number;
  readonly listPollsPerSecond: number;
}

/**
 * The scale given on the design page. That page does not state the share of
 * non-idempotent calls; 1% is an assumption of the capacity page.
 */
export const designScale: CapacityScale = {
  nodes: 400,
  engines: 2_100,
  models: 9,
  regions: 7,
  workspaces: 1_300,
  requestsPerSecond: 28_000,
  tokensPerSecond: 9_400_000,
  firstTokenMs: 400,
  tokenGapMs: 33,
  configChangesPerDay: 1_700,
  instanceTerminationsPerDay: 22 + 840,
  nonIdempotentShare: 0.01,
  claimShards: 4,
  claimRetentionSeconds: 24 * 3_600,
  listPollsPerSecond: 1,
};

/** Upper limits of the control cost of a node. */
export const controlBudget = {
  cpuMicrosPerSecond: 22_000,
  bytesPerSecond: 7_000,
  memoryBytes: 128_000_000,
} as const;

/** Rates of a node and of a shard, derived from a scale. */
export interface DerivedRates {
  readonly nodeRequestsPerSecond: number;
  readonly nodeTokensPerSecond: number;
  /** Mean number of permits that the requests of a node hold. */
  readonly nodePermits: number;
  readonly shards: number;
  readonly shardRequestsPerSecond: number;
  readonly shardPermits: number;
  readonly regionNodes: number;
  readonly claimsPerShardPerSecond: number;
}

/** Derives the rates; a request holds its permit until its last token. */
export function deriveRates(scale: CapacityScale): DerivedRates {
  const tokens = scale.tokensPerSecond / scale.requestsPerSecond;
  const heldMs = scale.firstTokenMs + (tokens - 1) * scale.tokenGapMs;
  const permits = (scale.requestsPerSecond * heldMs) / 1_000;
  const shards = scale.models * scale.regions;
  const claims = scale.requestsPerSecond * scale.nonIdempotentShare;
  return {
    nodeRequestsPerSecond: scale.requestsPerSecond / scale.nodes,
    nodeTokensPerSecond: scale.tokensPerSecond / scale.nodes,
    nodePermits: permits / scale.nodes,
    shards,
    shardRequestsPerSecond: scale.requestsPerSecond / shards,
    shardPermits: permits / shards,
    regionNodes: scale.nodes / scale.regions,
    claimsPerShardPerSecond: claims / scale.claimShards,
  };
}
