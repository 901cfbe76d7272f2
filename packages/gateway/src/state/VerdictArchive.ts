/**
 * Keeps the verdicts of this instance on prompt segments in the store, so that
 * instances that start later refuse such prompts from their first request on,
 * also if all instances have ended meanwhile. Calls that fail are repeated until
 * the verdict is over. A verdict of the store is adopted once: a later read of
 * the same entry must not renew it.
 */
import type {Clock} from '@toucanrouter/common';
import {delay} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {SegmentHash} from '@toucanrouter/policy';
import {createBoundedMap} from '@toucanrouter/policy';
import type {StateStore, StoredVerdict} from './StateStore.js';

/** Options of an archive. */
export interface VerdictArchiveOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: Pick<StateStore, 'removeVerdict' | 'saveVerdict'>;
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

/** What the store should hold for a segment. */
interface Wanted {
  readonly verdict: StoredVerdict | undefined;
  readonly untilMs: number;
}

/** A verdict that the store holds as far as known. */
interface StoredEntry {
  readonly untilMs: number;
  /** True once this instance has asked for its removal. */
  readonly isLifted: boolean;
}

/** Creates an archive that holds nothing yet. */
export function createVerdictArchive(
  options: VerdictArchiveOptions,
): VerdictArchive {
  const {clock, logger, store} = options;
  const stored = createBoundedMap<SegmentHash, StoredEntry>(maxStoredCount);
  const wanted = new Map<SegmentHash, Wanted>();
  let running = false;
  let closed = false;

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

  return {
    save: verdict => {
      const untilMs = clock.nowMs() + verdict.durationMs;
      stored.set(verdict.segment, {untilMs, isLifted: false});
      want(verdict.segment, {verdict, untilMs});
    },
    remove: segment => {
      const entry = stored.get(segment);
      if (entry === undefined || entry.isLifted) return;
      const {untilMs} = entry;
      stored.set(segment, {untilMs, isLifted: true});
      want(segment, {verdict: undefined, untilMs});
    },
    receive: verdict => {
      if (stored.has(verdict.segment)) return;
      const untilMs = clock.nowMs() + verdict.durationMs;
      stored.set(verdict.segment, {untilMs, isLifted: false});
      options.onVerdict(verdict);
    },
    receiveRemoval: segment => stored.delete(segment),
    close: () => {
      closed = true;
    },
  };
}
