/**
 * Decides when load reports are sent: at a regular interval, and soon after work
 * that peers must know of. Load pattern: a burst of long prompts. Within one
 * regular interval of a large fleet, several instances send a prompt to the same
 * engine, each unaware of the others, and all of them are late.
 */
import type {Clock} from '@toucanrouter/common';
import {reportIntervalMs} from './LoadReports.js';

/** Options of a schedule. */
export interface ReportScheduleOptions {
  readonly clock: Clock;
  readonly peerCount: () => number;
  readonly send: () => void;
}

/** Sends reports until it is closed. */
export interface ReportSchedule {
  start(): void;
  /** Sends a report as soon as the rate limit allows. */
  reportSoon(): void;
  close(): void;
}

/** Work that arrives within this time shares a report. */
const coalescingMs = 5;
/** Shortest time between reports, as a share of the regular interval. */
const minIntervalShare = 0.25;

/** Creates a schedule that has not started. */
export function createReportSchedule(
  options: ReportScheduleOptions,
): ReportSchedule {
  const {clock, peerCount} = options;
  let started = false;
  let sentAtMs = -Infinity;
  let cancelRegular = (): void => undefined;
  let cancelEarly: (() => void) | undefined;

  const intervalMs = () => reportIntervalMs(peerCount());

  function send(): void {
    cancelEarly?.();
    cancelEarly = undefined;
    cancelRegular();
    cancelRegular = clock.after(intervalMs(), send);
    sentAtMs = clock.nowMs();
    options.send();
  }

  return {
    start: () => {
      started = true;
      cancelRegular = clock.after(intervalMs(), send);
    },
    reportSoon: () => {
      if (!started || cancelEarly !== undefined) return;
      const earliestMs = sentAtMs + intervalMs() * minIntervalShare;
      const delayMs = Math.max(coalescingMs, earliestMs - clock.nowMs());
      cancelEarly = clock.after(delayMs, send);
    },
    close: () => {
      started = false;
      cancelRegular();
      cancelEarly?.();
    },
  };
}
