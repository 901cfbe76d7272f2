/**
 * What must hold of all runs: a map from key to runs, and what callers and
 * owners were told. Violations are kept until `check` throws the first one.
 */
import type {
  ClaimEnd,
  ClaimReply,
  Clock,
  RouterError,
} from '@toucanrouter/common';

interface CallFacts {
  readonly claimId: string;
  readonly key: string;
  readonly requestHash: string;
}

interface Run extends CallFacts {
  /** When the claim was stored; retention counts from then or later. */
  readonly claimedAtMs: number;
  /** What the owner was told is stored. */
  storedEnd?: ClaimEnd;
}

interface StoredEntry {
  readonly key: string;
  readonly value: Buffer;
  readonly modRevision: number;
}

/** Finds the ids of stored claims in an encoded segment. */
const claimPattern = /"t":"c".*?"i":"(c\d+)"/g;

/** Observes a world. */
export interface ClaimOracle {
  observeCommit(entries: readonly StoredEntry[]): void;
  observeRun(call: CallFacts): void;
  observeNotRun(call: CallFacts): void;
  observeReply(call: CallFacts, reply: ClaimReply): void;
  observeEnd(call: CallFacts, end: ClaimEnd): void;
  observeEndError(call: CallFacts, error: RouterError): void;
  runsOf(key: string): number;
  /** Throws the first violation, if there was one. */
  check(): void;
  readonly counts: Record<string, number>;
}

/** Creates an oracle; a key may run again `retentionMs` after its last run. */
export function createClaimOracle(
  clock: Clock,
  retentionMs: number,
): ClaimOracle {
  const runs = new Map<string, Run[]>();
  const notRun = new Set<string>();
  const firstClaims = new Map<string, {revision: number; atMs: number}>();
  const counts: Record<string, number> = {};
  const violations: string[] = [];

  function expectThat(condition: boolean, message: string): void {
    if (!condition) violations.push(message);
  }

  function count(what: string): void {
    counts[what] = (counts[what] ?? 0) + 1;
  }

  function lastRun(key: string): Run | undefined {
    return runs.get(key)?.at(-1);
  }

  function runOf(call: CallFacts): Run | undefined {
    return runs.get(call.key)?.find(run => run.claimId === call.claimId);
  }

  function checkOutcome(call: CallFacts, reply: ClaimReply): void {
    if (reply.kind !== 'completed') return;
    const text = atob(reply.outcome.bodyBase64);
    const run = runs
      .get(call.key)
      ?.find(({claimId}) => text === `result of ${claimId}`);
    expectThat(run !== undefined, `outcome "${text}" belongs to ${call.key}`);
    const sameBody = run?.requestHash === call.requestHash;
    expectThat(sameBody, `outcome "${text}" belongs to another body`);
  }

  /** The token is the revision of the write that stored the claim first. */
  function checkToken(call: CallFacts, reply: ClaimReply): void {
    if (reply.kind !== 'claimed') return;
    const first = firstClaims.get(call.claimId);
    expectThat(first !== undefined, `claim ${call.claimId} is stored`);
    if (first === undefined) return;
    if (clock.wallMs() - first.atMs >= retentionMs) return;
    expectThat(
      first.revision === reply.fencingToken,
      `token of ${call.claimId} is ${first.revision}, not ${reply.fencingToken}`,
    );
  }

  function checkStoredEnd(call: CallFacts, reply: ClaimReply): void {
    const run = lastRun(call.key);
    if (run?.storedEnd?.kind !== 'completed') return;
    if (run.claimId === call.claimId) return; // A late answer to its owner.
    if (clock.wallMs() - run.claimedAtMs >= retentionMs) return;
    if (run.storedEnd.outcome.bodyBase64.length > 8192) return;
    expectThat(
      reply.kind !== 'outcome_unknown' && reply.kind !== 'claimed',
      `stored outcome of ${call.key} is kept, not ${reply.kind}`,
    );
  }

  return {
    counts,
    check: () => {
      if (violations[0] !== undefined) throw new Error(violations[0]);
    },
    runsOf: key => runs.get(key)?.length ?? 0,
    observeCommit: entries => {
      for (const {value, modRevision} of entries) {
        // Retention counts from when the writer sent the write, which may be
        // long before a delayed write takes effect.
        const atMs = Number(/"writtenAtWallMs":(\d+)/.exec(`${value}`)?.[1]);
        for (const [, id = ''] of value.toString().matchAll(claimPattern)) {
          if (firstClaims.has(id)) continue;
          firstClaims.set(id, {revision: modRevision, atMs});
        }
      }
    },
    observeRun: call => {
      count('runs');
      const before = lastRun(call.key);
      const nowMs = clock.wallMs();
      expectThat(
        before === undefined || nowMs - before.claimedAtMs >= retentionMs,
        `key ${call.key} runs once, not for ${before?.claimId} and ${call.claimId}`,
      );
      expectThat(!notRun.has(call.claimId), `${call.claimId} was not run`);
      const all = [...(runs.get(call.key) ?? [])];
      const claimedAtMs = firstClaims.get(call.claimId)?.atMs ?? nowMs;
      runs.set(call.key, [...all, {...call, claimedAtMs}]);
    },
    observeNotRun: call => {
      count('not run');
      notRun.add(call.claimId);
      expectThat(runOf(call) === undefined, `${call.claimId} was not run`);
    },
    observeReply: (call, reply) => {
      count(reply.kind);
      checkOutcome(call, reply);
      checkToken(call, reply);
      checkStoredEnd(call, reply);
    },
    observeEnd: (call, end) => {
      count(`end ${end.kind}`);
      const run = runOf(call);
      if (run !== undefined) run.storedEnd ??= end;
    },
    observeEndError: (call, error) => {
      count(`end error ${error.kind}`);
      const run = runOf(call);
      const expired =
        run !== undefined && clock.wallMs() - run.claimedAtMs >= retentionMs;
      expectThat(expired, `end of ${call.claimId} failed: ${error.message}`);
    },
  };
}
