/**
 * Exchanges with the other instances what they know of prompts that crash
 * engines. Instances of builds that do not know the message ignore it.
 */
import type {Clock, InstanceId, Undo} from '@toucanrouter/common';
import type {
  Envelope,
  ReceivedEnvelope,
  ReceivedQuarantineReport,
} from '@toucanrouter/peer';
import type {
  QuarantineReport,
  RequestHash,
  SegmentHash,
  UpstreamStartHash,
} from '@toucanrouter/policy';
import type {PromptGuard} from '../request/chat/PromptGuard.js';
import type {Fleet} from './Fleet.js';

/** Options of an exchange. */
export interface QuarantineExchangeOptions {
  readonly clock: Clock;
  readonly fleet: Pick<Fleet, 'selfId' | 'send'> & {
    alive(): readonly {readonly instanceId: InstanceId}[];
  };
  readonly guard: Pick<PromptGuard, 'receiveReport' | 'takeReport'>;
}

/** Exchange of reports with the linked instances. */
export interface QuarantineExchange {
  /** Sends a report soon, since there is news. */
  notify(): void;
  /** Handles reports and ignores all other messages. */
  receive(from: InstanceId, envelope: ReceivedEnvelope): void;
  start(): void;
  close(): void;
}

/** Interval at which reports are repeated. */
const reportIntervalMs = 200;

/** News that arrive together are sent in one report. */
const newsDelayMs = 10;

/** Encodes a report for the other instances. */
export function encodeQuarantineReport(report: QuarantineReport): Envelope {
  return {
    quarantineReport: {
      crashes: report.crashes.map(crash => ({
        upstream: crash.upstream,
        ageMs: toWireMs(crash.ageMs),
        requests: crash.requests.map(({request, segments}) => ({
          request,
          segments: [...segments],
        })),
      })),
      verdicts: report.verdicts.map(verdict => ({
        segment: verdict.segment,
        ageMs: toWireMs(verdict.ageMs),
        evidenceAgeMs: toWireMs(verdict.evidenceAgeMs),
        remainingMs: toWireMs(verdict.remainingMs),
      })),
      clearings: report.clearings.map(({ageMs, segment}) => ({
        segment,
        ageMs: toWireMs(ageMs),
      })),
    },
  };
}

function toWireMs(ms: number): number {
  return Math.max(0, Math.round(ms));
}

/** Decodes the report of another instance. */
export function decodeQuarantineReport(
  wire: ReceivedQuarantineReport,
): QuarantineReport {
  return {
    crashes: wire.crashes.map(({ageMs, requests, upstream}) => ({
      upstream: upstream as UpstreamStartHash,
      ageMs,
      requests: requests.map(({request, segments}) => ({
        request: request as RequestHash,
        segments: segments as SegmentHash[],
      })),
    })),
    verdicts: wire.verdicts.map(verdict => ({
      segment: verdict.segment as SegmentHash,
      ageMs: verdict.ageMs,
      evidenceAgeMs: verdict.evidenceAgeMs,
      remainingMs: verdict.remainingMs,
    })),
    clearings: wire.clearings.map(({ageMs, segment}) => ({
      segment: segment as SegmentHash,
      ageMs,
    })),
  };
}

/** Creates an exchange that is not started. */
export function createQuarantineExchange(
  options: QuarantineExchangeOptions,
): QuarantineExchange {
  const {clock, fleet, guard} = options;
  let cancelInterval: Undo | undefined;
  let cancelNews: Undo | undefined;

  function sendReport(): void {
    const report = guard.takeReport();
    if (report === undefined) return;
    const envelope = encodeQuarantineReport(report);
    for (const {instanceId} of fleet.alive()) {
      if (instanceId !== fleet.selfId) fleet.send(instanceId, envelope);
    }
  }

  return {
    notify: () => {
      cancelNews ??= clock.after(newsDelayMs, () => {
        cancelNews = undefined;
        sendReport();
      });
    },
    receive: (_from, {quarantineReport}) => {
      if (!quarantineReport) return;
      guard.receiveReport(decodeQuarantineReport(quarantineReport));
    },
    start: () => {
      cancelInterval = clock.every(reportIntervalMs, sendReport);
    },
    close: () => {
      cancelInterval?.();
      cancelNews?.();
    },
  };
}
