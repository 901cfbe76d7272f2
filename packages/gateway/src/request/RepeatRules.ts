/**
 * Decides what follows an attempt that did not serve its request: another
 * upstream, or an answer that tells the caller the truth about its request.
 */
import type {ErrorKind} from '@toucanrouter/common';
import type {RepeatRule} from '../config/GatewayConfig.js';
import type {AttemptEnd} from './Attempt.js';
import {firstServerError} from './Attempt.js';

/** How far a request has come. */
export interface RequestProgress {
  readonly repeat: RepeatRule;
  readonly maxUpstreams: number;
  /** Upstreams that received the request, or may have. */
  readonly upstreamsUsed: number;
  /** Connections that could not be made. */
  readonly unsentCount: number;
  /** Upstreams that were not the expected ones. */
  readonly misdirectedCount: number;
  /** True once an upstream may have run the request. */
  readonly mayHaveRun: boolean;
  /** True once a part of the answer was passed on. */
  readonly answerBegun: boolean;
  /** Id of the last event that was passed on, if events have ids. */
  readonly lastEventId: string | undefined;
  readonly remainingMs: number;
}

/** What to do next. */
export type NextStep =
  LastStep | {readonly step: 'repeat'; readonly costsBudget: boolean};

/** A step that ends the request. */
export type LastStep =
  | {readonly step: 'pass_on'}
  | {readonly step: 'break_off'; readonly error: ErrorKind}
  | {readonly step: 'refuse'; readonly error: ErrorKind};

/** Connections that are tried before the request is refused. */
const maxUnsent = 4;
/** Less time than this serves no request. */
const minRemainingMs = 30;

/** The answer that is true when no further attempt is made. */
function giveUp(progress: RequestProgress, notRun: ErrorKind): LastStep {
  if (progress.answerBegun) {
    return {step: 'break_off', error: 'answer_incomplete'};
  }
  return {
    step: 'refuse',
    error: progress.mayHaveRun ? 'upstream_failed' : notRun,
  };
}

/** What follows `end` when the repeat budget allows no further attempt. */
export function stepWithoutRepeat(
  end: AttemptEnd,
  progress: RequestProgress,
): LastStep {
  return end.kind === 'answered' && !progress.answerBegun
    ? {step: 'pass_on'}
    : giveUp(progress, 'overloaded');
}

function canUseAnother(progress: RequestProgress): boolean {
  return (
    progress.upstreamsUsed < progress.maxUpstreams &&
    progress.remainingMs > minRemainingMs
  );
}

function afterBroken(progress: RequestProgress): NextStep {
  const continues =
    !progress.answerBegun ||
    (progress.repeat === 'resume' && progress.lastEventId !== undefined);
  if (progress.repeat === 'never' || !continues || !canUseAnother(progress)) {
    return giveUp(progress, 'upstream_failed');
  }
  return {step: 'repeat', costsBudget: true};
}

/** Decides what follows `end`. */
export function nextStep(end: AttemptEnd, progress: RequestProgress): NextStep {
  switch (end.kind) {
    case 'streamed':
      return {step: 'pass_on'};
    case 'unsent':
      return progress.unsentCount < maxUnsent &&
        progress.remainingMs > minRemainingMs
        ? {step: 'repeat', costsBudget: false}
        : giveUp(progress, 'no_upstream');
    case 'misdirected':
      return progress.misdirectedCount < maxUnsent &&
        progress.remainingMs > minRemainingMs
        ? {step: 'repeat', costsBudget: true}
        : giveUp(progress, 'no_upstream');
    case 'not_run':
      return canUseAnother(progress)
        ? {step: 'repeat', costsBudget: true}
        : giveUp(progress, 'overloaded');
    case 'broken':
      return afterBroken(progress);
    case 'answered':
      return afterAnswer(end.answer.status, progress);
  }
}

function afterAnswer(status: number, progress: RequestProgress): NextStep {
  const repeatable = progress.repeat === 'whole' && !progress.answerBegun;
  if (status >= firstServerError && repeatable && canUseAnother(progress)) {
    return {step: 'repeat', costsBudget: true};
  }
  if (progress.answerBegun) {
    return {step: 'break_off', error: 'answer_incomplete'};
  }
  return {step: 'pass_on'};
}
