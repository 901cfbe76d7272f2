/**
 * Run records and fencing token check of a plain service.
 */
import {createRunJournal, readRunJournal} from '../shared/RunJournal.js';

/** Record of a run, as returned by `GET /runs`. */
export interface ServiceRunRecord {
  readonly requestKey: string;
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey?: string;
  readonly fencingToken?: number;
  readonly requestId?: string;
  /** True when the `dropAnswers` switch dropped the response. */
  answerDropped: boolean;
}

/** Records runs and detects stale fencing tokens. */
export interface ServiceRuns {
  /**
   * Reports whether a higher token was seen for the key; otherwise records the
   * token.
   */
  isStale(idempotencyKey: string, fencingToken: number): boolean;
  add(record: ServiceRunRecord): void;
  records(): readonly ServiceRunRecord[];
}

/** Creates the run records, starting with those in `runsFile`. */
export function createServiceRuns(runsFile: string | undefined): ServiceRuns {
  const records = [...readRunJournal<ServiceRunRecord>(runsFile)];
  const journal = createRunJournal<ServiceRunRecord>(runsFile);
  const highestTokens = new Map<string, number>();
  return {
    isStale: (idempotencyKey, fencingToken) => {
      const highest = highestTokens.get(idempotencyKey) ?? 0;
      if (fencingToken < highest) return true;
      highestTokens.set(idempotencyKey, fencingToken);
      return false;
    },
    add: record => {
      records.push(record);
      journal.write(record);
    },
    records: () => records,
  };
}
