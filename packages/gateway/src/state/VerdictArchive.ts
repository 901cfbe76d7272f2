/**
 * Keeps the verdicts of this instance on prompt segments in the store, so that
 * instances that start later refuse such prompts from their first request on,
 * also if all instances have ended meanwhile. Calls that fail are repeated until
 * the verdict is over. A verdict of the store is adopted once: a later read of
 * the same entry must not renew it. When the store comes back from a copy, what
 * the copy lacks is written again, and lifted verdicts that it holds are removed
 * again.
 */
import type {Clock} from '@toucanrouter/common';
import {delay} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {SegmentHash} from '@toucanrouter/policy';
import {createBoundedMap} from '@toucanrouter/policy';
import type {StateStore, StoredVerdict} from './StateStore.js';
import type {StoreHistory} from './StoreHistory.js';

/** Options of an archive. */
export interface VerdictArchiveOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: Pick<StateStore, 'removeVerdict' | 'saveVerdict'>;
  readonly history: StoreHistory;
  /** Called with a verdict of the store that was not read before. */
  readonly onVerdict: (verdict: StoredVerdict) => void;
}

/** Keeps verdicts in the store until it is closed. */
export interface VerdictArchive {
  save(verdict: StoredVerdict): void;
  /** Removes a verdict that this instance has saved or read. */
  remove(segment: SegmentHash): void;
  /** Handles a verdict that was read from the store. */
  receive(verdict: StoredVerdict): void;
  /** Handles the removal of a verdict from the store. */
  receiveRemoval(segment: SegmentHash): void;
  close(): void;
}

const callTimeoutMs = 800;
const retryMs = 1_000;
/** Bounds the memory that entries of other writers may take. */
const maxStoredCount = 1_024;
/** Verdicts of others are left to the instance that saved them for this time. */
const rewriteDelayMs = 2_000;
/** A shorter rest of a verdict is not worth a lease. */
const minRewrittenMs = 1_000;

/** What the store should hold for a segment. */
interface Wanted {
  readonly verdict: StoredVerdict | undefined;
  readonly untilMs: number;
}

/** A verdict that the store holds as far as known. */
interface StoredEntry {
  readonly verdict: StoredVerdict;
  readonly sinceMs: number;
  readonly untilMs: number;
  /** True if this instance saved it. */
  readonly isOwn: boolean;
  /** The number of histories that had begun when the store last held it. */
  readonly seenInHistory: number;
  /** True once this instance has asked for its removal. */
  readonly isLifted: boolean;
}

/** Creates an archive that holds nothing yet. */
export function createVerdictArchive(
  options: VerdictArchiveOptions,
): VerdictArchive {
  const {clock, history, logger, store} = options;
  const stored = createBoundedMap<SegmentHash, StoredEntry>(maxStoredCount);
  const wanted = new Map<SegmentHash, Wanted>();
  let running = false;
  let closed = false;
  let historyCount = 0;
  let cancelRewrite: () => void = () => undefined;

  async function write(segment: SegmentHash, next: Wanted): Promise<boolean> {
    const result = await (next.verdict === undefined
      ? store.removeVerdict(segment, callTimeoutMs)
      : store.saveVerdict(next.verdict, callTimeoutMs));
    if (result.isOk()) return true;
    logger.warn('keeping a verdict in the store failed; retrying', {
      reason: result.error.message,
    });
    return false;
  }

  async function run(): Promise<void> {
    if (running) return;
    running = true;
    while (!closed) {
      const [first] = wanted;
      if (first === undefined) break;
      const [segment, next] = first;
      const done =
        clock.nowMs() >= next.untilMs || (await write(segment, next));
      // The next one may have replaced it during the call.
      if (wanted.get(segment) === next) {
        wanted.delete(segment);
        if (!done) wanted.set(segment, next);
      }
      if (!done) await delay(clock, retryMs);
    }
    running = false;
  }

  function want(segment: SegmentHash, next: Wanted): void {
    wanted.set(segment, next);
    void run();
  }

  function put(verdict: StoredVerdict, isOwn: boolean): StoredEntry {
    const sinceMs = clock.nowMs();
    const entry = {
      verdict,
      sinceMs,
      untilMs: sinceMs + verdict.durationMs,
      isOwn,
      seenInHistory: historyCount,
      isLifted: false,
    };
    stored.set(verdict.segment, entry);
    return entry;
  }

  /** Writes what is left of a verdict again; returns false if it is too short. */
  function rewrite({sinceMs, untilMs, verdict}: StoredEntry): boolean {
    const elapsedMs = clock.nowMs() - sinceMs;
    const rest = {
      segment: verdict.segment,
      durationMs: verdict.durationMs - elapsedMs,
      evidenceAgeMs: verdict.evidenceAgeMs + elapsedMs,
    };
    if (rest.durationMs < minRewrittenMs) return false;
    want(verdict.segment, {verdict: rest, untilMs});
    return true;
  }

  function rewriteMissing(isOwn: boolean): void {
    let rewrittenCount = 0;
    for (const entry of stored.values()) {
      const isMissing = entry.seenInHistory !== historyCount;
      if (!isMissing || entry.isLifted || entry.isOwn !== isOwn) continue;
      if (rewrite(entry)) rewrittenCount += 1;
    }
    if (rewrittenCount === 0) return;
    logger.info('verdicts are written to the restored store again', {
      verdicts: rewrittenCount,
      savedByThisInstance: isOwn,
    });
  }

  const stopListening = history.onBegin(() => {
    historyCount += 1;
    rewriteMissing(true);
    cancelRewrite();
    cancelRewrite = clock.after(rewriteDelayMs, () => rewriteMissing(false));
  });

  return {
    save: verdict => {
      const {untilMs} = put(verdict, true);
      want(verdict.segment, {verdict, untilMs});
    },
    remove: segment => {
      const entry = stored.get(segment);
      if (entry === undefined || entry.isLifted) return;
      stored.set(segment, {...entry, isLifted: true});
      want(segment, {verdict: undefined, untilMs: entry.untilMs});
    },
    receive: verdict => {
      const entry = stored.get(verdict.segment);
      if (entry === undefined) {
        put(verdict, false);
        options.onVerdict(verdict);
        return;
      }
      if (entry.seenInHistory === historyCount) return;
      stored.set(verdict.segment, {...entry, seenInHistory: historyCount});
      if (entry.isLifted) {
        want(verdict.segment, {verdict: undefined, untilMs: entry.untilMs});
      }
    },
    receiveRemoval: segment => stored.delete(segment),
    close: () => {
      closed = true;
      stopListening();
      cancelRewrite();
    },
  };
}
