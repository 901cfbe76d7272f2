/**
 * State of a chat-completion call across its attempts.
 */
import type {ShardId, UpstreamId, UpstreamInfo} from '@toucanrouter/common';
import type {RetryReservation} from '@toucanrouter/policy';
import type {Exchange} from '../Exchange.js';
import type {GrantedUpstream, UpstreamAccess} from '../UpstreamAccess.js';
import type {ChatRequest} from './ChatRequest.js';
import type {AttemptEnd} from './EngineAttempt.js';
import type {AttemptStart, Transcript} from './Transcript.js';

/** An attempt that has finished. */
export interface FinishedAttempt {
  readonly granted: GrantedUpstream;
  readonly start: AttemptStart;
  readonly end: AttemptEnd | {readonly kind: 'complete' | 'lost_race'};
  readonly preempted: boolean;
}

/** A call in progress. */
export interface ChatState {
  readonly access: UpstreamAccess;
  readonly exchange: Exchange;
  readonly request: ChatRequest;
  readonly shardId: ShardId;
  readonly transcript: Transcript;
  readonly excluded: Set<UpstreamId>;
  permitsRequested: number;
  /** Consecutive faults without a new token in between. */
  faults: number;
  /** For each connection that broke, whether its engine has ended. */
  readonly breaks: Promise<boolean>[];
  /** Tokens received before the attempt in progress. */
  tokensBeforeAttempt: number;
  lastUpstreamId: UpstreamId | undefined;
  /** The upstream that began the response in the transcript. */
  origin: UpstreamInfo | undefined;
  /** True once an attempt ended other than by a rejection. */
  mayHaveRun: boolean;
  /** The attempt that delivered events first; a competing one is discarded. */
  winner: GrantedUpstream | undefined;
  /** True once the hedge has a permit. */
  hedgeRunning: boolean;
  /** Permit of the upstream that the call moves to. */
  reserved: GrantedUpstream | undefined;
  /**
   * A retry for the case that a running attempt is given up for another one and
   * that one fails.
   */
  retryReservation: RetryReservation | undefined;
}
