export {claimShardCount, maxOutcomeBodyBytes} from './ClaimConstants.js';
export {claimShardOf, createLocalClaimStore} from './ClaimShards.js';
export type {
  ClaimWriter,
  ClaimWriterCounters,
  ClaimWriterOptions,
} from './ClaimWriter.js';
export {createClaimWriter} from './ClaimWriter.js';
export type {SegmentLimits} from './ShardLog.js';
