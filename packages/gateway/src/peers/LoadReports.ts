/**
 * Load reports between instances. Load pattern: several instances send requests
 * to the same engines, and each would otherwise see only its own share of an
 * engine's load. Reports are hints: an instance that receives none decides by
 * its own work in flight.
 */
import type {Clock, UpstreamId} from '@toucanrouter/common';
import {hash32} from '@toucanrouter/common';
import {getOrCreate} from '../GetOrCreate.js';
import type {WorkKindCounts} from '../upstreams/EnginePools.js';
import {addCounts, zeroCounts} from '../upstreams/EnginePools.js';

declare const shortIdBrand: unique symbol;
declare const upstreamShortIdBrand: unique symbol;

/** Hash of an instance's id, which identifies the instance in reports. */
export type ShortId = number & {readonly [shortIdBrand]: true};
/** Short hash of an upstream's id; a report contains many of them. */
export type UpstreamShortId = number & {readonly [upstreamShortIdBrand]: true};

const upstreamShortIdMask = 0xffff;

/** Returns the hash of an instance's id. */
export function shortIdOf(id: string): ShortId {
  return hash32(id) as ShortId;
}

/** Returns the hash of an upstream's id; a collision only skews an estimate. */
export function upstreamShortIdOf(id: UpstreamId): UpstreamShortId {
  return (hash32(id) & upstreamShortIdMask) as UpstreamShortId;
}

/** Work in flight and recent outcomes on one upstream. */
export interface UpstreamLoad {
  readonly upstream: UpstreamShortId;
  readonly running: number;
  /** Uncached prompt tokens of requests without a first response. */
  readonly waitingPromptTokens: number;
  /** Requests that failed there recently, with half-life decay. */
  readonly failed: number;
  /** Requests that were served there recently, with half-life decay. */
  readonly served: number;
}

/** The work that one instance reports. */
export interface ReportedWork {
  /** Requests in flight on engines. */
  readonly inFlight: WorkKindCounts;
  /** Engines in each pool, as this instance assigned them. */
  readonly poolSizes: WorkKindCounts;
  readonly loads: readonly UpstreamLoad[];
}

/** A report that one instance sends to its peers. */
export interface LoadReport extends ReportedWork {
  readonly instanceId: ShortId;
  /** Start of the process; reports of earlier processes are ignored. */
  readonly startedAtMs: number;
  /** Increases with each report, since datagrams may arrive out of order. */
  readonly sequence: number;
}

/** Total load of all peers on one upstream. */
export type PeerLoad = Omit<UpstreamLoad, 'upstream'>;

export const zeroLoad: PeerLoad = {
  running: 0,
  waitingPromptTokens: 0,
  failed: 0,
  served: 0,
};

/** The loads that peers reported recently. */
export interface PeerLoadTable {
  receive(report: LoadReport): void;
  /** Returns the total load of peers on an upstream. */
  loadAt(upstreamId: UpstreamId): PeerLoad;
  /** Returns the requests that peers have in flight on engines. */
  inFlight(): WorkKindCounts;
  /**
   * Returns the pool sizes of the leader, the instance with the lowest id among
   * this one and those with a current report. Undefined when this instance
   * leads.
   */
  leaderPoolSizes(selfId: ShortId): WorkKindCounts | undefined;
  /** Returns the number of peers with a current report. */
  peerCount(): number;
}

/** Report interval of a small fleet. */
const minReportIntervalMs = 200;
/**
 * Increase of the report interval with each peer, so that the total traffic
 * grows linearly with the number of instances.
 */
const reportIntervalPerPeerMs = 10;
/** Lifetime of a report in a small fleet. */
const minReportLifetimeMs = 1_500;
/** Report intervals without a report after which a peer no longer counts. */
const lifetimeIntervals = 3;

/** Returns the time between the reports of an instance. */
export function reportIntervalMs(peerCount: number): number {
  return Math.max(minReportIntervalMs, peerCount * reportIntervalPerPeerMs);
}

/** Returns the age at which a report expires. */
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

/** Creates a table without reports. */
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

  /** Rebuilds the totals if a report has arrived or expired since. */
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

/** Datagram layout; it is compact because reports are sent often. */
const formatVersion = 6;
const headerBytes = 25;
const loadBytes = 5;
const maxByte = 0xff;
/** Waiting prompt tokens are encoded in units of this many. */
const tokensPerUnit = 512;
/** Failed and served requests are encoded in half a byte each. */
const maxOutcomes = 0xf;

function clampToByte(value: number): number {
  return Math.min(Math.max(0, Math.round(value)), maxByte);
}

/** Packs both counts into a byte; large ones are scaled to keep their ratio. */
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

/** Decodes a datagram; returns undefined if it is not a valid report. */
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
