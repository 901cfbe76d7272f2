/**
 * What the instances tell each other of their work in flight. Load pattern:
 * several instances send to the same engines, and each would otherwise see
 * only its own share of an engine's load. Reports are hints: an instance that
 * hears from no other one decides on its own work.
 */
import type {Clock, UpstreamId} from '@toucanrouter/common';
import {hash32} from '@toucanrouter/common';
import {getOrCreate} from '../GetOrCreate.js';
import type {CountByKind} from '../upstreams/EngineDivision.js';
import {addCounts, noCount} from '../upstreams/EngineDivision.js';

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
  readonly inFlight: CountByKind;
  /** Engines of each kind in the division of this instance. */
  readonly engines: CountByKind;
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
export type OthersLoad = Omit<UpstreamLoad, 'upstream'>;

/** No load. */
export const noLoad: OthersLoad = {
  running: 0,
  waitingPromptTokens: 0,
  failed: 0,
  served: 0,
};

/** Loads of other instances. */
export interface PeerLoads {
  receive(report: LoadReport): void;
  /** The others' work at an upstream. */
  at(upstreamId: UpstreamId): OthersLoad;
  /** The others' requests at engines. */
  inFlight(): CountByKind;
  /**
   * The division of the instance that the others follow: the lowest id among
   * those heard from. Undefined when that is `selfId`, or nobody is heard from.
   */
  leadingEngines(selfId: ShortId): CountByKind | undefined;
  /** Instances heard from recently. */
  count(): number;
}

/** Reports of a few instances are sent at this interval. */
const shortestIntervalMs = 200;
/** With many instances the interval grows, so that bytes grow linearly. */
const intervalPerPeerMs = 10;
/** A report of a few instances describes what is in flight for this long. */
const shortestLifetimeMs = 1_500;
/** Intervals after which an instance that is not heard from is left out. */
const missedIntervals = 3;

/** Time between the reports of an instance that has this many peers. */
export function reportIntervalMs(peerCount: number): number {
  return Math.max(shortestIntervalMs, peerCount * intervalPerPeerMs);
}

/** An older report no longer describes what is in flight. */
export function reportLifetimeMs(peerCount: number): number {
  return Math.max(
    shortestLifetimeMs,
    reportIntervalMs(peerCount) * missedIntervals,
  );
}

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
  const received = new Map<ShortId, Received>();
  const shortIds = new Map<UpstreamId, UpstreamShortId>();
  const totals = new Map<UpstreamShortId, OthersLoad>();
  let inFlight: CountByKind = noCount;
  let validUntilMs = -Infinity;

  const shortIdOfUpstream = (id: UpstreamId) =>
    getOrCreate(shortIds, id, () => upstreamShortIdOf(id));

  function add({upstream, ...load}: UpstreamLoad): void {
    const total = totals.get(upstream) ?? noLoad;
    totals.set(upstream, {
      running: total.running + load.running,
      waitingPromptTokens: total.waitingPromptTokens + load.waitingPromptTokens,
      failed: total.failed + load.failed,
      served: total.served + load.served,
    });
  }

  /** Adds up the reports anew after one came or one expired. */
  function refresh(): void {
    const nowMs = clock.nowMs();
    if (nowMs < validUntilMs) return;
    const lifetimeMs = reportLifetimeMs(received.size);
    totals.clear();
    inFlight = noCount;
    validUntilMs = Infinity;
    for (const [instanceId, {receivedAtMs, report}] of received) {
      const expiresAtMs = receivedAtMs + lifetimeMs;
      if (expiresAtMs <= nowMs) {
        received.delete(instanceId);
        continue;
      }
      validUntilMs = Math.min(validUntilMs, expiresAtMs);
      inFlight = addCounts(inFlight, report.inFlight);
      report.loads.forEach(add);
    }
  }

  return {
    receive: report => {
      const known = received.get(report.instanceId);
      if (known !== undefined && !isNewer(report, known.report)) return;
      received.set(report.instanceId, {report, receivedAtMs: clock.nowMs()});
      validUntilMs = -Infinity;
    },
    at: upstreamId => {
      refresh();
      return totals.get(shortIdOfUpstream(upstreamId)) ?? noLoad;
    },
    inFlight: () => {
      refresh();
      return inFlight;
    },
    leadingEngines: selfId => {
      refresh();
      const leader = [...received.keys()].reduce(
        (lowest, id) => (id < lowest ? id : lowest),
        selfId,
      );
      return received.get(leader)?.report.engines;
    },
    count: () => {
      refresh();
      return received.size;
    },
  };
}

/** Layout of a datagram; reports are sent often, so each byte counts. */
const formatVersion = 6;
const headerBytes = 25;
const loadBytes = 5;
const maxCount = 0xff;
/** Waiting tokens are sent in units of this many. */
const tokenUnit = 512;
/** Failed and served requests take half a byte each. */
const maxOutcomes = 0xf;

function toCount(value: number): number {
  return Math.min(Math.max(0, Math.round(value)), maxCount);
}

/** Large counts are scaled down together, which keeps their ratio. */
function packOutcomes({failed, served}: UpstreamLoad): number {
  const scale = Math.min(1, maxOutcomes / Math.max(failed, served, 1));
  return (Math.round(failed * scale) << 4) | Math.round(served * scale);
}

function writeCounts(datagram: Buffer, counts: CountByKind, at: number): void {
  datagram.writeUInt16BE(counts.prompt, at);
  datagram.writeUInt16BE(counts.interactive, at + 2);
}

function readCounts(datagram: Buffer, at: number): CountByKind {
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
  writeCounts(datagram, report.engines, 21);
  report.loads.forEach((load, index) => {
    const at = headerBytes + index * loadBytes;
    datagram.writeUInt16BE(load.upstream, at);
    datagram.writeUInt8(toCount(load.running), at + 2);
    datagram.writeUInt8(toCount(load.waitingPromptTokens / tokenUnit), at + 3);
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
      waitingPromptTokens: datagram.readUInt8(at + 3) * tokenUnit,
      failed: datagram.readUInt8(at + 4) >> 4,
      served: datagram.readUInt8(at + 4) & maxOutcomes,
    });
  }
  return {
    instanceId: datagram.readUInt32BE(1) as ShortId,
    startedAtMs: datagram.readDoubleBE(5),
    sequence: datagram.readUInt32BE(13),
    inFlight: readCounts(datagram, 17),
    engines: readCounts(datagram, 21),
    loads,
  };
}
