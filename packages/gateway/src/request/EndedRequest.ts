/**
 * What is recorded of a request when it ends: in the log, and in the metrics.
 */
import type {ClassId, ErrorKind, WorkspaceId} from '@toucanrouter/common';

/** A request that ended. */
export interface EndedRequest {
  readonly requestId: string;
  readonly classId: ClassId | undefined;
  readonly tier: number | undefined;
  readonly promptTokens: number | undefined;
  readonly workspaceId: WorkspaceId | undefined;
  /** How it ended; `served` when an upstream's answer was passed on whole. */
  readonly outcome: ErrorKind | 'served';
  readonly status: number;
  readonly upstreams: readonly string[];
  /** Time to the first answer that the last choice expected. */
  readonly expectedMs: number | undefined;
  /** Prompt tokens that the chosen upstream was expected to read. */
  readonly tokensToRead: number | undefined;
  /** Place of the upstream in the ranking of the prompt's shared part. */
  readonly homeRank: number | undefined;
  readonly firstAnswerMs: number | undefined;
  /** Longest pause between the events of a stream. */
  readonly longestPauseMs: number;
  readonly totalMs: number;
  readonly targetLatencyMs: number | undefined;
  readonly configVersion: number;
  readonly configAgeMs: number;
  readonly reason: string | undefined;
}
