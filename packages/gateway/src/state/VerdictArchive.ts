/**
 * Keeps the verdicts of this instance on prompt segments in the store, so that
 * instances that start later refuse such prompts from their first request on,
 * also if all instances have ended meanwhile. Calls that fail are repeated until
 * the verdict is over.
 */
import type {Clock} from '@toucanrouter/common';
import {delay} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {SegmentHash} from '@toucanrouter/policy';
import type {StateStore, StoredVerdict} from './StateStore.js';

/** Options of an archive. */
export interface VerdictArchiveOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: Pick<StateStore, 'removeVerdict' | 'saveVerdict'>;
}

/** Keeps verdicts in the store until it is closed. */
export interface VerdictArchive {
  save(verdict: StoredVerdict): void;
  /** Removes a verdict, if this instance has saved it. */
  remove(segment: SegmentHash): void;
  close(): void;
}

const callTimeoutMs = 800;
const retryMs = 1_000;

/** What the store should hold for a segment. */
interface Wanted {
  readonly verdict: StoredVerdict | undefined;
  readonly untilMs: number;
}

/** Creates an archive that holds nothing yet. */
export function createVerdictArchive(
  options: VerdictArchiveOptions,
): VerdictArchive {
  const {clock, logger, store} = options;
  const saved = new Map<SegmentHash, number>();
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

  function forgetEnded(): void {
    for (const [segment, untilMs] of saved) {
      if (clock.nowMs() >= untilMs) saved.delete(segment);
    }
  }

  return {
    save: verdict => {
      forgetEnded();
      const untilMs = clock.nowMs() + verdict.durationMs;
      saved.set(verdict.segment, untilMs);
      want(verdict.segment, {verdict, untilMs});
    },
    remove: segment => {
      const untilMs = saved.get(segment);
      if (untilMs === undefined) return;
      saved.delete(segment);
      want(segment, {verdict: undefined, untilMs});
    },
    close: () => {
      closed = true;
    },
  };
}
