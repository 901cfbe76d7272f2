/**
 * Writer of one claim shard. It collects operations into batches, decides them
 * on its cached copy of the shard, and stores each batch with one transaction
 * that compares the head's revision. Several writers may serve a shard: the
 * compare of a writer with an outdated copy fails, and it reloads the shard.
 *
 * An operation completes only after its record is known to be stored. When a
 * write gets no response, the writer reloads the shard and decides the
 * operations again: a claim that the write stored is found by its id, and one
 * that it didn't store is written again. The first write can't take effect
 * after the second, because both compare the same revision.
 *
 * When the service comes back from a copy, the writer reloads the shard and
 * writes what it knows to be lost again, before it accepts other operations.
 */
import type {
  ClaimEnd,
  ClaimReference,
  ClaimReply,
  ClaimRequest,
  Clock,
  KeyValueStore,
  PlatformError,
} from '@toucanrouter/common';
import {delay, invariant, RouterError} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import {errAsync} from 'neverthrow';
import type {Batch} from './Batch.js';
import {planBatch, takeBatch} from './Batch.js';
import {
  defaultOperationTimeoutMs,
  maxRetryDelayMs,
  maxSegmentAgeMs,
  maxSegmentBytes,
  minRetryDelayMs,
  minWriteSpacingMs,
  retentionMs,
} from './ClaimConstants.js';
import type {ClaimView} from './ClaimIndex.js';
import type {ClaimRecord} from './ClaimRecords.js';
import {headKey, shardPrefix} from './ClaimRecords.js';
import type {Decision} from './ClaimRules.js';
import {decideClaim, decideEnd} from './ClaimRules.js';
import {findLostRecords, stillLost} from './LostRecords.js';
import type {Operation} from './Operation.js';
import {createOperation} from './Operation.js';
import type {AppendPlan, LoadedShard, SegmentLimits} from './ShardLog.js';
import {decodeShard, isHeadOf, planAppend} from './ShardLog.js';

export interface ClaimWriterOptions {
  readonly store: KeyValueStore;
  /** Claim shard number, from 0. */
  readonly shard: number;
  readonly clock: Clock;
  /** An operation that has not completed by then fails. */
  readonly operationTimeoutMs?: number;
  /** Minimum time between the starts of two writes. */
  readonly minWriteSpacingMs?: number;
  readonly limits?: Partial<SegmentLimits>;
  /** Called when so many records were written again that the service lost. */
  readonly onRestored?: (records: number) => void;
}

/** Totals since the writer was created. */
export interface ClaimWriterCounters {
  readonly writes: number;
  readonly failedCompares: number;
  readonly writesWithoutResponse: number;
  readonly loads: number;
  readonly confirmations: number;
  /** Records written again because the service had lost them. */
  readonly recordsRestored: number;
}

export interface ClaimWriter {
  claim(request: ClaimRequest): ResultAsync<ClaimReply, RouterError>;
  end(reference: ClaimReference, end: ClaimEnd): ResultAsync<void, RouterError>;
  counters(): ClaimWriterCounters;
  /**
   * Reads the head if the writer has loaded its shard and is idle, so that it
   * notices when the service came back from a copy.
   */
  checkHistory(): void;
  /**
   * Rejects new operations and resolves when the pending ones have completed.
   */
  close(): Promise<void>;
}

const defaultLimits: SegmentLimits = {
  maxSegmentBytes,
  maxSegmentAgeMs,
  retentionMs,
};

/** Creates a writer that loads its shard on the first operation. */
export function createClaimWriter(options: ClaimWriterOptions): ClaimWriter {
  const {store, shard, clock} = options;
  const limits = {...defaultLimits, ...options.limits};
  const timeoutMs = options.operationTimeoutMs ?? defaultOperationTimeoutMs;
  const writeSpacingMs = options.minWriteSpacingMs ?? minWriteSpacingMs;
  const counters = {
    writes: 0,
    failedCompares: 0,
    writesWithoutResponse: 0,
    loads: 0,
    confirmations: 0,
    recordsRestored: 0,
  };
  let queue: Operation[] = [];
  let queueRun: Promise<void> | undefined;
  let closing = false;
  /** The shard as last loaded or written; outdated unless `isCacheCurrent`. */
  let cachedShard: LoadedShard | undefined;
  let isCacheCurrent = false;
  /** Records that the service lost, until they are stored again. */
  let lostRecords: readonly ClaimRecord[] = [];
  let mustReload = false;
  let lastBatchAtMs = -Infinity;
  let retryDelayMs = minRetryDelayMs;

  function submit<Value>(
    decide: (claims: ClaimView) => Decision<Value>,
  ): ResultAsync<Value, RouterError> {
    if (closing) {
      return errAsync(
        new RouterError('shutting_down', 'claim writer is shutting down'),
      );
    }
    const {operation, result} = createOperation(decide, clock, timeoutMs);
    queue.push(operation);
    startQueue();
    return result;
  }

  function startQueue(): void {
    queueRun ??= processQueue().finally(() => {
      queueRun = undefined;
    });
  }

  async function processQueue(): Promise<void> {
    while (hasWork()) {
      await waitForWriteSpacing();
      const succeeded = hasWork() ? await processBatch() : true;
      if (succeeded) retryDelayMs = minRetryDelayMs;
      else await waitForRetry();
    }
  }

  function hasWork(): boolean {
    const mustRestore = mustReload || lostRecords.length > 0;
    return hasPendingOperations() || (mustRestore && !closing);
  }

  function hasPendingOperations(): boolean {
    queue = queue.filter(operation => !operation.completed);
    return queue.length > 0;
  }

  async function waitForWriteSpacing(): Promise<void> {
    const waitMs = lastBatchAtMs + writeSpacingMs - clock.nowMs();
    if (waitMs > 0) await delay(clock, waitMs);
    lastBatchAtMs = clock.nowMs();
  }

  async function waitForRetry(): Promise<void> {
    await delay(clock, retryDelayMs);
    retryDelayMs = Math.min(retryDelayMs * 2, maxRetryDelayMs);
  }

  /** Returns false when a platform call failed. */
  async function processBatch(): Promise<boolean> {
    if (!isCacheCurrent || mustReload) {
      // A restore while the shard is being read asks for another reload.
      mustReload = false;
      const loaded = await loadShard();
      if (loaded.isErr()) {
        mustReload = cachedShard !== undefined;
        return completeFinalDecisions(loaded.error);
      }
      useLoaded(loaded.value);
    }
    invariant(cachedShard !== undefined, 'the current shard must be loaded');
    if (lostRecords.length > 0) return restoreRecords(cachedShard);
    // Operations may have timed out while the shard was loading.
    if (!hasPendingOperations()) return true;
    const batch = planBatch(cachedShard.claims, queue);
    return batch.records.length > 0
      ? writeBatch(cachedShard, batch)
      : confirmBatch(cachedShard, batch);
  }

  function loadShard(): ResultAsync<LoadedShard, PlatformError> {
    counters.loads++;
    return store
      .list(shardPrefix(shard))
      .andThen(entries => decodeShard(shard, entries));
  }

  /** Records that the writer knows and `loaded` lacks are written first. */
  function useLoaded(loaded: LoadedShard): void {
    const missing = cachedShard ? findLostRecords(cachedShard, loaded) : [];
    lostRecords = stillLost([...lostRecords, ...missing], loaded.claims);
    cachedShard = loaded;
    isCacheCurrent = true;
  }

  /** Writes lost records again, as many as fit into one write. */
  async function restoreRecords(loaded: LoadedShard): Promise<boolean> {
    const records = takeBatch(lostRecords);
    const batch = {prepared: [], records};
    const written = await writeBatch(loaded, batch);
    if (written && isCacheCurrent) {
      lostRecords = lostRecords.slice(records.length);
      counters.recordsRestored += records.length;
      options.onRestored?.(records.length);
    }
    return written;
  }

  async function writeBatch(
    loaded: LoadedShard,
    batch: Batch,
  ): Promise<boolean> {
    const wallMs = clock.wallMs();
    const plan = planAppend(shard, loaded.log, batch.records, limits, wallMs);
    for (const {operation, record} of batch.prepared) {
      if (record !== undefined) operation.markSent();
    }
    counters.writes++;
    const response = await store.transact(plan.transaction);
    if (response.isErr()) {
      isCacheCurrent = !response.error.mayHaveTakenEffect;
      if (!isCacheCurrent) counters.writesWithoutResponse++;
      return completeFinalDecisions(response.error);
    }
    if (!response.value.succeeded) {
      counters.failedCompares++;
      isCacheCurrent = false;
      return true;
    }
    cachedShard = applyPlan(loaded, plan, batch, response.value.revision);
    completeAll(batch, response.value.revision);
    return true;
  }

  /** Completes the batch if no other writer has changed the shard. */
  async function confirmBatch(
    loaded: LoadedShard,
    batch: Batch,
  ): Promise<boolean> {
    counters.confirmations++;
    const head = await store.get(headKey(shard));
    if (head.isErr()) return completeFinalDecisions(head.error);
    isCacheCurrent = isHeadOf(loaded.log, head.value);
    if (isCacheCurrent) completeAll(batch, undefined);
    return true;
  }

  /**
   * Completes operations whose result stays valid whatever other writers have
   * done. Skips operations that were part of a sent write, because their own
   * record may be stored.
   */
  function completeFinalDecisions(error: PlatformError): false {
    for (const operation of queue) {
      operation.recordFailure(error);
      if (cachedShard === undefined || operation.sent) continue;
      const prepared = operation.prepare(cachedShard.claims);
      if (prepared.record !== undefined || prepared.needsConfirmation) continue;
      prepared.completeAt(undefined);
    }
    return false;
  }

  const unregisterHistory = store.registerHistoryHandler(() => {
    if (cachedShard === undefined || closing) return;
    mustReload = true;
    startQueue();
  });

  return {
    claim: request => submit(claims => decideClaim(claims, request)),
    end: (reference, end) =>
      submit(claims => decideEnd(claims, reference, end)),
    counters: () => ({...counters}),
    checkHistory: () => {
      if (cachedShard === undefined || queueRun !== undefined) return;
      // The store compares the response's history with the one it knows.
      void store.get(headKey(shard)).unwrapOr(undefined);
    },
    close: async () => {
      closing = true;
      unregisterHistory();
      await queueRun;
    },
  };
}

function applyPlan(
  loaded: LoadedShard,
  plan: AppendPlan,
  batch: Batch,
  revision: number,
): LoadedShard {
  const {claims} = loaded;
  const position = {segment: plan.segment, revision};
  for (const record of batch.records) claims.apply(record, position);
  if (plan.deletedThrough > 0) claims.dropThrough(plan.deletedThrough);
  return {log: plan.logStateAt(revision), claims};
}

function completeAll(batch: Batch, revision: number | undefined): void {
  for (const {completeAt} of batch.prepared) completeAt(revision);
}
