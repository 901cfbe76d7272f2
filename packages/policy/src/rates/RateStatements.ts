/**
 * What is known of the request rates to which upstreams limit their callers. A
 * limit belongs to one process of an upstream and holds for all instances
 * together, so each instance tells its peers what it has received itself.
 *
 * Responses overtake each other, and peers' news arrive late. A limit therefore
 * ends only by a response to a request that was sent after the limit was last
 * stated. Statements from peers are kept apart from those received here: passed
 * on again they would appear newer with each hop.
 */

/** Identifies one process of an upstream among all instances. */
export type ProcessHash = number & {readonly [processHashBrand]: true};
declare const processHashBrand: unique symbol;

/** What one instance was told by one process of an upstream. */
export interface RateStatement {
  readonly process: ProcessHash;
  readonly perS: number;
  /** Time since a response last stated the limit. */
  readonly statedAgeMs: number;
  /**
   * Time since the request was sent whose response showed that the limit had
   * ended; undefined if none did.
   */
  readonly endedAgeMs: number | undefined;
}

/** How a statement changed what is known. */
export type RateChange = 'began' | 'changed' | 'ended' | 'unchanged';

/** The limits that an instance knows of. */
export interface RateStatements {
  /** Records that a response states a limit. */
  state(process: ProcessHash, perS: number, nowMs: number): RateChange;
  /** Records a response without a limit to a request sent at `sentAtMs`. */
  stateNone(process: ProcessHash, sentAtMs: number, nowMs: number): RateChange;
  /** Records what a peer was told. */
  adopt(statement: RateStatement, nowMs: number): RateChange;
  /**
   * The rate that holds for all instances together; undefined without a limit.
   * After the end of a limit the rate rises step by step.
   */
  rateOf(process: ProcessHash, nowMs: number): number | undefined;
  /** True while the upstream states the limit. */
  isInForce(process: ProcessHash): boolean;
  /** The processes with a rate. */
  limited(nowMs: number): readonly ProcessHash[];
  /** What upstreams told this instance, for its peers. */
  received(nowMs: number): readonly RateStatement[];
  forget(process: ProcessHash): void;
}

/** Lowest rate, at which requests still show that a limit has ended. */
const minRatePerS = 0.1;
/** Rate from which the traffic grows after a limit. */
const minRestoredPerS = 1;
/** Time in which the rate doubles after a limit. */
const restoreDoublingMs = 500;
/** Time after which no rate holds any more. */
const restoreMs = 4_000;
/** Peers must hear of an end before its record goes. */
const endedRecordMs = 30_000;

interface RateRecord {
  perS: number;
  statedAtMs: number;
  endedAtMs: number;
  /** When the end was noticed here. */
  endNoticedAtMs: number;
}

function isInForceBy({endedAtMs, statedAtMs}: RateRecord): boolean {
  return statedAtMs >= endedAtMs;
}

function createRecord(perS: number, statedAtMs: number): RateRecord {
  return {perS, statedAtMs, endedAtMs: -Infinity, endNoticedAtMs: -Infinity};
}

/** Merges a statement of a limit into a record. */
function mergeStated(
  record: RateRecord,
  perS: number,
  statedAtMs: number,
): void {
  if (statedAtMs < record.statedAtMs) return;
  record.perS = perS;
  record.statedAtMs = statedAtMs;
}

/** Creates a record without limits. */
export function createRateStatements(): RateStatements {
  /** From all instances. */
  const known = new Map<ProcessHash, RateRecord>();
  /** From responses to this instance. */
  const own = new Map<ProcessHash, RateRecord>();

  function removeEnded(nowMs: number): void {
    for (const records of [known, own]) {
      for (const [process, record] of records) {
        const isOld = record.endNoticedAtMs + endedRecordMs <= nowMs;
        if (!isInForceBy(record) && isOld) records.delete(process);
      }
    }
  }

  function recordStated(
    records: Map<ProcessHash, RateRecord>,
    process: ProcessHash,
    perS: number,
    statedAtMs: number,
  ): RateChange {
    const record = records.get(process);
    if (record === undefined) {
      records.set(process, createRecord(perS, statedAtMs));
      return 'began';
    }
    const wasInForce = isInForceBy(record);
    const previousPerS = record.perS;
    mergeStated(record, perS, statedAtMs);
    if (!isInForceBy(record)) return 'unchanged';
    if (!wasInForce) return 'began';
    return record.perS === previousPerS ? 'unchanged' : 'changed';
  }

  function recordEnd(
    records: Map<ProcessHash, RateRecord>,
    process: ProcessHash,
    endedAtMs: number,
    nowMs: number,
  ): RateChange {
    const record = records.get(process);
    if (record === undefined || endedAtMs <= record.endedAtMs) {
      return 'unchanged';
    }
    const wasInForce = isInForceBy(record);
    record.endedAtMs = endedAtMs;
    if (!wasInForce || isInForceBy(record)) return 'unchanged';
    record.endNoticedAtMs = nowMs;
    return 'ended';
  }

  function rateOf(process: ProcessHash, nowMs: number): number | undefined {
    const record = known.get(process);
    if (record === undefined) return undefined;
    const perS = Math.max(record.perS, minRatePerS);
    if (isInForceBy(record)) return perS;
    const sinceMs = nowMs - record.endNoticedAtMs;
    if (sinceMs >= restoreMs) return undefined;
    return Math.max(perS, minRestoredPerS) * 2 ** (sinceMs / restoreDoublingMs);
  }

  return {
    state: (process, perS, nowMs) => {
      removeEnded(nowMs);
      recordStated(own, process, perS, nowMs);
      return recordStated(known, process, perS, nowMs);
    },
    stateNone: (process, sentAtMs, nowMs) => {
      recordEnd(own, process, sentAtMs, nowMs);
      const change = recordEnd(known, process, sentAtMs, nowMs);
      // Peers that were told of the limit must hear of its end from here.
      const ended = change === 'ended' ? known.get(process) : undefined;
      if (ended !== undefined) own.set(process, {...ended});
      return change;
    },
    adopt: ({process, perS, statedAgeMs, endedAgeMs}, nowMs) => {
      removeEnded(nowMs);
      const began = recordStated(known, process, perS, nowMs - statedAgeMs);
      if (endedAgeMs === undefined) return began;
      const ended = recordEnd(known, process, nowMs - endedAgeMs, nowMs);
      // What had ended before it was heard of was never in force here.
      if (began === 'began' && ended === 'ended') return 'unchanged';
      return ended === 'ended' ? ended : began;
    },
    rateOf,
    isInForce: process => {
      const record = known.get(process);
      return record !== undefined && isInForceBy(record);
    },
    limited: nowMs =>
      [...known.keys()].filter(process => rateOf(process, nowMs) !== undefined),
    received: nowMs =>
      [...own].map(([process, {perS, statedAtMs, endedAtMs}]) => ({
        process,
        perS,
        statedAgeMs: nowMs - statedAtMs,
        endedAgeMs: endedAtMs === -Infinity ? undefined : nowMs - endedAtMs,
      })),
    forget: process => {
      known.delete(process);
      own.delete(process);
    },
  };
}
