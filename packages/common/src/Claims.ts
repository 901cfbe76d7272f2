/**
 * Claims of non-idempotent calls, as the request pipe uses them.
 */
import type {ResultAsync} from 'neverthrow';
import type {RouterError} from './Errors.js';
import type {ClaimId, InstanceId, WorkspaceId} from './Ids.js';

/** Asks to be the only one that runs a call. */
export interface ClaimRequest {
  readonly claimId: ClaimId;
  readonly workspaceId: WorkspaceId;
  readonly idempotencyKey: string;
  /** Hash of method, path and body; another one under the same key is refused. */
  readonly requestHash: string;
  readonly owner: InstanceId;
}

/** The answer of an upstream, kept for later calls with the same key. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** What became of a claim request. */
export type ClaimReply =
  | {readonly kind: 'claimed'; readonly fencingToken: number}
  | {readonly kind: 'completed'; readonly outcome: StoredResponse}
  | {readonly kind: 'in_progress'}
  | {readonly kind: 'outcome_unknown'}
  | {readonly kind: 'key_reused'};

/** How a claim ended, as its owner reports it. */
export type ClaimEnd =
  | {readonly kind: 'completed'; readonly outcome: StoredResponse}
  | {readonly kind: 'outcome_unknown'}
  /** The call was not sent and never will be under this claim. */
  | {readonly kind: 'not_sent'};

/** Identifies the claim that an end belongs to. */
export interface ClaimReference {
  readonly claimId: ClaimId;
  readonly workspaceId: WorkspaceId;
  readonly idempotencyKey: string;
}

/** Claims on the platform, wherever the writer of the claim shard runs. */
export interface ClaimStore {
  claim(request: ClaimRequest): ResultAsync<ClaimReply, RouterError>;
  end(reference: ClaimReference, end: ClaimEnd): ResultAsync<void, RouterError>;
}
