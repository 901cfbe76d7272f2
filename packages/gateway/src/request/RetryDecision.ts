/**
 * Decides what follows an attempt: passing its response on, a retry on another
 * upstream, or an error. The error must state correctly whether the request may
 * have run.
 */
import type {ErrorKind} from '@toucanrouter/common';
import type {RetryPolicy} from '../config/GatewayConfig.js';
import type {AttemptResult} from './Attempt.js';
import {minServerErrorStatus} from './Dialect.js';

/** The progress of a request over its attempts. */
export interface RequestProgress {
  readonly retryPolicy: RetryPolicy;
  readonly maxUpstreams: number;
  /** Upstreams that received the request or may have received it. */
  readonly upstreamsUsed: number;
  /** True if one of them was given up without a failure and may be used again. */
  readonly canReturn: boolean;
  /** Attempts whose request was not sent. */
  readonly notSentCount: number;
  /** Attempts to which another upstream responded. */
  readonly misdirectedCount: number;
  /** True once an upstream may have run the request. */
  readonly mayHaveRun: boolean;
  /** True once a part of the response was passed on. */
  readonly responseStarted: boolean;
  /** Id of the last event that was passed on, if it has one. */
  readonly lastEventId: string | undefined;
  readonly remainingMs: number;
}

/** The next step of a request after an attempt. */
export type NextStep =
  FinalStep | {readonly step: 'repeat'; readonly costsBudget: boolean};

/** A step that completes or fails the request. */
export type FinalStep =
  | {readonly step: 'pass_on'}
  | {readonly step: 'break_off'; readonly error: ErrorKind}
  | {readonly step: 'refuse'; readonly error: ErrorKind};

/** Attempts without connection, or misdirected, before a request is refused. */
const maxConnectionAttempts = 4;
/** No retry can complete in less time than this. */
const minRemainingMs = 30;

/** Returns the error to report when no further attempt is made. */
function failureStep(progress: RequestProgress, notRun: ErrorKind): FinalStep {
  if (progress.responseStarted) {
    return {step: 'break_off', error: 'answer_incomplete'};
  }
  return {
    step: 'refuse',
    error: progress.mayHaveRun ? 'upstream_failed' : notRun,
  };
}

/** Decides what follows `result` when the retry budget is exhausted. */
export function stepWithoutRetry(
  result: AttemptResult,
  progress: RequestProgress,
): FinalStep {
  return result.kind === 'answered' && !progress.responseStarted
    ? {step: 'pass_on'}
    : failureStep(progress, 'overloaded');
}

function canTryAgain(progress: RequestProgress): boolean {
  return (
    (progress.upstreamsUsed < progress.maxUpstreams || progress.canReturn) &&
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
    !canTryAgain(progress)
  ) {
    return failureStep(progress, 'upstream_failed');
  }
  return {step: 'repeat', costsBudget: true};
}

/** Decides what follows `result`. */
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
    case 'withdrawn':
      return progress.remainingMs > minRemainingMs
        ? {step: 'repeat', costsBudget: false}
        : failureStep(progress, 'no_upstream');
    case 'misdirected':
      return progress.misdirectedCount < maxConnectionAttempts &&
        progress.remainingMs > minRemainingMs
        ? {step: 'repeat', costsBudget: true}
        : failureStep(progress, 'no_upstream');
    case 'not_run':
      return canTryAgain(progress)
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
  if (status >= minServerErrorStatus && retryable && canTryAgain(progress)) {
    return {step: 'repeat', costsBudget: true};
  }
  if (progress.responseStarted) {
    return {step: 'break_off', error: 'answer_incomplete'};
  }
  return {step: 'pass_on'};
}
