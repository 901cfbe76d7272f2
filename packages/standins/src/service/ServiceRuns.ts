/**
 * The runs of a plain service, and its check of fencing tokens.
 */
import {createRunJournal, readRunJournal} from '../shared/RunJournal.js';

/** What `GET /runs` tells about one run. */
export interface ServiceRunRecord {
  readonly requestKey: string;
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey?: string;
  readonly fencingToken?: number;
  readonly requestId?: string;
  /** True when the answer was lost on purpose. */
  answerDropped: boolean;
}

/** Records runs and refuses stale fencing tokens. */
export interface ServiceRuns {
  /** Tells whether the token is lower than one already seen for the key. */
  isStale(idempotencyKey: string, fencingToken: number): boolean;
  add(record: ServiceRunRecord): void;
  records(): readonly ServiceRunRecord[];
}

/** Creates a record of runs that goes on with those in `runsFile`. */
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
