import {errorResponseFor} from '@toucanrouter/common';
import {expect} from 'chai';
import {toCallerError} from '../../request/chat/ChatRecovery.js';
import type {FinishedAttempt} from '../../request/chat/ChatState.js';

const rejected: FinishedAttempt = {
  granted: undefined as never,
  start: 'continue',
  end: {
    kind: 'rejected',
    status: 400,
    body: Buffer.from('the prefix is not supported'),
    contentType: 'text/plain',
  },
  preempted: false,
};

describe('ChatRecovery', () => {
  // Guards against "not run" and an engine's error text in a response that has started.
  it('reports a rejection only if no earlier attempt may have run', () => {
    const decision = {kind: 'fail', error: 'answer_incomplete'} as const;
    const later = toCallerError({mayHaveRun: true}, decision, rejected);
    expect(later.kind).to.equal('answer_incomplete');
    expect(errorResponseFor(later.kind).runStatus).to.equal('unknown');
    expect(later.message).not.to.contain('the prefix is not supported');
    const only = toCallerError({mayHaveRun: false}, decision, rejected);
    expect(only.kind).to.equal('bad_request');
  });

  // Guards against "not run" when a competing attempt may have run.
  it('never reports "not run" if an earlier attempt may have run', () => {
    for (const error of ['no_upstream', 'deadline_exceeded'] as const) {
      const failed = {kind: 'fail', error} as const;
      const end = {...rejected.end, status: 503} as FinishedAttempt['end'];
      const finished = {...rejected, end};
      expect(toCallerError({mayHaveRun: true}, failed, finished).kind).to.equal(
        'upstream_failed',
      );
      expect(
        toCallerError({mayHaveRun: false}, failed, finished).kind,
      ).to.equal(error);
    }
  });
});
