import {unlimitedRate} from '@toucanrouter/common';
import {createSeededRandom} from '@toucanrouter/common';
import {expect} from 'chai';
import type {AttemptResult} from '../../request/Attempt.js';
import type {RequestProgress} from '../../request/RetryDecision.js';
import {nextStep, stepWithoutRetry} from '../../request/RetryDecision.js';
import {
  lowestUpstreamPriority,
  upstreamPriority,
} from '../../request/UpstreamPriority.js';
import {retryDelayMs} from '../../request/RetryAfter.js';

function createProgress(
  changes: Partial<RequestProgress> = {},
): RequestProgress {
  return {
    retryPolicy: 'whole',
    maxUpstreams: 2,
    upstreamsUsed: 1,
    canReturn: false,
    notSentCount: 0,
    misdirectedCount: 0,
    mayHaveRun: false,
    responseStarted: false,
    lastEventId: undefined,
    remainingMs: 1_000,
    ...changes,
  };
}

const broken: AttemptResult = {kind: 'broken', reason: 'reset'};
const notRun: AttemptResult = {kind: 'not_run', status: 503};
const notSent: AttemptResult = {kind: 'unsent', reason: 'refused'};

function answered(status: number): AttemptResult {
  const response = {
    status,
    requestId: 'r',
    notRun: false,
    misdirected: false,
    stamped: true,
    mayBeEventStream: false,
    contentEncoded: false,
    leaving: false,
    retryAfter: {delayMs: undefined, problem: undefined},
    requestRate: unlimitedRate,
    headers: [],
  };
  const body = Buffer.alloc(0);
  return {kind: 'answered', response, body, endedByClose: false};
}

describe('RetryDecision', () => {
  it('never retries a request that may run only once after it was sent', () => {
    const progress = createProgress({retryPolicy: 'never', mayHaveRun: true});
    expect(nextStep(broken, progress)).to.deep.equal({
      step: 'refuse',
      error: 'upstream_failed',
    });
  });

  // Guards against a failed request, or a spent retry, for a pause of an upstream.
  it('places a withdrawn request again without a retry, however often', () => {
    const withdrawn: AttemptResult = {kind: 'withdrawn', reason: 'pause'};
    const progress = createProgress({retryPolicy: 'never', notSentCount: 9});
    expect(nextStep(withdrawn, progress)).to.deep.equal({
      step: 'repeat',
      costsBudget: false,
    });
  });

  it('does not report "not run" when an earlier upstream may have run the request', () => {
    const progress = createProgress({mayHaveRun: true, upstreamsUsed: 2});
    expect(nextStep(notRun, progress)).to.deep.equal({
      step: 'refuse',
      error: 'upstream_failed',
    });
  });

  it('reports "not run" when all upstreams did', () => {
    const progress = createProgress({upstreamsUsed: 2});
    expect(nextStep(notRun, progress)).to.deep.equal({
      step: 'refuse',
      error: 'overloaded',
    });
  });

  it('tries another upstream when the request was not sent', () => {
    const progress = createProgress({retryPolicy: 'never', upstreamsUsed: 0});
    expect(nextStep(notSent, progress)).to.deep.equal({
      step: 'repeat',
      costsBudget: false,
    });
  });

  it('resumes a broken stream only after an event with an id', () => {
    const progress = createProgress({
      retryPolicy: 'resume',
      responseStarted: true,
    });
    expect(nextStep(broken, progress).step).to.equal('break_off');
    expect(nextStep(broken, {...progress, lastEventId: '4'}).step).to.equal(
      'repeat',
    );
  });

  it('retries an idempotent request after a server error, up to its upstream limit', () => {
    expect(nextStep(answered(500), createProgress()).step).to.equal('repeat');
    expect(
      nextStep(answered(500), createProgress({upstreamsUsed: 2})).step,
    ).to.equal('pass_on');
    expect(
      nextStep(answered(500), createProgress({retryPolicy: 'never'})).step,
    ).to.equal('pass_on');
  });

  it('reports the correct run status when the budget allows no retry', () => {
    // A caller that is told "not run" may send the request again, so it must not
    // be told so if the request may have run. A response that arrived must be
    // passed on.
    const mayHaveRun = createProgress({mayHaveRun: true});
    const responseStarted = createProgress({
      mayHaveRun: true,
      responseStarted: true,
    });
    expect(stepWithoutRetry(broken, mayHaveRun)).to.deep.equal({
      step: 'refuse',
      error: 'upstream_failed',
    });
    expect(stepWithoutRetry(notRun, createProgress())).to.deep.equal({
      step: 'refuse',
      error: 'overloaded',
    });
    expect(stepWithoutRetry(answered(500), mayHaveRun).step).to.equal(
      'pass_on',
    );
    expect(stepWithoutRetry(broken, responseStarted).step).to.equal(
      'break_off',
    );
  });

  it('aborts a stream when the resumed attempt gets an error response', () => {
    const progress = createProgress({
      retryPolicy: 'resume',
      responseStarted: true,
      lastEventId: '4',
    });
    expect(nextStep(answered(500), progress).step).to.equal('break_off');
  });
});

describe('RetryAfter', () => {
  it('spreads the delays within the share of the deadline that callers respect', () => {
    const random = createSeededRandom(3);
    const options = {
      tier: 1,
      targetLatencyMs: 600,
      backlogMs: 0,
      remainingMs: 1_000,
      random,
    };
    const delays = Array.from({length: 100}, () => retryDelayMs(options));
    expect(Math.max(...delays)).to.be.at.most(300);
    expect(new Set(delays).size).to.be.above(50);
  });

  it('delays retries until the backlog may be processed', () => {
    // Load: a burst of 9 s. Callers that retried after 1 s were refused again.
    const random = createSeededRandom(3);
    const options = {
      tier: 2,
      targetLatencyMs: 600,
      backlogMs: 4_000,
      remainingMs: 12_000,
      random,
    };
    const delays = Array.from({length: 100}, () => retryDelayMs(options));
    expect(Math.min(...delays)).to.be.at.least(2_000);
    expect(Math.max(...delays)).to.be.at.most(3_600);
  });

  it('gives urgent classes shorter delays', () => {
    const random = {next: () => 0.5};
    const delayOf = (tier: number) =>
      retryDelayMs({
        tier,
        targetLatencyMs: 600,
        backlogMs: 0,
        remainingMs: 9_000,
        random,
      });
    expect(delayOf(0)).to.be.below(delayOf(1));
    expect(delayOf(1)).to.be.below(delayOf(2));
  });
});

describe('UpstreamPriority', () => {
  it('orders by the tier of the workspace first and by class second', () => {
    const ranks = [
      upstreamPriority(0, 0),
      upstreamPriority(0, 2),
      upstreamPriority(1, 0),
      upstreamPriority(1, 1),
      upstreamPriority(1, 2),
      upstreamPriority(2, 2),
    ];
    expect(ranks).to.deep.equal([...ranks].sort((a, b) => a - b));
    expect(new Set(ranks).size).to.equal(ranks.length);
  });

  it('never exceeds the range that upstreams accept', () => {
    expect(upstreamPriority(7, 7)).to.equal(lowestUpstreamPriority);
  });
});
