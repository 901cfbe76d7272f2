/**
 * Records of a shard that the service lost when it came back from a copy. The
 * log of a shard only grows, apart from segments that expire. So whatever a
 * writer knows to be stored, and an unexpired log lacks, was lost, and a writer
 * that knows it writes it again.
 */
import type {ClaimEntry, ClaimView, KnownRelease} from './ClaimIndex.js';
import type {ClaimRecord} from './ClaimRecords.js';
import type {LoadedShard} from './ShardLog.js';
import {firstSegmentOf} from './ShardLog.js';

/**
 * Returns the records that `known` has and `loaded` lacks, in an order in which
 * they can be appended. A key that another claim got since stays with it.
 */
export function findLostRecords(
  known: LoadedShard,
  loaded: LoadedShard,
): readonly ClaimRecord[] {
  const firstSegment = firstSegmentOf(loaded.log);
  const isLive = ({segment}: ClaimEntry | KnownRelease) =>
    segment >= firstSegment;
  const entries = known.claims.entries().filter(isLive);
  const releases = known.claims.releases().filter(isLive);
  return [
    ...releases.map(({record}) => record),
    ...entries.map(({record}) => record),
  ].filter(record => isLost(record, loaded.claims, known.claims));
}

/** Returns those of the records that `claims` lacks, as it may have changed. */
export function stillLost(
  records: readonly ClaimRecord[],
  claims: ClaimView,
): readonly ClaimRecord[] {
  const released = new Set(
    records.filter(r => r.kind === 'released').map(r => r.claimId),
  );
  const isReleased = (claimId: ClaimRecord['claimId']) => released.has(claimId);
  return records.filter(record => isLost(record, claims, {isReleased}));
}

function isLost(
  record: ClaimRecord,
  stored: ClaimView,
  known: Pick<ClaimView, 'isReleased'>,
): boolean {
  if (stored.isReleased(record.claimId)) return false;
  if (record.kind === 'released') return true;
  const holder = stored.find(record);
  if (holder === undefined) return true;
  if (holder.claimId === record.claimId) {
    return record.kind === 'ended' && holder.state === 'claimed';
  }
  return known.isReleased(holder.claimId);
}
