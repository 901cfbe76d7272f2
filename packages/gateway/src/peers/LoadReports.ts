/**
 * What the instances tell each other of their work in flight. Load pattern:
 * several instances send to the same engines, and each would otherwise see
 * only its own share of an engine's load. Reports are hints: an instance that
 * hears from no other one decides on its own work.
 */
import type {Clock, InstanceId, UpstreamId} from '@toucanrouter/common';
import {toInstanceId, toUpstreamId} from '@toucanrouter/common';

/** Work in flight at one upstream. */
export interface UpstreamLoad {
  readonly upstreamId: UpstreamId;
  readonly running: number;
  /** Prompt tokens of requests that have no first answer yet. */
  readonly waitingPromptTokens: number;
}

/** What one instance tells. */
export interface LoadReport {
  readonly instanceId: InstanceId;
  /** Start of the process; a report of an earlier start is ignored. */
  readonly startedAtMs: number;
  /** Grows with each report, since datagrams may overtake each other. */
  readonly sequence: number;
  /** Recent work of long prompts, and of all, in prompt tokens. */
  readonly longWork: number;
  readonly allWork: number;
  readonly loads: readonly UpstreamLoad[];
}

/** Loads of other instances. */
export interface PeerLoads {
  receive(report: LoadReport): void;
  /** The others' work at an upstream. */
  at(upstreamId: UpstreamId): UpstreamLoad;
  /** The others' recent work. */
  work(): {readonly longWork: number; readonly allWork: number};
  /** Instances heard from recently. */
  count(): number;
}

/** A report older than this no longer describes what is in flight. */
export const reportLifetimeMs = 1_200;

interface Received {
  readonly report: LoadReport;
  readonly receivedAtMs: number;
}

function isNewer(report: LoadReport, known: LoadReport): boolean {
  return report.startedAtMs === known.startedAtMs
    ? report.sequence > known.sequence
    : report.startedAtMs > known.startedAtMs;
}

/** Creates an empty table of the others' loads. */
export function createPeerLoads(clock: Clock): PeerLoads {
  const received = new Map<InstanceId, Received>();
  const totals = new Map<UpstreamId, UpstreamLoad>();

  function rebuild(): void {
    totals.clear();
    const oldestMs = clock.nowMs() - reportLifetimeMs;
    for (const [instanceId, {receivedAtMs, report}] of received) {
      if (receivedAtMs < oldestMs) {
        received.delete(instanceId);
        continue;
      }
      for (const load of report.loads) add(load);
    }
  }

  function add(load: UpstreamLoad): void {
    const {upstreamId} = load;
    const total = totals.get(upstreamId);
    totals.set(upstreamId, {
      upstreamId,
      running: load.running + (total?.running ?? 0),
      waitingPromptTokens:
        load.waitingPromptTokens + (total?.waitingPromptTokens ?? 0),
    });
  }

  function expire(): void {
    const oldestMs = clock.nowMs() - reportLifetimeMs;
    for (const {receivedAtMs} of received.values()) {
      if (receivedAtMs < oldestMs) return rebuild();
    }
  }

  return {
    receive: report => {
      const known = received.get(report.instanceId);
      if (known !== undefined && !isNewer(report, known.report)) return;
      received.set(report.instanceId, {report, receivedAtMs: clock.nowMs()});
      rebuild();
    },
    at: upstreamId => {
      expire();
      return (
        totals.get(upstreamId) ?? {
          upstreamId,
          running: 0,
          waitingPromptTokens: 0,
        }
      );
    },
    work: () => {
      let longWork = 0;
      let allWork = 0;
      for (const {report} of received.values()) {
        longWork += report.longWork;
        allWork += report.allWork;
      }
      return {longWork, allWork};
    },
    count: () => received.size,
  };
}

/** Encodes a report as a datagram. */
export function encodeReport(report: LoadReport): Buffer {
  const loads = report.loads.map(load => [
    load.upstreamId,
    load.running,
    Math.round(load.waitingPromptTokens),
  ]);
  return Buffer.from(
    JSON.stringify([
      report.instanceId,
      report.startedAtMs,
      report.sequence,
      Math.round(report.longWork),
      Math.round(report.allWork),
      loads,
    ]),
  );
}

const isNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value);

function decodeLoad(value: unknown): UpstreamLoad[] {
  if (!Array.isArray(value)) return [];
  const [upstreamId, running, waitingPromptTokens] = value as unknown[];
  return typeof upstreamId === 'string' &&
    isNumber(running) &&
    isNumber(waitingPromptTokens)
    ? [{upstreamId: toUpstreamId(upstreamId), running, waitingPromptTokens}]
    : [];
}

/** Decodes a datagram; undefined when it is no report. */
export function decodeReport(datagram: Buffer): LoadReport | undefined {
  let value: unknown;
  try {
    value = JSON.parse(datagram.toString());
  } catch {
    // The receiver logs what it cannot decode.
    return undefined;
  }
  if (!Array.isArray(value)) return undefined;
  const [instanceId, startedAtMs, sequence, longWork, allWork, loads] =
    value as unknown[];
  if (
    typeof instanceId !== 'string' ||
    !isNumber(startedAtMs) ||
    !isNumber(sequence) ||
    !isNumber(longWork) ||
    !isNumber(allWork) ||
    !Array.isArray(loads)
  ) {
    return undefined;
  }
  return {
    instanceId: toInstanceId(instanceId),
    startedAtMs,
    sequence,
    longWork,
    allWork,
    loads: loads.flatMap(decodeLoad),
  };
}
