/**
 * Runs a call at most once: claims its idempotency key before the call is sent,
 * and records its outcome afterwards.
 */
import {createHash} from 'node:crypto';
import type {
  ClaimEnd,
  ClaimReference,
  ClaimReply,
  ClaimStore,
  Clock,
  InstanceId,
  RouterError as RouterErrorType,
} from '@toucanrouter/common';
import {
  errorResponseFor,
  delay,
  RouterError,
  toClaimId,
} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Exchange} from '../request/Exchange.js';
import {abortError, workspaceOf} from '../request/Exchange.js';
import type {PlainResponse} from '../request/plain/PlainCall.js';

/** Delay before a claim or its end is retried. */
const retryDelayMs = 100;

/** The end of a claim is retried for this long, also after the response. */
const recordEndTimeoutMs = 60_000;

/** A "not run" error waits at most this long for the release of its claim. */
const maxReleaseWaitMs = 500;

const maxKeyChars = 256;

/** Runs the claimed calls of one instance. */
export interface ClaimedCalls {
  /** Runs `send` at most once for the idempotency key of the call. */
  run(
    exchange: Exchange,
    send: (
      fencingToken: number,
    ) => Promise<Result<PlainResponse, RouterErrorType>>,
  ): Promise<Result<PlainResponse, RouterErrorType>>;
  /** Resolves when the ends of all calls are recorded or have timed out. */
  idle(): Promise<void>;
}

/** Creates the claimed calls of an instance on top of a claim store. */
export function createClaimedCalls(
  clock: Clock,
  selfId: InstanceId,
  store: ClaimStore,
): ClaimedCalls {
  const pendingRecords = new Set<Promise<void>>();

  async function claim(
    exchange: Exchange,
    reference: ClaimReference,
  ): Promise<Result<ClaimReply, RouterErrorType>> {
    const request = {
      ...reference,
      requestHash: requestHashOf(exchange),
      owner: selfId,
    };
    let failedBefore = false;
    for (;;) {
      const reply = await withinDeadline(exchange, store.claim(request));
      if (reply.isOk()) {
        // The failed attempt may still be written once the other claim is
        // released, so it is ended as well.
        if (failedBefore && reply.value.kind !== 'claimed') {
          void recordEnd(reference, {kind: 'not_sent'});
        }
        return reply;
      }
      failedBefore = true;
      const remainingMs = exchange.deadlineAtMs - clock.nowMs();
      if (remainingMs <= 0 || exchange.signal.aborted) return reply;
      await delay(clock, Math.min(retryDelayMs, remainingMs));
    }
  }

  function withinDeadline(
    exchange: Exchange,
    reply: PromiseLike<Result<ClaimReply, RouterErrorType>>,
  ): Promise<Result<ClaimReply, RouterErrorType>> {
    return new Promise(resolve => {
      const remainingMs = exchange.deadlineAtMs - clock.nowMs();
      const message =
        'the claim could not be written within the caller timeout';
      const undo = clock.after(Math.max(0, remainingMs), () =>
        resolve(err(new RouterError('platform_unavailable', message))),
      );
      void reply.then(result => {
        undo();
        resolve(result);
      });
    });
  }

  function recordEnd(reference: ClaimReference, end: ClaimEnd): Promise<void> {
    const recorded = recordEndWithRetries(reference, end);
    pendingRecords.add(recorded);
    void recorded.then(() => pendingRecords.delete(recorded));
    return recorded;
  }

  async function recordEndWithRetries(
    reference: ClaimReference,
    end: ClaimEnd,
  ): Promise<void> {
    const deadlineAtMs = clock.nowMs() + recordEndTimeoutMs;
    for (;;) {
      const result = await store.end(reference, end);
      if (result.isOk() || clock.nowMs() >= deadlineAtMs) return;
      await delay(clock, retryDelayMs);
    }
  }

  async function runClaimed(
    exchange: Exchange,
    reference: ClaimReference,
    send: () => Promise<Result<PlainResponse, RouterErrorType>>,
  ): Promise<Result<PlainResponse, RouterErrorType>> {
    const isPastDeadline = clock.nowMs() >= exchange.deadlineAtMs;
    if (isPastDeadline || exchange.signal.aborted) {
      await release(reference);
      return err(
        exchange.signal.aborted
          ? abortError(exchange, false)
          : deadlineExceededError(),
      );
    }
    const response = await send();
    if (response.isOk()) {
      void recordEnd(reference, toCompletedEnd(response.value));
    } else if (wasNotRun(response.error) || exchange.stats.attempts === 0) {
      await release(reference);
    } else {
      void recordEnd(reference, {kind: 'outcome_unknown'});
    }
    return response;
  }

  /** Waits for the release, as a caller may reuse its key after "not run". */
  async function release(reference: ClaimReference): Promise<void> {
    const released = recordEnd(reference, {kind: 'not_sent'});
    await Promise.race([released, delay(clock, maxReleaseWaitMs)]);
  }

  async function run(
    exchange: Exchange,
    send: (
      fencingToken: number,
    ) => Promise<Result<PlainResponse, RouterErrorType>>,
  ): Promise<Result<PlainResponse, RouterErrorType>> {
    const key = idempotencyKeyOf(exchange);
    if (key.isErr()) return err(key.error);
    const reference: ClaimReference = {
      claimId: toClaimId(exchange.requestId),
      workspaceId: workspaceOf(exchange),
      idempotencyKey: key.value,
    };
    const reply = await claim(exchange, reference);
    if (reply.isErr()) {
      // The claim may still take effect, so it is ended to unblock the key.
      void recordEnd(reference, {kind: 'not_sent'});
      return err(claimFailedError(reply.error));
    }
    switch (reply.value.kind) {
      case 'claimed': {
        const {fencingToken} = reply.value;
        return runClaimed(exchange, reference, () => send(fencingToken));
      }
      case 'completed':
        return ok(toReplayedResponse(reply.value));
      default:
        return err(refusedClaimError(reply.value.kind));
    }
  }

  return {
    run,
    idle: async () => {
      await Promise.all([...pendingRecords]);
    },
  };
}

function idempotencyKeyOf(exchange: Exchange): Result<string, RouterErrorType> {
  const key = exchange.headers['idempotency-key'];
  if (typeof key !== 'string' || key === '') {
    const message =
      'this call must not run twice: send an idempotency-key header, and the same key when you repeat the call';
    return err(new RouterError('idempotency_key_missing', message));
  }
  if (key.length > maxKeyChars) {
    const message = `the idempotency key is longer than ${maxKeyChars} characters`;
    return err(new RouterError('bad_request', message));
  }
  return ok(key);
}

function requestHashOf(exchange: Exchange): string {
  const {method, path, serves} = exchange.target;
  return createHash('sha256')
    .update(`${method}\n${serves}\n${path}\n`)
    .update(exchange.body)
    .digest('base64url');
}

function toCompletedEnd(response: PlainResponse): ClaimEnd {
  const contentType = response.headers['content-type'];
  return {
    kind: 'completed',
    outcome: {
      status: response.status,
      contentType: typeof contentType === 'string' ? contentType : '',
      bodyBase64: response.body.toString('base64'),
    },
  };
}

function toReplayedResponse(
  reply: Extract<ClaimReply, {kind: 'completed'}>,
): PlainResponse {
  const {bodyBase64, contentType, status} = reply.outcome;
  return {
    status,
    headers: {'content-type': contentType, 'x-idempotent-replay': 'true'},
    body: Buffer.from(bodyBase64, 'base64'),
  };
}

function refusedClaimError(
  kind: 'in_progress' | 'key_reused' | 'outcome_unknown',
): RouterErrorType {
  switch (kind) {
    case 'in_progress':
      return new RouterError(
        'idempotency_key_in_progress',
        'a call with this idempotency key is in progress or its outcome is not known yet',
      );
    case 'key_reused':
      return new RouterError(
        'idempotency_key_reused',
        'this idempotency key was used for a different request',
      );
    case 'outcome_unknown':
      return new RouterError(
        'outcome_unknown',
        'a call with this idempotency key was sent and its outcome is not known; it will not be sent again',
      );
  }
}

function claimFailedError(cause: RouterErrorType): RouterErrorType {
  const message = `the call was not sent because its claim could not be written: ${cause.message}`;
  return new RouterError('platform_unavailable', message, {cause});
}

function deadlineExceededError(): RouterErrorType {
  const message = 'the call could not be sent within the caller timeout';
  return new RouterError('deadline_exceeded', message);
}

function wasNotRun(error: RouterErrorType): boolean {
  return errorResponseFor(error.kind).runStatus === 'not_run';
}
