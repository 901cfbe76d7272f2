/**
 * The outcome of one request from the point of view of its caller.
 */
import type {RunStatus} from '@toucanrouter/common';
import type {PlannedRequest} from './LoadPlan.js';

/**
 * Outcome of a request for its caller. `refused` is an error response with the
 * run status not_run, `failed` any other error response, and `broken` a
 * connection that broke or did not complete within the caller's time limit.
 */
export type CallerOutcome =
  'abandoned' | 'broken' | 'completed' | 'failed' | 'refused';

/** One request as observed by its caller. */
export interface Observation {
  readonly planned: PlannedRequest;
  readonly entry: string;
  readonly outcome: CallerOutcome;
  readonly status?: number;
  readonly errorType?: string;
  readonly errorMessage?: string;
  readonly runStatus?: RunStatus;
  /** Text of the response as far as it was received. */
  readonly text: string;
  readonly firstTokenMs?: number;
  readonly totalMs: number;
  /** Faults in the content or format of the response. */
  readonly faults: readonly string[];
}
