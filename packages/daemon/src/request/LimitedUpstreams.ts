/**
 * The request rates to which upstreams limit all instances together, as the
 * responses to this instance state them. The schedulers keep the rates; this
 * module tells them what was stated, and when it no longer is.
 */
import type {
  Clock,
  RequestId,
  ShardId,
  UpstreamInfo,
} from '@toucanrouter/common';
import {readRequestRate, shardOf} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {
  RateChange,
  RateStatement,
  RateStatements,
  UpstreamProcess,
} from '@toucanrouter/policy';
import {
  createBoundedMap,
  createRateStatements,
  processHashOf,
} from '@toucanrouter/policy';
import type {UpstreamDirectory} from '../fleet/UpstreamDirectory.js';

/** Options of {@link createLimitedUpstreams}. */
export interface LimitedUpstreamsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: UpstreamDirectory;
  /** Called when upstreams of a shard state another rate, or none any more. */
  readonly onChange: (shardId: ShardId) => void;
}

/** A response head, as far as request rates are concerned. */
export interface RateHead {
  readonly upstream: UpstreamInfo;
  readonly requestId: RequestId;
  /** Value of the header; undefined if there is none. */
  readonly value: string | readonly string[] | undefined;
  /** When the request was sent. */
  readonly sentAtMs: number;
}

/** What upstreams stated to this instance. */
export interface LimitedUpstreams {
  recordHead(head: RateHead): void;
  /** Records a rate that the scheduler of a request knows of. */
  recordGrant(
    upstream: UpstreamInfo,
    requestId: RequestId,
    limitPerS: number,
  ): void;
  /** Returns what the upstreams of a shard stated, for their scheduler. */
  statements(shardId: ShardId): readonly RateStatement[];
  /** Returns whether a rate holds for an upstream. */
  isLimited(upstream: UpstreamInfo): boolean;
  /** Returns the number of upstreams that state a rate now. */
  count(): number;
  close(): void;
}

/** An upstream that states a rate, or did until a short time ago. */
interface RatedProcess {
  readonly upstream: UpstreamInfo;
  lastListedAtMs: number;
}

/** Lists may omit an upstream for a time; its rate is kept this long. */
const unlistedRecordMs = 60_000;
const maxLoggedProblems = 1_000;

function toProcess({id, incarnation}: UpstreamInfo): UpstreamProcess {
  return {id, start: incarnation};
}

function keyOf({id, incarnation}: UpstreamInfo): string {
  return `${incarnation}/${id}`;
}

const changeMessages: Readonly<
  Record<Exclude<RateChange, 'unchanged'>, string>
> = {
  began: 'an upstream limits its request rate',
  changed: 'an upstream has changed the limit of its request rate',
  ended: 'an upstream no longer limits its request rate',
};

/** Creates a record without rates. */
export function createLimitedUpstreams(
  options: LimitedUpstreamsOptions,
): LimitedUpstreams {
  const {clock, directory, logger} = options;
  const statementsByShard = new Map<ShardId, RateStatements>();
  const rated = new Map<string, RatedProcess>();
  const loggedProblems = createBoundedMap<string, true>(maxLoggedProblems);

  function ensureStatements(shardId: ShardId): RateStatements {
    let statements = statementsByShard.get(shardId);
    if (statements === undefined) {
      statements = createRateStatements();
      statementsByShard.set(shardId, statements);
    }
    return statements;
  }

  function keep(upstream: UpstreamInfo): void {
    const lastListedAtMs = clock.nowMs();
    rated.set(keyOf(upstream), {upstream, lastListedAtMs});
  }

  function logProblem({requestId, upstream}: RateHead, problem: string): void {
    if (loggedProblems.has(keyOf(upstream))) return;
    loggedProblems.set(keyOf(upstream), true);
    const fields = {upstream: upstream.id, requestId, problem};
    logger.warn('an upstream sent an unusable limit of its rate', fields);
  }

  function logChange(
    change: Exclude<RateChange, 'unchanged'>,
    upstream: UpstreamInfo,
    requestId: RequestId,
    limitPerS: number | undefined,
  ): void {
    const limit = limitPerS === undefined ? {} : {limitPerS};
    const fields = {upstream: upstream.id, requestId, ...limit};
    logger.info(changeMessages[change], fields);
  }

  function recordHead(head: RateHead): void {
    const {requestId, sentAtMs, upstream, value} = head;
    const {perS, problem} = readRequestRate(value);
    if (problem !== undefined) return logProblem(head, problem);
    const shardId = shardOf(upstream);
    const process = processHashOf(toProcess(upstream));
    const nowMs = clock.nowMs();
    let change: RateChange | undefined;
    if (perS !== undefined) {
      change = ensureStatements(shardId).state(process, perS, nowMs);
      keep(upstream);
    } else {
      const statements = statementsByShard.get(shardId);
      change = statements?.stateNone(process, sentAtMs, nowMs);
    }
    if (change === undefined || change === 'unchanged') return;
    logChange(change, upstream, requestId, perS);
    options.onChange(shardId);
  }

  function forget({upstream}: RatedProcess, reason: string): void {
    const shardId = shardOf(upstream);
    const statements = statementsByShard.get(shardId);
    const process = processHashOf(toProcess(upstream));
    rated.delete(keyOf(upstream));
    if (statements?.isInForce(process) === true) {
      const fields = {upstream: upstream.id, reason};
      logger.info('an upstream that limited its request rate is gone', fields);
    }
    statements?.forget(process);
    const isShardRated = [...rated.values()].some(
      other => shardOf(other.upstream) === shardId,
    );
    if (!isShardRated) statementsByShard.delete(shardId);
  }

  /** A lagging list may name an earlier process, or none for a time. */
  function review(): void {
    const nowMs = clock.nowMs();
    for (const process of [...rated.values()]) {
      const {id, incarnation} = process.upstream;
      const listed = directory.find(id)?.incarnation;
      if (listed === incarnation) process.lastListedAtMs = nowMs;
      else if (listed !== undefined && listed > incarnation) {
        forget(process, 'replaced');
      } else if (nowMs - process.lastListedAtMs > unlistedRecordMs) {
        forget(process, 'not listed');
      }
    }
  }

  const undoHandler = directory.registerChangeHandler(review);

  return {
    recordHead,
    recordGrant: (upstream, requestId, limitPerS) => {
      const statements = ensureStatements(shardOf(upstream));
      const nowMs = clock.nowMs();
      const process = processHashOf(toProcess(upstream));
      keep(upstream);
      if (statements.rateOf(process, nowMs) !== undefined) return;
      const statement = {process, perS: limitPerS, statedAgeMs: 0};
      statements.adopt({...statement, endedAgeMs: undefined}, nowMs);
      logChange('began', upstream, requestId, limitPerS);
    },
    statements: shardId =>
      statementsByShard.get(shardId)?.received(clock.nowMs()) ?? [],
    isLimited: upstream => {
      const statements = statementsByShard.get(shardOf(upstream));
      const process = processHashOf(toProcess(upstream));
      return statements?.rateOf(process, clock.nowMs()) !== undefined;
    },
    count: () =>
      [...rated.values()].filter(({upstream}) =>
        statementsByShard
          .get(shardOf(upstream))
          ?.isInForce(processHashOf(toProcess(upstream))),
      ).length,
    close: () => {
      undoHandler();
      rated.clear();
      statementsByShard.clear();
    },
  };
}
