/**
 * Decides what follows an attempt that did not serve its request: another
 * upstream, or an answer that tells the caller the truth about its request.
 */
import type {ErrorKind} from '@toucanrouter/common';
import type {RetryPolicy} from '../config/GatewayConfig.js';
import type {AttemptResult} from './Attempt.js';
import {minServerErrorStatus} from './Attempt.js';

/** How far a request has come. */
export interface RequestProgress {
  readonly retryPolicy: RetryPolicy;
  readonly maxUpstreams: number;
  /** Upstreams that received the request, or may have. */
  readonly upstreamsUsed: number;
  /** Connections that could not be made. */
  readonly notSentCount: number;
  /** Upstreams that were not the expected ones. */
  readonly misdirectedCount: number;
  /** True once an upstream may have run the request. */
  readonly mayHaveRun: boolean;
  /** True once a part of the answer was passed on. */
  readonly responseStarted: boolean;
  /** Id of the last event that was passed on, if events have ids. */
  readonly lastEventId: string | undefined;
  readonly remainingMs: number;
}

/** What to do next. */
export type NextStep =
  FinalStep | {readonly step: 'repeat'; readonly costsBudget: boolean};

/** A step that ends the request. */
export type FinalStep =
  | {readonly step: 'pass_on'}
  | {readonly step: 'break_off'; readonly error: ErrorKind}
  | {readonly step: 'refuse'; readonly error: ErrorKind};

/** Connections that are tried before the request is refused. */
const maxConnectionAttempts = 4;
/** Less time than this serves no request. */
const minRemainingMs = 30;

/** The answer that is true when no further attempt is made. */
function failureStep(progress: RequestProgress, notRun: ErrorKind): FinalStep {
  if (progress.responseStarted) {
    return {step: 'break_off', error: 'answer_incomplete'};
  }
  return {
    step: 'refuse',
    error: progress.mayHaveRun ? 'upstream_failed' : notRun,
  };
}

/** What follows `end` when the repeat budget allows no further attempt. */
export function stepWithoutRetry(
  result: AttemptResult,
  progress: RequestProgress,
): FinalStep {
  return result.kind === 'answered' && !progress.responseStarted
    ? {step: 'pass_on'}
    : failureStep(progress, 'overloaded');
}

function canTryAnotherUpstream(progress: RequestProgress): boolean {
  return (
    progress.upstreamsUsed < progress.maxUpstreams &&
    progress.remainingMs > minRemainingMs
  );
}

function stepAfterBroken(progress: RequestProgress): NextStep {
  const canContinue =
    !progress.responseStarted ||
    (progress.retryPolicy === 'resume' && progress.lastEventId !== undefined);
  if (
    progress.retryPolicy === 'never' ||
    !canContinue ||
    !canTryAnotherUpstream(progress)
  ) {
    return failureStep(progress, 'upstream_failed');
  }
  return {step: 'repeat', costsBudget: true};
}

/** Decides what follows `end`. */
export function nextStep(
  result: AttemptResult,
  progress: RequestProgress,
): NextStep {
  switch (result.kind) {
    case 'streamed':
      return {step: 'pass_on'};
    case 'unsent':
      return progress.notSentCount < maxConnectionAttempts &&
        progress.remainingMs > minRemainingMs
        ? {step: 'repeat', costsBudget: false}
        : failureStep(progress, 'no_upstream');
    case 'misdirected':
      return progress.misdirectedCount < maxConnectionAttempts &&
        progress.remainingMs > minRemainingMs
        ? {step: 'repeat', costsBudget: true}
        : failureStep(progress, 'no_upstream');
    case 'not_run':
      return canTryAnotherUpstream(progress)
        ? {step: 'repeat', costsBudget: true}
        : failureStep(progress, 'overloaded');
    case 'broken':
      return stepAfterBroken(progress);
    case 'answered':
      return stepAfterResponse(result.response.status, progress);
  }
}

function stepAfterResponse(
  status: number,
  progress: RequestProgress,
): NextStep {
  const retryable =
    progress.retryPolicy === 'whole' && !progress.responseStarted;
  if (
    status >= minServerErrorStatus &&
    retryable &&
    canTryAnotherUpstream(progress)
  ) {
    return {step: 'repeat', costsBudget: true};
  }
  if (progress.responseStarted) {
    return {step: 'break_off', error: 'answer_incomplete'};
  }
  return {step: 'pass_on'};
}
