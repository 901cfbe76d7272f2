/**
 * Decides what a claim request or the end of a claim does, given the claims of
 * the shard. Either an answer follows from the claims, or a record has to be
 * stored first.
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

/** What follows from an operation. */
export interface Decision<Answer> {
  /** Must be stored before the answer is given. */
  readonly record?: ClaimRecord;
  /**
   * True when the answer is only right if no other writer has changed the shard
   * since its claims were read.
   */
  readonly needsConfirmation: boolean;
  /**
   * The answer, given the revision of the write that stored this record and
   * those decided just before.
   */
  readonly resultAt: (
    writeRevision: number | undefined,
  ) => Result<Answer, RouterError>;
}

/** Decides a claim request. */
export function decideClaim(
  claims: ClaimView,
  request: ClaimRequest,
): Decision<ClaimReply> {
  if (claims.isReleased(request.claimId)) return final(releasedError(request));
  const entry = claims.find(request);
  if (entry === undefined) {
    return {
      record: {kind: 'claimed', ...request},
      needsConfirmation: true,
      resultAt: toClaimed,
    };
  }
  if (entry.requestHash !== request.requestHash) {
    return final(ok({kind: 'key_reused'}));
  }
  if (entry.state === 'claimed' && entry.claimId === request.claimId) {
    return {
      needsConfirmation: true,
      resultAt: revision => toClaimed(entry.revision ?? revision),
    };
  }
  return final(ok(toReply(entry)));
}

/** Decides the end of a claim. The first end of a claim is final. */
export function decideEnd(
  claims: ClaimView,
  reference: ClaimReference,
  end: ClaimEnd,
): Decision<void> {
  const holder = claims.find(reference);
  const entry = holder?.claimId === reference.claimId ? holder : undefined;
  if (end.kind === 'not_sent') return decideRelease(claims, reference, entry);
  if (entry === undefined) return missing(claims, reference);
  if (entry.state !== 'claimed') return final(ok(undefined));
  const {workspaceId, idempotencyKey, claimId} = reference;
  const {requestHash} = entry;
  return store({
    kind: 'ended',
    workspaceId,
    idempotencyKey,
    claimId,
    requestHash,
    outcome: end.kind === 'completed' ? storable(end.outcome) : undefined,
  });
}

function decideRelease(
  claims: ClaimView,
  reference: ClaimReference,
  entry: ClaimEntry | undefined,
): Decision<void> {
  if (claims.isReleased(reference.claimId)) return final(ok(undefined));
  if (entry !== undefined && entry.state !== 'claimed') {
    const message = `claim ${reference.claimId} ended and cannot be released`;
    return final(err(new RouterError('internal', message)));
  }
  const {workspaceId, idempotencyKey, claimId} = reference;
  return store({kind: 'released', workspaceId, idempotencyKey, claimId});
}

function toReply(entry: ClaimEntry): ClaimReply {
  if (entry.state === 'claimed') return {kind: 'in_progress'};
  if (entry.outcome === undefined) return {kind: 'outcome_unknown'};
  return {kind: 'completed', outcome: entry.outcome};
}

function storable(outcome: StoredResponse): StoredResponse | undefined {
  const sizeBytes = Buffer.byteLength(outcome.bodyBase64, 'base64');
  return sizeBytes <= maxOutcomeBodyBytes ? outcome : undefined;
}

function toClaimed(
  revision: number | undefined,
): Result<ClaimReply, RouterError> {
  invariant(revision !== undefined, 'a stored claim has a revision');
  return ok({kind: 'claimed', fencingToken: revision});
}

function final<Answer>(result: Result<Answer, RouterError>): Decision<Answer> {
  return {needsConfirmation: false, resultAt: () => result};
}

function store(record: ClaimRecord): Decision<void> {
  return {record, needsConfirmation: true, resultAt: () => ok(undefined)};
}

function releasedError(request: ClaimRequest): Result<never, RouterError> {
  const message = `claim ${request.claimId} was released by its owner`;
  return err(new RouterError('canceled', message));
}

/** The claim may have been stored by another writer, unless it was released. */
function missing(claims: ClaimView, reference: ClaimReference): Decision<void> {
  const released = claims.isReleased(reference.claimId);
  const reason = released ? 'was released' : 'does not exist or has expired';
  const message = `claim ${reference.claimId} ${reason}`;
  const result = err(new RouterError('not_found', message));
  return {needsConfirmation: !released, resultAt: () => result};
}
