/**
 * The record of a completed or failed request. It is logged field by field and
 * feeds the metrics.
 */
import type {ClassId, ErrorKind, WorkspaceId} from '@toucanrouter/common';

/** A request that ended. */
export interface EndedRequest {
  readonly requestId: string;
  readonly classId: ClassId | undefined;
  readonly tier: number | undefined;
  readonly promptTokens: number | undefined;
  readonly workspaceId: WorkspaceId | undefined;
  /** `served` when a complete upstream response was passed on. */
  readonly outcome: ErrorKind | 'served';
  readonly status: number;
  /** Ids of the upstreams tried, in order. */
  readonly upstreams: readonly string[];
  /** Estimated time to the first response on the last chosen upstream. */
  readonly expectedMs: number | undefined;
  /** Prompt tokens estimated to be missing from that upstream's prefix cache. */
  readonly tokensToRead: number | undefined;
  /** Position of that upstream in the ranking for the prompt prefix. */
  readonly homeRank: number | undefined;
  /** Time from arrival to the first event or the plain response. */
  readonly firstAnswerMs: number | undefined;
  /** Longest gap between the events of a stream. */
  readonly longestPauseMs: number;
  readonly totalMs: number;
  readonly targetLatencyMs: number | undefined;
  readonly configVersion: number;
  readonly configAgeMs: number;
  readonly reason: string | undefined;
  /** The prompt segment for which the request was refused. */
  readonly quarantinedSegment: string | undefined;
}
