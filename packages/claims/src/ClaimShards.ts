/**
 * Maps idempotency keys to claim shards, and serves all shards in one process.
 */
import type {ClaimStore, WorkspaceId} from '@toucanrouter/common';
import {invariant, partitionOf} from '@toucanrouter/common';
import {claimShardCount} from './ClaimConstants.js';
import type {ClaimWriter} from './ClaimWriter.js';

export function claimShardOf(workspaceId: WorkspaceId, key: string): number {
  return partitionOf(`${workspaceId}\0${key}`, claimShardCount);
}

/** Creates a claim store over one writer for each shard, in shard order. */
export function createLocalClaimStore(
  writers: readonly ClaimWriter[],
): ClaimStore {
  invariant(
    writers.length === claimShardCount,
    `a claim store needs ${claimShardCount} writers, got ${writers.length}`,
  );

  function writerOf(workspaceId: WorkspaceId, key: string): ClaimWriter {
    const writer = writers[claimShardOf(workspaceId, key)];
    invariant(writer !== undefined, 'every claim shard must have a writer');
    return writer;
  }

  return {
    claim: request =>
      writerOf(request.workspaceId, request.idempotencyKey).claim(request),
    end: (reference, end) =>
      writerOf(reference.workspaceId, reference.idempotencyKey).end(
        reference,
        end,
      ),
  };
}
