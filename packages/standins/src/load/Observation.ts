/**
 * What a caller saw of one request.
 */
import type {RunStatus} from '@toucanrouter/common';
import type {PlannedRequest} from './LoadPlan.js';

/**
 * How a request ended for its caller. `failed` is an error answer, `broken` a
 * connection that ended or gave nothing within the caller's patience.
 */
export type CallerOutcome =
  'abandoned' | 'broken' | 'completed' | 'failed' | 'refused';

/** One request as its caller saw it. */
export interface Observation {
  readonly planned: PlannedRequest;
  readonly entry: string;
  readonly outcome: CallerOutcome;
  readonly status?: number;
  readonly errorType?: string;
  readonly errorMessage?: string;
  readonly runStatus?: RunStatus;
  /** Text of the answer that came, whole or in part. */
  readonly text: string;
  readonly firstTokenMs?: number;
  readonly totalMs: number;
  /** What is wrong with the answer itself. */
  readonly faults: readonly string[];
}
