/**
 * What the instances tell each other of their work in flight. Load pattern:
 * several instances send to the same engines, and each would otherwise see
 * only its own share of an engine's load. Reports are hints: an instance that
 * hears from no other one decides on its own work.
 */
import type {Clock, UpstreamId} from '@toucanrouter/common';
import {hash32} from '@toucanrouter/common';
import {getOrCreate} from '../GetOrCreate.js';
import type {WorkKindCounts} from '../upstreams/EnginePools.js';
import {addCounts, zeroCounts} from '../upstreams/EnginePools.js';

declare const shortIdBrand: unique symbol;
declare const upstreamShortIdBrand: unique symbol;

/** Hash of an instance's id, which stands for it in reports. */
export type ShortId = number & {readonly [shortIdBrand]: true};
/** Hash of an upstream's id; the many upstreams of a report take less. */
export type UpstreamShortId = number & {readonly [upstreamShortIdBrand]: true};

const upstreamShortIdMask = 0xffff;

/** The short form of an instance's id. */
export function shortIdOf(id: string): ShortId {
  return hash32(id) as ShortId;
}

/** The short form of an upstream; a clash only makes an estimate worse. */
export function upstreamShortIdOf(id: UpstreamId): UpstreamShortId {
  return (hash32(id) & upstreamShortIdMask) as UpstreamShortId;
}

/** Work in flight at one upstream. */
export interface UpstreamLoad {
  readonly upstream: UpstreamShortId;
  readonly running: number;
  /** Prompt tokens of requests that have no first answer yet. */
  readonly waitingPromptTokens: number;
  /** Requests that failed there recently; older ones count less. */
  readonly failed: number;
  /** Requests that were served there recently; older ones count less. */
  readonly served: number;
}

/** What one instance tells of its work. */
export interface ReportedWork {
  /** Requests at engines. */
  readonly inFlight: WorkKindCounts;
  /** Engines of each kind in the division of this instance. */
  readonly poolSizes: WorkKindCounts;
  readonly loads: readonly UpstreamLoad[];
}

/** What one instance sends to the others. */
export interface LoadReport extends ReportedWork {
  readonly instanceId: ShortId;
  /** Start of the process; a report of an earlier start is ignored. */
  readonly startedAtMs: number;
  /** Grows with each report, since datagrams may overtake each other. */
  readonly sequence: number;
}

/** The others' work in flight at an upstream. */
export type PeerLoad = Omit<UpstreamLoad, 'upstream'>;

/** No load. */
export const zeroLoad: PeerLoad = {
  running: 0,
  waitingPromptTokens: 0,
  failed: 0,
  served: 0,
};

/** Loads of other instances. */
export interface PeerLoadTable {
  receive(report: LoadReport): void;
  /** The others' work at an upstream. */
  loadAt(upstreamId: UpstreamId): PeerLoad;
  /** The others' requests at engines. */
  inFlight(): WorkKindCounts;
  /**
   * The division of the instance that the others follow: the lowest id among
   * those heard from. Undefined when that is `selfId`, or nobody is heard from.
   */
  leaderPoolSizes(selfId: ShortId): WorkKindCounts | undefined;
  /** Instances heard from recently. */
  peerCount(): number;
}

/** Reports of a few instances are sent at this interval. */
const minReportIntervalMs = 200;
/** With many instances the interval grows, so that bytes grow linearly. */
const reportIntervalPerPeerMs = 10;
/** A report of a few instances describes what is in flight for this long. */
const minReportLifetimeMs = 1_500;
/** Intervals after which an instance that is not heard from is left out. */
const lifetimeIntervals = 3;

/** Time between the reports of an instance that has this many peers. */
export function reportIntervalMs(peerCount: number): number {
  return Math.max(minReportIntervalMs, peerCount * reportIntervalPerPeerMs);
}

/** An older report no longer describes what is in flight. */
export function reportLifetimeMs(peerCount: number): number {
  return Math.max(
    minReportLifetimeMs,
    reportIntervalMs(peerCount) * lifetimeIntervals,
  );
}

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAtMs: number;
}

function isNewer(report: LoadReport, previous: LoadReport): boolean {
  return report.startedAtMs === previous.startedAtMs
    ? report.sequence > previous.sequence
    : report.startedAtMs > previous.startedAtMs;
}

/** Creates an empty table of the others' loads. */
export function createPeerLoadTable(clock: Clock): PeerLoadTable {
  const received = new Map<ShortId, ReceivedReport>();
  const shortIds = new Map<UpstreamId, UpstreamShortId>();
  const totals = new Map<UpstreamShortId, PeerLoad>();
  let inFlight: WorkKindCounts = zeroCounts;
  let validUntilMs = -Infinity;

  const shortIdOfUpstream = (id: UpstreamId) =>
    getOrCreate(shortIds, id, () => upstreamShortIdOf(id));

  function addToTotals({upstream, ...load}: UpstreamLoad): void {
    const total = totals.get(upstream) ?? zeroLoad;
    totals.set(upstream, {
      running: total.running + load.running,
      waitingPromptTokens: total.waitingPromptTokens + load.waitingPromptTokens,
      failed: total.failed + load.failed,
      served: total.served + load.served,
    });
  }

  /** Adds up the reports anew after one came or one expired. */
  function rebuildTotals(): void {
    const nowMs = clock.nowMs();
    if (nowMs < validUntilMs) return;
    const lifetimeMs = reportLifetimeMs(received.size);
    totals.clear();
    inFlight = zeroCounts;
    validUntilMs = Infinity;
    for (const [instanceId, {receivedAtMs, report}] of received) {
      const expiresAtMs = receivedAtMs + lifetimeMs;
      if (expiresAtMs <= nowMs) {
        received.delete(instanceId);
        continue;
      }
      validUntilMs = Math.min(validUntilMs, expiresAtMs);
      inFlight = addCounts(inFlight, report.inFlight);
      report.loads.forEach(addToTotals);
    }
  }

  return {
    receive: report => {
      const previous = received.get(report.instanceId);
      if (previous !== undefined && !isNewer(report, previous.report)) return;
      received.set(report.instanceId, {report, receivedAtMs: clock.nowMs()});
      validUntilMs = -Infinity;
    },
    loadAt: upstreamId => {
      rebuildTotals();
      return totals.get(shortIdOfUpstream(upstreamId)) ?? zeroLoad;
    },
    inFlight: () => {
      rebuildTotals();
      return inFlight;
    },
    leaderPoolSizes: selfId => {
      rebuildTotals();
      const leader = [...received.keys()].reduce(
        (lowest, id) => (id < lowest ? id : lowest),
        selfId,
      );
      return received.get(leader)?.report.poolSizes;
    },
    peerCount: () => {
      rebuildTotals();
      return received.size;
    },
  };
}

/** Layout of a datagram; reports are sent often, so each byte counts. */
const formatVersion = 6;
const headerBytes = 25;
const loadBytes = 5;
const maxRunning = 0xff;
/** Waiting tokens are sent in units of this many. */
const tokensPerUnit = 512;
/** Failed and served requests take half a byte each. */
const maxOutcomes = 0xf;

function clampToByte(value: number): number {
  return Math.min(Math.max(0, Math.round(value)), maxRunning);
}

/** Large counts are scaled down together, which keeps their ratio. */
function packOutcomes({failed, served}: UpstreamLoad): number {
  const scale = Math.min(1, maxOutcomes / Math.max(failed, served, 1));
  return (Math.round(failed * scale) << 4) | Math.round(served * scale);
}

function writeCounts(
  datagram: Buffer,
  counts: WorkKindCounts,
  at: number,
): void {
  datagram.writeUInt16BE(counts.prompt, at);
  datagram.writeUInt16BE(counts.interactive, at + 2);
}

function readCounts(datagram: Buffer, at: number): WorkKindCounts {
  return {
    prompt: datagram.readUInt16BE(at),
    interactive: datagram.readUInt16BE(at + 2),
  };
}

/** Encodes a report as a datagram. */
export function encodeReport(report: LoadReport): Buffer {
  const datagram = Buffer.alloc(headerBytes + report.loads.length * loadBytes);
  datagram.writeUInt8(formatVersion, 0);
  datagram.writeUInt32BE(report.instanceId, 1);
  datagram.writeDoubleBE(report.startedAtMs, 5);
  datagram.writeUInt32BE(report.sequence, 13);
  writeCounts(datagram, report.inFlight, 17);
  writeCounts(datagram, report.poolSizes, 21);
  report.loads.forEach((load, index) => {
    const at = headerBytes + index * loadBytes;
    datagram.writeUInt16BE(load.upstream, at);
    datagram.writeUInt8(clampToByte(load.running), at + 2);
    datagram.writeUInt8(
      clampToByte(load.waitingPromptTokens / tokensPerUnit),
      at + 3,
    );
    datagram.writeUInt8(packOutcomes(load), at + 4);
  });
  return datagram;
}

/** Decodes a datagram; undefined when it is no report. */
export function decodeReport(datagram: Buffer): LoadReport | undefined {
  const loadsLength = datagram.length - headerBytes;
  if (loadsLength < 0 || loadsLength % loadBytes !== 0) return undefined;
  if (datagram.readUInt8(0) !== formatVersion) return undefined;
  const loads: UpstreamLoad[] = [];
  for (let at = headerBytes; at < datagram.length; at += loadBytes) {
    loads.push({
      upstream: datagram.readUInt16BE(at) as UpstreamShortId,
      running: datagram.readUInt8(at + 2),
      waitingPromptTokens: datagram.readUInt8(at + 3) * tokensPerUnit,
      failed: datagram.readUInt8(at + 4) >> 4,
      served: datagram.readUInt8(at + 4) & maxOutcomes,
    });
  }
  return {
    instanceId: datagram.readUInt32BE(1) as ShortId,
    startedAtMs: datagram.readDoubleBE(5),
    sequence: datagram.readUInt32BE(13),
    inFlight: readCounts(datagram, 17),
    poolSizes: readCounts(datagram, 21),
    loads,
  };
}
