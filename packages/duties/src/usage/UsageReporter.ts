/**
 * Reports the usage of each window while this instance holds the duties: exactly
 * one report a window, whoever holds them. A window is reported soon after its
 * end, once the instances have counted to it; its report is written to the store
 * and then sent until the platform has accepted it. An owner that has just taken
 * the duties sends the stored reports again, because it cannot know whether they
 * arrived.
 */
import type {Clock, Undo} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {DutyOwnership, OwnedDuty} from '../ownership/DutyOwnership.js';
import type {PlatformApi, UsageReport, WindowIndex} from '../PlatformApi.js';
import {toWindowIndex} from '../PlatformApi.js';
import type {UsageCollector} from './UsageCollector.js';
import {windowAt, windowEndMs} from './UsageCounter.js';
import type {UsageStore} from './UsageStore.js';

/** Numbers for operators; they count since the process started. */
export interface UsageReporterStatus {
  readonly reported: number;
  /** Reports that were accepted after their deadline. */
  readonly late: number;
  /** Windows whose counts are unknown, or that were not accepted in time. */
  readonly leftOut: number;
  /** Time since the end of the latest window that was reported. */
  readonly latestAgeMs: number | undefined;
}

/** Options of a reporter. */
export interface UsageReporterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: UsageStore;
  readonly api: Pick<PlatformApi, 'sendUsage'>;
  readonly ownership: Pick<DutyOwnership, 'current' | 'lost'>;
  readonly collector: UsageCollector;
  readonly windowMs: number;
  readonly deadlineMs: number;
  /** The fleet time. */
  readonly nowMs: () => number;
  /**
   * Fleet time since which the store holds all reports that were sent. A store
   * that came back from a copy may lack earlier ones, and this instance must not
   * send others in their place.
   */
  readonly completeSinceMs: () => number;
}

/** Reports usage until it is closed. */
export interface UsageReporter {
  start(): void;
  status(): UsageReporterStatus;
  close(): void;
}

const checkMs = 250;
/** Time for the last counts of a window to arrive. */
const settleMs = 600;
/**
 * The same after this instance took the duties: until the watch shows them the
 * new owner, instances may report to others only.
 */
const takeOverSettleMs = 1_200;
/** A window does not wait longer for instances that still report. */
const maxSettleMs = 3_000;
const storeTimeoutMs = 800;
/** The platform may answer fifty times slower than usual. */
const apiTimeoutMs = 2_500;
const retryMs = 500;
/** Windows are given up this many deadlines after their end. */
const givenUpDeadlines = 3;

type WindowState = 'accepted' | 'left_out' | UsageReport;

/** Creates a reporter that has not started. */
export function createUsageReporter(
  options: UsageReporterOptions,
): UsageReporter {
  const {api, clock, collector, logger, nowMs, ownership, store} = options;
  const {deadlineMs, windowMs} = options;
  const states = new Map<WindowIndex, WindowState>();
  /** Calls of the platform that failed, by window. */
  const failures = new Map<WindowIndex, number>();
  let loadedFor: OwnedDuty | undefined;
  let loadedAtMs = -Infinity;
  let outdated: readonly WindowIndex[] = [];
  let running = false;
  let closed = false;
  let cancelCheck: Undo = () => undefined;
  let reported = 0;
  let late = 0;
  let leftOut = 0;
  let latestEndMs: number | undefined;

  const endOf = (window: WindowIndex) => windowEndMs(window, windowMs);
  const keptMs = deadlineMs * givenUpDeadlines;

  /** The oldest window that may still be reported. */
  function oldestWindow(): WindowIndex {
    return windowAt(nowMs() - keptMs, windowMs);
  }

  function forgetOldWindows(): void {
    const oldest = oldestWindow();
    for (const [window, state] of states) {
      if (window >= oldest) continue;
      if (typeof state === 'object') {
        leaveOut(window, 'the platform did not accept its report in time');
      }
      states.delete(window);
      failures.delete(window);
    }
  }

  function leaveOut(window: WindowIndex, reason: string): void {
    states.set(window, 'left_out');
    leftOut += 1;
    logger.warn('a window is not reported', {window, reason});
  }

  /** Reads what earlier owners wrote; returns false to try again. */
  async function load(duty: OwnedDuty): Promise<boolean> {
    if (loadedFor?.token === duty.token) return true;
    const read = await store.readUsage(storeTimeoutMs);
    if (read.isErr()) {
      logger.info('reading usage reports failed; trying again', {
        reason: read.error.message,
      });
      return false;
    }
    const oldest = oldestWindow();
    // What became of those after an earlier loss of the duties is not known here.
    for (const window of states.keys()) {
      if (window < oldest) states.delete(window);
    }
    outdated = read.value
      .map(({window}) => window)
      .filter(window => window < oldest);
    for (const report of read.value) {
      const {window} = report;
      if (window >= oldest && states.get(window) !== 'accepted') {
        states.set(window, report);
      }
    }
    loadedFor = duty;
    loadedAtMs = clock.nowMs();
    return true;
  }

  /**
   * Returns the windows that have ended and are not done. Those that failed least
   * come first, and then the oldest, so that a report which the platform does not
   * accept holds up no other.
   */
  function dueWindows(): readonly WindowIndex[] {
    const current = windowAt(nowMs(), windowMs);
    const due: WindowIndex[] = [];
    for (let index: number = oldestWindow(); index < current; index += 1) {
      const window = toWindowIndex(index);
      if (isDue(window)) due.push(window);
    }
    const failuresOf = (window: WindowIndex) => failures.get(window) ?? 0;
    return due.toSorted((a, b) => failuresOf(a) - failuresOf(b) || a - b);
  }

  function isDue(window: WindowIndex): boolean {
    const state = states.get(window);
    if (state === 'accepted' || state === 'left_out') return false;
    if (typeof state === 'object') return true;
    return endOf(window) > options.completeSinceMs() && isSettled(window);
  }

  function isSettled(window: WindowIndex): boolean {
    const agoMs = nowMs() - endOf(window);
    if (agoMs < settleMs) return false;
    if (clock.nowMs() - loadedAtMs < takeOverSettleMs) return false;
    return collector.isComplete(window) || agoMs >= maxSettleMs;
  }

  async function reportDue(): Promise<void> {
    const duty = ownership.current();
    if (duty === undefined || !(await load(duty))) return;
    forgetOldWindows();
    for (const window of dueWindows()) {
      if (closed || !(await report(window))) return;
    }
  }

  /** Reports one window; returns false if further calls should wait. */
  async function report(window: WindowIndex): Promise<boolean> {
    const state = states.get(window);
    if (typeof state === 'object') return send(state);
    if (!collector.isObserved(window)) {
      leaveOut(window, 'no instance observed it from its beginning');
      return true;
    }
    const stored = await write({window, counts: collector.totalsOf(window)});
    if (stored !== undefined) return send(stored);
    return states.get(window) === 'left_out';
  }

  /** Returns the report of the window that the store holds. */
  async function write(report: UsageReport): Promise<UsageReport | undefined> {
    const duty = ownership.current();
    if (duty === undefined) return undefined;
    const {window} = report;
    const oldest = toWindowIndex(oldestWindow() - 1);
    const removed = [...new Set([...outdated, oldest])];
    const written = await store.writeUsage(
      report,
      removed,
      duty,
      storeTimeoutMs,
    );
    if (written.isErr()) {
      logger.info('writing a usage report failed; trying again', {
        window,
        reason: written.error.message,
      });
      return undefined;
    }
    if (written.value.kind === 'not_owner') {
      ownership.lost('the store shows another owner');
      return undefined;
    }
    outdated = [];
    if (written.value.kind === 'unreadable') {
      leaveOut(window, 'the report in the store cannot be decoded');
      return undefined;
    }
    const stored =
      written.value.kind === 'exists' ? written.value.report : report;
    states.set(window, stored);
    return stored;
  }

  async function send(report: UsageReport): Promise<boolean> {
    const duty = ownership.current();
    if (duty === undefined) return false;
    const {window} = report;
    const answer = await api.sendUsage(report, duty, apiTimeoutMs);
    if (answer.isErr() || answer.value === 'throttled') {
      failures.set(window, (failures.get(window) ?? 0) + 1);
      logger.info('sending a usage report failed; trying again', {
        window,
        reason: answer.isErr() ? answer.error.message : answer.value,
      });
      return false;
    }
    if (answer.value === 'refused') {
      ownership.lost('the platform has seen a higher fencing token');
      return false;
    }
    accepted(report, duty);
    return true;
  }

  function accepted({counts, window}: UsageReport, {token}: OwnedDuty): void {
    states.set(window, 'accepted');
    const afterEndMs = nowMs() - endOf(window);
    reported += 1;
    if (afterEndMs > deadlineMs) late += 1;
    latestEndMs = Math.max(latestEndMs ?? -Infinity, endOf(window));
    logger.info('usage reported', {
      window,
      token,
      workspaces: counts.size,
      requests: [...counts.values()].reduce((sum, count) => sum + count, 0),
      afterEndMs: Math.round(afterEndMs),
    });
  }

  async function check(): Promise<void> {
    if (running || closed) return;
    running = true;
    const startedAtMs = clock.nowMs();
    await reportDue();
    running = false;
    if (closed) return;
    const isDone = clock.nowMs() - startedAtMs < checkMs;
    cancelCheck = clock.after(isDone ? checkMs : retryMs, () => void check());
  }

  return {
    start: () => void check(),
    status: () => ({
      reported,
      late,
      leftOut,
      latestAgeMs:
        latestEndMs === undefined ? undefined : nowMs() - latestEndMs,
    }),
    close: () => {
      closed = true;
      cancelCheck();
    },
  };
}
