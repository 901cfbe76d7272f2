/**
 * What the instances tell each other of their work in flight. Load pattern:
 * several instances send to the same engines, and each would otherwise see
 * only its own share of an engine's load. Reports are hints: an instance that
 * hears from no other one decides on its own work.
 */
import type {Clock, InstanceId, UpstreamId} from '@toucanrouter/common';
import {toInstanceId, toUpstreamId} from '@toucanrouter/common';
import type {SeenWork} from '../upstreams/EngineDivision.js';
import {addWork, noWork} from '../upstreams/EngineDivision.js';

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
  readonly work: SeenWork;
  readonly loads: readonly UpstreamLoad[];
}

/** Loads of other instances. */
export interface PeerLoads {
  receive(report: LoadReport): void;
  /** The others' work at an upstream. */
  at(upstreamId: UpstreamId): UpstreamLoad;
  /** The others' recent work. */
  work(): SeenWork;
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
    work: () =>
      [...received.values()]
        .map(({report}) => report.work)
        .reduce(addWork, noWork),
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
      Math.round(report.work.long_prompt),
      Math.round(report.work.short_prompt),
      Math.round(report.work.generation),
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
  const [instanceId, startedAtMs, sequence, long, short, generation, loads] =
    value as unknown[];
  if (
    typeof instanceId !== 'string' ||
    !isNumber(startedAtMs) ||
    !isNumber(sequence) ||
    !isNumber(long) ||
    !isNumber(short) ||
    !isNumber(generation) ||
    !Array.isArray(loads)
  ) {
    return undefined;
  }
  return {
    instanceId: toInstanceId(instanceId),
    startedAtMs,
    sequence,
    work: {long_prompt: long, short_prompt: short, generation},
    loads: loads.flatMap(decodeLoad),
  };
}
