import type {
  ClaimEnd,
  ClaimReply,
  ClaimStore,
  ManualClock,
} from '@toucanrouter/common';
import {
  createManualClock,
  PlatformError,
  RouterError,
  toInstanceId,
  toRequestId,
  toWorkspaceId,
} from '@toucanrouter/common';
import {expect} from 'chai';
import type {Result} from 'neverthrow';
import {err, ok, okAsync, ResultAsync} from 'neverthrow';
import {createClaimedCalls} from '../../claims/ClaimedCall.js';
import type {Exchange} from '../../request/Exchange.js';
import type {PlainResponse} from '../../request/plain/PlainCall.js';
import {parseServicePath} from '../../request/plain/PlainCall.js';

const timeoutMs = 1_000;

const response: PlainResponse = {
  status: 201,
  headers: {'content-type': 'text/plain'},
  body: Buffer.from('ordered'),
};

function createExchange(
  clock: ManualClock,
  headers: Record<string, string> = {'idempotency-key': 'k'},
): Exchange {
  return {
    requestId: toRequestId('r1'),
    callerRequestId: undefined,
    headers,
    body: Buffer.from('{}'),
    target: {kind: 'service', serves: 's', method: 'POST', path: '/orders'},
    response: undefined as never,
    arrivedAtMs: clock.nowMs(),
    deadlineAtMs: clock.nowMs() + timeoutMs,
    signal: new AbortController().signal,
    stats: {
      firstTokenMs: undefined,
      tokenGapMs: undefined,
      tokens: 0,
      wastedTokens: 0,
      waitedMs: 0,
      attempts: 0,
    },
    workspaceId: toWorkspaceId('w'),
    serviceClass: undefined,
  };
}

type ClaimResult = Result<ClaimReply, RouterError>;

/** A claim store that replies as the test says and records the ends. */
function createFakeClaimStore(claim: () => ClaimResult | Promise<ClaimResult>) {
  const ends: ClaimEnd['kind'][] = [];
  const store: ClaimStore = {
    claim: () => new ResultAsync(Promise.resolve(claim())),
    end: (_reference, end) => {
      ends.push(end.kind);
      return okAsync(undefined);
    },
  };
  return {ends, store};
}

const claimed: ClaimReply = {kind: 'claimed', fencingToken: 7};

interface CallRun {
  readonly kind: string;
  readonly sends: number;
  readonly ends: readonly string[];
}

/** Runs a call, advancing the clock until it completes. */
async function runCall(
  claim: (clock: ManualClock) => ClaimResult | Promise<ClaimResult>,
  send: () => Promise<Result<PlainResponse, RouterError>> = () =>
    Promise.resolve(ok(response)),
  headers?: Record<string, string>,
  attempts = 1,
): Promise<CallRun> {
  const clock = createManualClock();
  const {ends, store} = createFakeClaimStore(() => claim(clock));
  const calls = createClaimedCalls(clock, toInstanceId('router-1'), store);
  const exchange = createExchange(clock, headers);
  let sends = 0;
  let kind: string | undefined;
  void calls
    .run(exchange, () => {
      sends += 1;
      exchange.stats.attempts = attempts;
      return send();
    })
    .then(result => {
      kind = result.isOk() ? 'answered' : result.error.kind;
    });
  for (let i = 0; i < 200 && kind === undefined; i++) {
    await new Promise(resolve => setImmediate(resolve));
    clock.advance(20);
  }
  clock.advance(10 * timeoutMs);
  await calls.idle();
  return {kind: kind ?? 'pending', sends, ends};
}

describe('createClaimedCalls', () => {
  it('sends a claimed call once and records its outcome', async () => {
    const run = await runCall(() => ok(claimed));
    expect(run).to.deep.equal({
      kind: 'answered',
      sends: 1,
      ends: ['completed'],
    });
  });

  it('rejects a call without a key, since its retry could not be recognized', async () => {
    const run = await runCall(() => ok(claimed), undefined, {});
    expect(run).to.deep.equal({
      kind: 'idempotency_key_missing',
      sends: 0,
      ends: [],
    });
  });

  it('does not send a call that was reported as "not run", even if its claim succeeds later', async () => {
    const lateClaim = (clock: ManualClock) =>
      new Promise<ClaimResult>(resolve => {
        clock.after(2 * timeoutMs, () => resolve(ok(claimed)));
      });
    expect(await runCall(lateClaim)).to.deep.equal({
      kind: 'platform_unavailable',
      sends: 0,
      ends: ['not_sent'],
    });
  });

  it('does not send a call if its instance was paused until after the caller timeout', async () => {
    const claimThenPause = (clock: ManualClock) => {
      const reply = Promise.resolve<ClaimResult>(ok(claimed));
      return reply.then(result => {
        // After a pause all timers fire late, also the deadline of this call.
        clock.nowMs = () => 10 * timeoutMs;
        return result;
      });
    };
    const run = await runCall(claimThenPause);
    expect(run).to.deep.equal({
      kind: 'deadline_exceeded',
      sends: 0,
      ends: ['not_sent'],
    });
  });

  it('retries a claim that failed, within the caller timeout', async () => {
    let tries = 0;
    const run = await runCall(() =>
      ++tries < 3 ? err(new PlatformError('down', true)) : ok(claimed),
    );
    expect(run.kind).to.equal('answered');
    expect(run.sends).to.equal(1);
  });

  it('releases a failed claim attempt if a later one is refused, since the first may still be written and block the key', async () => {
    let tries = 0;
    const run = await runCall(() =>
      ++tries < 2
        ? err(new PlatformError('no reply', true))
        : ok({kind: 'in_progress'}),
    );
    expect(run.kind).to.equal('idempotency_key_in_progress');
    expect(run.ends).to.deep.equal(['not_sent']);
  });

  it('releases the key of a call that was not sent', async () => {
    const run = await runCall(
      () => ok(claimed),
      () => Promise.resolve(err(new RouterError('overloaded', 'full'))),
    );
    expect(run).to.deep.equal({
      kind: 'overloaded',
      sends: 1,
      ends: ['not_sent'],
    });
  });

  // Guards against a refusal without Retry-After, and a key that stays taken.
  it('refuses a call that the instance gave up before it was sent, and releases its key', async () => {
    const clock = createManualClock();
    const {ends, store} = createFakeClaimStore(() => ok(claimed));
    const calls = createClaimedCalls(clock, toInstanceId('router-1'), store);
    const reason = new RouterError('overloaded', 'm', {retryAfterMs: 1_000});
    const exchange = {
      ...createExchange(clock),
      signal: AbortSignal.abort(reason),
    };
    let sends = 0;
    const result = await calls.run(exchange, () => {
      sends += 1;
      return Promise.resolve(ok(response));
    });
    expect(result._unsafeUnwrapErr()).to.equal(reason);
    expect(ends).to.deep.equal(['not_sent']);
    expect(sends).to.equal(0);
  });

  it('releases the key of a call whose caller disconnected before it was sent', async () => {
    const callerLeft = new RouterError('canceled', 'left');
    const run = await runCall(
      () => ok(claimed),
      () => Promise.resolve(err(callerLeft)),
      undefined,
      0,
    );
    expect(run.ends).to.deep.equal(['not_sent']);
  });

  it('keeps the key of a call whose response was lost, so that it cannot run twice', async () => {
    const run = await runCall(
      () => ok(claimed),
      () => Promise.resolve(err(new RouterError('outcome_unknown', 'lost'))),
    );
    expect(run.ends).to.deep.equal(['outcome_unknown']);
  });

  for (const reply of [
    'in_progress',
    'key_reused',
    'outcome_unknown',
  ] as const) {
    it(`does not send a call whose claim is refused as ${reply}`, async () => {
      const run = await runCall(() => ok({kind: reply}));
      expect(run.sends).to.equal(0);
      expect(run.kind).to.not.equal('answered');
    });
  }

  it('returns the stored outcome of a completed call without sending it again', async () => {
    const outcome = {status: 201, contentType: 'text/plain', bodyBase64: ''};
    const run = await runCall(() => ok({kind: 'completed', outcome}));
    expect(run).to.deep.equal({kind: 'answered', sends: 0, ends: []});
  });
});

describe('parseServicePath', () => {
  it('rejects paths that an upstream could resolve to another one, so that a call cannot evade its class', () => {
    const dotSegments = [
      '/services/s/lookup/../orders',
      '/services/s/%2e%2e/x',
    ];
    const badEncodings = ['/services/%zz/x', '/services/s/a%2f..%2fb'];
    for (const url of [...dotSegments, ...badEncodings]) {
      expect(parseServicePath(url), url).to.equal(undefined);
    }
    expect(parseServicePath('/services/s/v1.2/a..b?q=..')).to.deep.equal({
      serves: 's',
      path: '/v1.2/a..b?q=..',
    });
  });
});
