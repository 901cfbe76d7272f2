import {expect} from 'chai';
import fc from 'fast-check';
import {errorResponseFor} from '@toucanrouter/common';
import type {RecoveryState} from '../../index.js';
import {decideRecovery} from '../../index.js';

function brokenStream(changes: Partial<RecoveryState> = {}): RecoveryState {
  return {
    endReason: 'broken',
    idempotent: true,
    attempts: 1,
    nowMs: 0,
    deadlineAtMs: 1000,
    receivedTokens: 10,
    relayed: true,
    resumable: true,
    sameUpstreamUsable: true,
    resumeFailed: false,
    continuable: true,
    otherUpstreamUsable: true,
    ...changes,
  };
}

const anyState = fc.record<RecoveryState>({
  endReason: fc.constantFrom(
    'not_sent',
    'refused',
    'broken',
    'invalid',
    'preempted',
  ),
  idempotent: fc.boolean(),
  attempts: fc.integer({min: 1, max: 4}),
  nowMs: fc.nat(2000),
  deadlineAtMs: fc.constant(1000),
  receivedTokens: fc.nat(2),
  relayed: fc.boolean(),
  resumable: fc.boolean(),
  sameUpstreamUsable: fc.boolean(),
  resumeFailed: fc.boolean(),
  continuable: fc.boolean(),
  otherUpstreamUsable: fc.boolean(),
});

function decide(changes: Partial<RecoveryState>) {
  return decideRecovery(brokenStream(changes), () => true);
}

describe('decideRecovery', () => {
  it('prefers what wastes least: resume, continue, restart', () => {
    expect(decide({})).to.deep.equal({kind: 'resume'});
    expect(decide({resumeFailed: true})).to.deep.equal({kind: 'continue'});
    expect(
      decide({resumable: false, continuable: false, relayed: false}),
    ).to.deep.equal({kind: 'restart'});
  });

  it('fails rather than restart after bytes were relayed', () => {
    const decision = decide({resumable: false, continuable: false});
    expect(decision).to.deep.equal({kind: 'fail', error: 'answer_incomplete'});
  });

  it('tells the caller of a non-idempotent call whether it ran', () => {
    const sent = decide({idempotent: false, receivedTokens: 0});
    expect(sent).to.deep.equal({kind: 'fail', error: 'outcome_unknown'});
    const unsent = decide({
      idempotent: false,
      endReason: 'not_sent',
      receivedTokens: 0,
    });
    expect(unsent).to.deep.equal({kind: 'fail', error: 'no_upstream'});
  });

  it('never attempts a non-idempotent call, a late one or one without budget', () => {
    fc.assert(
      fc.property(anyState, fc.boolean(), (state, affordable) => {
        const {kind} = decideRecovery(state, () => affordable);
        const late = state.nowMs >= state.deadlineAtMs;
        const unaffordable = !affordable && state.endReason !== 'preempted';
        if (!state.idempotent || late || unaffordable) {
          expect(kind).to.equal('fail');
        }
      }),
      {seed: 7, numRuns: 2000},
    );
  });

  it('never restarts after relayed bytes nor builds on an invalid answer', () => {
    fc.assert(
      fc.property(anyState, state => {
        const {kind} = decideRecovery(state, () => true);
        if (state.relayed) expect(kind).not.to.equal('restart');
        if (state.endReason === 'invalid' || state.receivedTokens === 0) {
          expect(kind).not.to.be.oneOf(['resume', 'continue']);
        }
      }),
      {seed: 7, numRuns: 2000},
    );
  });

  it('spends budget only on attempts that follow', () => {
    fc.assert(
      fc.property(anyState, state => {
        let spent = 0;
        const {kind} = decideRecovery(state, () => {
          spent += 1;
          return true;
        });
        const isRetry = kind !== 'fail' && state.endReason !== 'preempted';
        expect(spent).to.equal(isRetry ? 1 : 0);
      }),
      {seed: 7, numRuns: 2000},
    );
  });

  it('says "not run" only when no attempt reached an upstream', () => {
    fc.assert(
      fc.property(anyState, state => {
        const decision = decideRecovery(state, () => false);
        if (decision.kind !== 'fail') return;
        if (errorResponseFor(decision.error).runStatus !== 'not_run') return;
        expect(state.endReason).to.be.oneOf(['not_sent', 'refused']);
        expect(state.attempts).to.equal(1);
        expect(state.receivedTokens).to.equal(0);
      }),
      {seed: 7, numRuns: 2000},
    );
  });
});
