/**
 * Oracle of the claim fuzz test. It tracks the runs of each key and the replies
 * to callers and owners, and checks invariants on them. `check` throws the
 * first violation.
 */
import type {
  ClaimEnd,
  ClaimReply,
  Clock,
  RouterError,
} from '@toucanrouter/common';
import type {StoredRecords} from './StoredRecords.js';
import {createStoredRecords} from './StoredRecords.js';

interface CallIdentity {
  readonly claimId: string;
  readonly key: string;
  readonly requestHash: string;
}

/** Observes a simulation and checks its invariants. */
export interface ClaimOracle {
  readonly stored: StoredRecords;
  observeRun(call: CallIdentity): void;
  observeNotRun(call: CallIdentity): void;
  observeReply(call: CallIdentity, reply: ClaimReply): void;
  observeEnd(call: CallIdentity, end: ClaimEnd): void;
  observeEndError(call: CallIdentity, error: RouterError): void;
  runCount(key: string): number;
  /** Throws the first violation, if there was one. */
  check(): void;
  readonly observationCounts: Record<string, number>;
}

/** Creates an oracle. A key may run again `retentionMs` after its last run. */
export function createClaimOracle(
  clock: Clock,
  retentionMs: number,
): ClaimOracle {
  const runs = new Map<string, CallIdentity[]>();
  const notRun = new Set<string>();
  const observationCounts: Record<string, number> = {};
  const violations: string[] = [];

  const stored = createStoredRecords(clock, retentionMs, message =>
    violations.push(message),
  );

  function expectThat(condition: boolean, message: string): void {
    if (!condition) violations.push(message);
  }

  function countObservation(name: string): void {
    observationCounts[name] = (observationCounts[name] ?? 0) + 1;
  }

  function lastRun(key: string): CallIdentity | undefined {
    return runs.get(key)?.at(-1);
  }

  function findRun(call: CallIdentity): CallIdentity | undefined {
    return runs.get(call.key)?.find(run => run.claimId === call.claimId);
  }

  function checkOutcome(call: CallIdentity, reply: ClaimReply): void {
    if (reply.kind !== 'completed') return;
    const text = atob(reply.outcome.bodyBase64);
    const run = runs
      .get(call.key)
      ?.find(({claimId}) => text === `result of ${claimId}`);
    expectThat(
      run !== undefined,
      `outcome "${text}" must belong to ${call.key}`,
    );
    const hasSameBody = run?.requestHash === call.requestHash;
    expectThat(
      hasSameBody,
      `outcome "${text}" must not be returned for another body`,
    );
  }

  /**
   * The fencing token is the revision of the write that first stored the claim.
   */
  function checkFencingToken(call: CallIdentity, reply: ClaimReply): void {
    if (reply.kind !== 'claimed') return;
    const revision = stored.find(call.claimId)?.revision;
    if (stored.isExpired(call.claimId)) return;
    expectThat(
      revision === reply.fencingToken,
      `fencing token of ${call.claimId} is ${revision}, but the reply has ${reply.fencingToken}`,
    );
  }

  function checkStoredOutcome(call: CallIdentity, reply: ClaimReply): void {
    const run = lastRun(call.key);
    if (run === undefined || run.claimId === call.claimId) return;
    // After a key expired and ran again, the reply may be about the earlier
    // run.
    if (runs.get(call.key)?.length !== 1 || stored.isExpired(run.claimId))
      return;
    const outcome = stored.find(run.claimId)?.outcome;
    if (outcome === undefined) return;
    const isKept =
      reply.kind === 'completed'
        ? reply.outcome.bodyBase64 === outcome
        : reply.kind !== 'outcome_unknown';
    expectThat(isKept, `stored outcome of ${call.key} must be kept`);
  }

  return {
    observationCounts,
    check: () => {
      if (violations[0] !== undefined) throw new Error(violations[0]);
    },
    runCount: key => runs.get(key)?.length ?? 0,
    stored,
    observeRun: call => {
      countObservation('runs');
      const before = lastRun(call.key);
      expectThat(
        before === undefined || stored.isExpired(before.claimId),
        `key ${call.key} must run once, but ran for ${before?.claimId} and ${call.claimId}`,
      );
      expectThat(
        !notRun.has(call.claimId),
        `${call.claimId} must not run after it was reported as not run`,
      );
      const earlierRuns = [...(runs.get(call.key) ?? [])];
      runs.set(call.key, [...earlierRuns, {...call}]);
    },
    observeNotRun: call => {
      countObservation('not run');
      notRun.add(call.claimId);
      expectThat(
        findRun(call) === undefined,
        `${call.claimId} must not be reported as not run after it ran`,
      );
    },
    observeReply: (call, reply) => {
      countObservation(reply.kind);
      checkOutcome(call, reply);
      checkFencingToken(call, reply);
      checkStoredOutcome(call, reply);
    },
    observeEnd: (call, end) => {
      countObservation(`end ${end.kind}`);
      const claim = stored.find(call.claimId);
      const isStored = end.kind === 'not_sent' ? claim?.released : claim?.ended;
      expectThat(
        isStored === true,
        `${end.kind} of ${call.claimId} must be stored`,
      );
    },
    observeEndError: (call, error) => {
      countObservation(`end error ${error.kind}`);
      const isRejectedRelease =
        error.kind === 'internal' && stored.find(call.claimId)?.ended === true;
      expectThat(
        isRejectedRelease || stored.isExpired(call.claimId),
        `end of ${call.claimId} failed: ${error.message}`,
      );
    },
  };
}
