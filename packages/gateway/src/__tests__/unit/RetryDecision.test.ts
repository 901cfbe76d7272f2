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
    contentEncoded: false,
    headers: [],
  };
  return {kind: 'answered', response, body: Buffer.alloc(0)};
}

describe('RepeatRules', () => {
  it('never repeats a request that may run once after it was sent', () => {
    const progress = createProgress({retryPolicy: 'never', mayHaveRun: true});
    expect(nextStep(broken, progress)).to.deep.equal({
      step: 'refuse',
      error: 'upstream_failed',
    });
  });

  it('does not say "not run" when an earlier upstream may have run it', () => {
    const progress = createProgress({mayHaveRun: true, upstreamsUsed: 2});
    expect(nextStep(notRun, progress)).to.deep.equal({
      step: 'refuse',
      error: 'upstream_failed',
    });
  });

  it('says "not run" when every upstream said so', () => {
    const progress = createProgress({upstreamsUsed: 2});
    expect(nextStep(notRun, progress)).to.deep.equal({
      step: 'refuse',
      error: 'overloaded',
    });
  });

  it('tries another upstream when the request did not leave', () => {
    const progress = createProgress({retryPolicy: 'never', upstreamsUsed: 0});
    expect(nextStep(notSent, progress)).to.deep.equal({
      step: 'repeat',
      costsBudget: false,
    });
  });

  it('continues a broken stream only after an event with an id', () => {
    const progress = createProgress({
      retryPolicy: 'resume',
      responseStarted: true,
    });
    expect(nextStep(broken, progress).step).to.equal('break_off');
    expect(nextStep(broken, {...progress, lastEventId: '4'}).step).to.equal(
      'repeat',
    );
  });

  it('repeats an idempotent request after an error, within its upstreams', () => {
    expect(nextStep(answered(500), createProgress()).step).to.equal('repeat');
    expect(
      nextStep(answered(500), createProgress({upstreamsUsed: 2})).step,
    ).to.equal('pass_on');
    expect(
      nextStep(answered(500), createProgress({retryPolicy: 'never'})).step,
    ).to.equal('pass_on');
  });

  it('tells the truth when the budget allows no repeat', () => {
    // "Not run" for a request that may have run would be a false promise, and
    // an answer that is there must not be withheld.
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

  it('breaks off a stream that an error answer cannot continue', () => {
    const progress = createProgress({
      retryPolicy: 'resume',
      responseStarted: true,
      lastEventId: '4',
    });
    expect(nextStep(answered(500), progress).step).to.equal('break_off');
  });
});

describe('RetryAfter', () => {
  it('spreads the returns, within what callers follow', () => {
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

  it('lets callers come back when what waits may be done', () => {
    // Load: a burst of nine seconds; callers that came back after one second
    // were refused a second time.
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

  it('lets urgent classes come back sooner', () => {
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

describe('UpstreamRank', () => {
  it('puts the tier of the workspace first and the class second', () => {
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

  it('stays within what upstreams accept', () => {
    expect(upstreamPriority(7, 7)).to.equal(lowestUpstreamPriority);
  });
});
