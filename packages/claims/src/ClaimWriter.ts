/**
 * The writer of one claim shard. It gathers operations into batches, decides
 * them against the claims it knows, and stores each batch with one fenced
 * transaction. Any number of writers may work on a shard: one whose view is
 * outdated fails its compare and reads again.
 *
 * An operation is only answered after its record is known to be stored. When a
 * write gets no answer the shard is read again and the operations are decided
 * anew: a claim that the lost write stored is found by its id, and one that it
 * did not store is written again. The lost write cannot take effect later
 * beside it, since both compare the same revision.
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
import {planBatch} from './Batch.js';
import {
  defaultOperationTimeoutMs,
  maxRetryMs,
  maxSegmentAgeMs,
  maxSegmentBytes,
  minRetryMs,
  minWriteSpacingMs,
  retentionMs,
} from './ClaimConstants.js';
import type {ClaimView} from './ClaimIndex.js';
import {headKey, shardPrefix} from './ClaimRecords.js';
import type {Decision} from './ClaimRules.js';
import {decideClaim, decideEnd} from './ClaimRules.js';
import type {Operation} from './Operation.js';
import {createOperation} from './Operation.js';
import type {AppendPlan, LoadedShard, SegmentLimits} from './ShardLog.js';
import {planAppend, readShard} from './ShardLog.js';

/** Parameters of a claim writer. */
export interface ClaimWriterOptions {
  readonly store: KeyValueStore;
  /** Number of the claim shard, from 0. */
  readonly shard: number;
  readonly clock: Clock;
  /** Time after which an operation that was not settled fails. */
  readonly operationTimeoutMs?: number;
  /** Least time between the starts of two writes. */
  readonly minWriteSpacingMs?: number;
  readonly limits?: Partial<SegmentLimits>;
}

/** Counts of a writer since it was created. */
export interface ClaimWriterCounters {
  readonly writes: number;
  readonly failedCompares: number;
  readonly unansweredWrites: number;
  readonly loads: number;
  readonly confirmations: number;
}

/** The writer of one claim shard. */
export interface ClaimWriter {
  claim(request: ClaimRequest): ResultAsync<ClaimReply, RouterError>;
  end(reference: ClaimReference, end: ClaimEnd): ResultAsync<void, RouterError>;
  counters(): ClaimWriterCounters;
  /** Refuses new operations and resolves when the earlier ones are settled. */
  close(): Promise<void>;
}

const defaultLimits: SegmentLimits = {
  maxSegmentBytes,
  maxSegmentAgeMs,
  retentionMs,
};

/** Creates the writer of a shard. It reads the shard on the first use. */
export function createClaimWriter(options: ClaimWriterOptions): ClaimWriter {
  const {store, shard, clock} = options;
  const limits = {...defaultLimits, ...options.limits};
  const timeoutMs = options.operationTimeoutMs ?? defaultOperationTimeoutMs;
  const spacingMs = options.minWriteSpacingMs ?? minWriteSpacingMs;
  const counts = {
    writes: 0,
    failedCompares: 0,
    unansweredWrites: 0,
    loads: 0,
    confirmations: 0,
  };
  let queue: Operation[] = [];
  let running: Promise<void> | undefined;
  let closing = false;
  /** The claims as last read or written; outdated unless `current`. */
  let known: LoadedShard | undefined;
  let current = false;
  let lastStepAtMs = -Infinity;
  let retryMs = minRetryMs;

  function submit<Answer>(
    decide: (claims: ClaimView) => Decision<Answer>,
  ): ResultAsync<Answer, RouterError> {
    if (closing) {
      return errAsync(new RouterError('shutting_down', 'claim writer closes'));
    }
    const {operation, answer} = createOperation(decide, clock, timeoutMs);
    queue.push(operation);
    running ??= run().finally(() => {
      running = undefined;
    });
    return answer;
  }

  async function run(): Promise<void> {
    while (hasWork()) {
      await waitForSpacing();
      const succeeded = hasWork() ? await step() : true;
      if (succeeded) retryMs = minRetryMs;
      else await waitForRetry();
    }
  }

  function hasWork(): boolean {
    queue = queue.filter(operation => !operation.settled);
    return queue.length > 0;
  }

  async function waitForSpacing(): Promise<void> {
    const waitMs = lastStepAtMs + spacingMs - clock.nowMs();
    if (waitMs > 0) await delay(clock, waitMs);
    lastStepAtMs = clock.nowMs();
  }

  async function waitForRetry(): Promise<void> {
    await delay(clock, retryMs);
    retryMs = Math.min(retryMs * 2, maxRetryMs);
  }

  /** Answers some operations; false when the platform did not answer. */
  async function step(): Promise<boolean> {
    if (!current) {
      const loaded = await load();
      if (loaded.isErr()) return giveFinalAnswers(loaded.error);
      known = loaded.value;
      current = true;
    }
    invariant(known !== undefined, 'current claims are known');
    // Operations may have run out of time while the shard was read.
    if (!hasWork()) return true;
    const batch = planBatch(known.claims, queue);
    return batch.records.length > 0
      ? write(known, batch)
      : confirm(known, batch);
  }

  function load(): ResultAsync<LoadedShard, PlatformError> {
    counts.loads++;
    return store
      .list(shardPrefix(shard))
      .andThen(entries => readShard(shard, entries));
  }

  async function write(loaded: LoadedShard, batch: Batch): Promise<boolean> {
    const wallMs = clock.wallMs();
    const plan = planAppend(shard, loaded.log, batch.records, limits, wallMs);
    for (const {operation, record} of batch.prepared) {
      if (record !== undefined) operation.markSent();
    }
    counts.writes++;
    const reply = await store.transact(plan.transaction);
    if (reply.isErr()) {
      current = !reply.error.mayHaveTakenEffect;
      if (!current) counts.unansweredWrites++;
      return giveFinalAnswers(reply.error);
    }
    if (!reply.value.succeeded) {
      counts.failedCompares++;
      current = false;
      return true;
    }
    known = applyPlan(loaded, plan, batch, reply.value.revision);
    answerAll(batch, reply.value.revision);
    return true;
  }

  /** Checks that no other writer changed the shard, then answers. */
  async function confirm(loaded: LoadedShard, batch: Batch): Promise<boolean> {
    counts.confirmations++;
    const head = await store.get(headKey(shard));
    if (head.isErr()) return giveFinalAnswers(head.error);
    const headRevision = head.value?.modRevision ?? 0;
    current = headRevision === loaded.log.headRevision;
    if (current) answerAll(batch, undefined);
    return true;
  }

  /**
   * Gives the answers that stay right whatever other writers have done. An
   * operation that was sent is left out: its own record may be stored.
   */
  function giveFinalAnswers(error: PlatformError): false {
    for (const operation of queue) {
      operation.noteFailure(error);
      if (known === undefined || operation.sent) continue;
      const prepared = operation.prepare(known.claims);
      if (prepared.record !== undefined || prepared.needsConfirmation) continue;
      prepared.answerAt(undefined);
    }
    return false;
  }

  return {
    claim: request => submit(claims => decideClaim(claims, request)),
    end: (reference, end) =>
      submit(claims => decideEnd(claims, reference, end)),
    counters: () => ({...counts}),
    close: async () => {
      closing = true;
      await running;
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
  return {log: plan.logAt(revision), claims};
}

function answerAll(batch: Batch, revision: number | undefined): void {
  for (const {answerAt} of batch.prepared) answerAt(revision);
}
