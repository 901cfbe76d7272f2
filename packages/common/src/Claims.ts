/**
 * Claims of non-idempotent calls: the interface that request handling uses.
 */
import type {ResultAsync} from 'neverthrow';
import type {RouterError} from './Errors.js';
import type {ClaimId, InstanceId, WorkspaceId} from './Ids.js';

/** Requests the exclusive right to run a call. */
export interface ClaimRequest {
  readonly claimId: ClaimId;
  readonly workspaceId: WorkspaceId;
  readonly idempotencyKey: string;
  /** Hash of method, path and body; a key reused with another is refused. */
  readonly requestHash: string;
  readonly owner: InstanceId;
}

/** Response of an upstream, stored for later calls with the same key. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** Result of a claim request. */
export type ClaimReply =
  | {readonly kind: 'claimed'; readonly fencingToken: number}
  | {readonly kind: 'completed'; readonly outcome: StoredResponse}
  | {readonly kind: 'in_progress'}
  | {readonly kind: 'outcome_unknown'}
  | {readonly kind: 'key_reused'};

/** How a claim ended, as reported by its owner. */
export type ClaimEnd =
  | {readonly kind: 'completed'; readonly outcome: StoredResponse}
  | {readonly kind: 'outcome_unknown'}
  /** The call was not sent and never will be under this claim. */
  | {readonly kind: 'not_sent'};

/** Identifies the claim that a `ClaimEnd` belongs to. */
export interface ClaimReference {
  readonly claimId: ClaimId;
  readonly workspaceId: WorkspaceId;
  readonly idempotencyKey: string;
}

/** Claims on the platform, whichever instance writes the claim shard. */
export interface ClaimStore {
  claim(request: ClaimRequest): ResultAsync<ClaimReply, RouterError>;
  end(reference: ClaimReference, end: ClaimEnd): ResultAsync<void, RouterError>;
}
