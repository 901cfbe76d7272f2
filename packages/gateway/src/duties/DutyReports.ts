/**
 * Sends what this instance counted and sees to the instance that holds the duties
 * and to those that take them next, so that the next owner knows what instances
 * that have ended counted.
 */
import type {Clock, InstanceId, Undo} from '@toucanrouter/common';
import type {
  DutyOwnership,
  ServiceDemand,
  UsageCount,
} from '@toucanrouter/duties';
import {standbysOf} from '@toucanrouter/duties';
import type {DutyReportContent} from '../peers/DutyReportCodec.js';
import type {PeerDirectory} from '../peers/PeerDirectory.js';

/** Options of the reports. */
export interface DutyReportsOptions {
  readonly clock: Clock;
  readonly instanceId: InstanceId;
  readonly peers: Pick<PeerDirectory, 'ids'>;
  readonly ownership: Pick<DutyOwnership, 'holder' | 'onChange'>;
  readonly send: (report: DutyReportContent, to: readonly InstanceId[]) => void;
  /** The fleet time. */
  readonly nowMs: () => number;
  /** Returns the counts that changed lately, or all that are kept. */
  readonly takeCounts: (all: boolean) => readonly UsageCount[];
  readonly takeDemands: () => readonly ServiceDemand[];
}

/** Sends reports until it is closed. */
export interface DutyReports {
  start(): void;
  close(): void;
}

/** An instance that is killed loses what it counted since its latest report. */
const reportIntervalMs = 300;
const standbyCount = 2;

/** Creates reports that are not sent yet. */
export function createDutyReports(options: DutyReportsOptions): DutyReports {
  const {clock, instanceId, ownership, peers} = options;
  let cancelReport: Undo = () => undefined;
  let stopListening: Undo = () => undefined;

  function receivers(): readonly InstanceId[] {
    const owner = ownership.holder();
    const all = [...peers.ids(), instanceId];
    const standbys = standbysOf(all, owner, standbyCount);
    return [...(owner === undefined ? [] : [owner]), ...standbys].filter(
      id => id !== instanceId,
    );
  }

  function report(all: boolean): void {
    const to = receivers();
    if (to.length === 0) return;
    options.send(
      {
        countedAtMs: options.nowMs(),
        counts: options.takeCounts(all),
        demands: options.takeDemands(),
      },
      to,
    );
  }

  return {
    start: () => {
      cancelReport = clock.every(reportIntervalMs, () => report(false));
      // The next owner may not have been among the receivers.
      stopListening = ownership.onChange(() => report(true));
    },
    close: () => {
      // A stopping instance reports what it has counted until now.
      report(true);
      cancelReport();
      stopListening();
    },
  };
}
