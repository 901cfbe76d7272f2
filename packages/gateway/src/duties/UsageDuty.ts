/**
 * Usage reports of one instance: it counts its own requests, collects what peers
 * report, and sends the reports while it holds the duties.
 */
import type {Clock, InstanceId, WorkspaceId} from '@toucanrouter/common';
import type {
  DutyOwnership,
  PlatformApi,
  UsageCount,
  UsageReporterStatus,
  UsageStore,
} from '@toucanrouter/duties';
import {
  createFleetTime,
  createUsageCollector,
  createUsageCounter,
  createUsageReporter,
} from '@toucanrouter/duties';
import type {Logger} from '@toucanrouter/logging';
import type {DutySettings} from '@toucanrouter/settings';
import type {DutyReport} from '../peers/DutyReportCodec.js';
import {shortIdOf} from '../peers/ShortIds.js';
import type {StoreHistory} from '../state/StoreHistory.js';

/** Options of the duty. */
export interface UsageDutyOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly instanceId: InstanceId;
  readonly settings: DutySettings;
  readonly store: UsageStore;
  readonly api: PlatformApi;
  readonly ownership: DutyOwnership;
  readonly history: StoreHistory;
}

/** Counts and reports usage until it is closed. */
export interface UsageDuty {
  start(): void;
  /** The fleet time. */
  nowMs(): number;
  recordBegun(workspaceId: WorkspaceId): void;
  /** Returns the counts that changed lately, or all that are kept. */
  takeCounts(all: boolean): readonly UsageCount[];
  receiveReport(report: DutyReport): void;
  status(): UsageReporterStatus;
  close(): void;
}

/** Counts are repeated for this time, because reports may be lost. */
const repeatedMs = 1_500;

/** Creates a duty without counts. */
export function createUsageDuty(options: UsageDutyOptions): UsageDuty {
  const {clock, settings} = options;
  const {usageDeadlineMs: deadlineMs, usageWindowMs: windowMs} = settings;
  const {nowMs} = createFleetTime(clock);
  const startedAtMs = nowMs();
  const instance = shortIdOf(options.instanceId);
  let completeSinceMs = startedAtMs;
  const stopListening = options.history.onBegin(() => {
    completeSinceMs = nowMs();
  });
  const counter = createUsageCounter(windowMs);
  const collector = createUsageCollector(windowMs, nowMs);

  function takeCounts(all: boolean): readonly UsageCount[] {
    const sinceMs = all ? -Infinity : nowMs() - repeatedMs;
    return counter.changedSince(sinceMs).flatMap(window =>
      [...counter.countsOf(window)].map(([workspaceId, count]) => ({
        window,
        workspaceId,
        count,
      })),
    );
  }

  /** This instance's own counts are as good as a report that just arrived. */
  function collectOwn(): void {
    const counts = takeCounts(true);
    collector.receive({instance, startedAtMs, countedAtMs: nowMs(), counts});
  }

  const reporter = createUsageReporter({
    ...options,
    collector: {
      receive: collector.receive,
      totalsOf: window => {
        collectOwn();
        return collector.totalsOf(window);
      },
      isComplete: window => {
        collectOwn();
        return collector.isComplete(window);
      },
      isObserved: window => {
        collectOwn();
        return collector.isObserved(window);
      },
    },
    windowMs,
    deadlineMs,
    nowMs,
    completeSinceMs: () => completeSinceMs,
  });

  return {
    start: reporter.start,
    nowMs,
    recordBegun: workspaceId => counter.record(workspaceId, nowMs()),
    takeCounts,
    receiveReport: ({instanceId, ...report}) =>
      collector.receive({instance: instanceId, ...report}),
    status: reporter.status,
    close: () => {
      stopListening();
      reporter.close();
    },
  };
}
