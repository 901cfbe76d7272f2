/**
 * Pure rules for claim requests and claim ends. Given the claims of the shard,
 * the result either follows from them, or a record must be stored first.
 */
import type {
  ClaimEnd,
  ClaimReference,
  ClaimReply,
  ClaimRequest,
  StoredResponse,
} from '@toucanrouter/common';
import {invariant, RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {maxOutcomeBodyBytes} from './ClaimConstants.js';
import type {ClaimEntry, ClaimView} from './ClaimIndex.js';
import type {ClaimRecord} from './ClaimRecords.js';

/** Outcome of the rules for one operation. */
export interface Decision<Value> {
  /** Record to store before the operation completes, if any. */
  readonly record?: ClaimRecord;
  /**
   * True when the result is only valid if no other writer has changed the shard
   * since its claims were read.
   */
  readonly needsConfirmation: boolean;
  /**
   * Returns the result, given the revision of the write that stored the batch;
   * undefined when the batch stored no records. A claim that an earlier operation
   * of the batch made takes its fencing token from this revision.
   */
  readonly resultAt: (
    writeRevision: number | undefined,
  ) => Result<Value, RouterError>;
}

export function decideClaim(
  claims: ClaimView,
  request: ClaimRequest,
): Decision<ClaimReply> {
  if (claims.isReleased(request.claimId))
    return finalDecision(releasedError(request));
  const entry = claims.find(request);
  if (entry === undefined) {
    return {
      record: {kind: 'claimed', ...request},
      needsConfirmation: true,
      resultAt: claimedResult,
    };
  }
  if (entry.requestHash !== request.requestHash) {
    return finalDecision(ok({kind: 'key_reused'}));
  }
  if (entry.state === 'claimed' && entry.claimId === request.claimId) {
    return {
      needsConfirmation: true,
      resultAt: revision => claimedResult(entry.revision ?? revision),
    };
  }
  return finalDecision(ok(replyForEntry(entry)));
}

/** Decides the end of a claim. The first end that is stored is final. */
export function decideEnd(
  claims: ClaimView,
  reference: ClaimReference,
  end: ClaimEnd,
): Decision<void> {
  const holder = claims.find(reference);
  const entry = holder?.claimId === reference.claimId ? holder : undefined;
  if (end.kind === 'not_sent') return decideRelease(claims, reference, entry);
  if (entry === undefined) return decideMissingClaim(claims, reference);
  if (entry.state !== 'claimed') return finalDecision(ok(undefined));
  const {workspaceId, idempotencyKey, claimId} = reference;
  const {requestHash} = entry;
  return writeDecision({
    kind: 'ended',
    workspaceId,
    idempotencyKey,
    claimId,
    requestHash,
    outcome:
      end.kind === 'completed' ? toStorableOutcome(end.outcome) : undefined,
  });
}

function decideRelease(
  claims: ClaimView,
  reference: ClaimReference,
  entry: ClaimEntry | undefined,
): Decision<void> {
  if (claims.isReleased(reference.claimId)) return finalDecision(ok(undefined));
  if (entry !== undefined && entry.state !== 'claimed') {
    const message = `claim ${reference.claimId} has ended and can't be released`;
    return finalDecision(err(new RouterError('internal', message)));
  }
  const {workspaceId, idempotencyKey, claimId} = reference;
  return writeDecision({
    kind: 'released',
    workspaceId,
    idempotencyKey,
    claimId,
  });
}

function replyForEntry(entry: ClaimEntry): ClaimReply {
  if (entry.state === 'claimed') return {kind: 'in_progress'};
  if (entry.outcome === undefined) return {kind: 'outcome_unknown'};
  return {kind: 'completed', outcome: entry.outcome};
}

function toStorableOutcome(
  outcome: StoredResponse,
): StoredResponse | undefined {
  const sizeBytes = Buffer.byteLength(outcome.bodyBase64, 'base64');
  return sizeBytes <= maxOutcomeBodyBytes ? outcome : undefined;
}

function claimedResult(
  revision: number | undefined,
): Result<ClaimReply, RouterError> {
  invariant(revision !== undefined, 'a stored claim must have a revision');
  return ok({kind: 'claimed', fencingToken: revision});
}

function finalDecision<Value>(
  result: Result<Value, RouterError>,
): Decision<Value> {
  return {needsConfirmation: false, resultAt: () => result};
}

function writeDecision(record: ClaimRecord): Decision<void> {
  return {record, needsConfirmation: true, resultAt: () => ok(undefined)};
}

function releasedError(request: ClaimRequest): Result<never, RouterError> {
  const message = `claim ${request.claimId} was released by its owner`;
  return err(new RouterError('canceled', message));
}

/**
 * Decides the end of a claim that the shard doesn't hold. Unless the claim was
 * released, another writer may have stored it since the shard was read.
 */
function decideMissingClaim(
  claims: ClaimView,
  reference: ClaimReference,
): Decision<void> {
  const released = claims.isReleased(reference.claimId);
  const reason = released ? 'was released' : 'does not exist or has expired';
  const message = `claim ${reference.claimId} ${reason}`;
  const result = err(new RouterError('not_found', message));
  return {needsConfirmation: !released, resultAt: () => result};
}
