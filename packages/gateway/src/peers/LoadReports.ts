/**
 * What the instances tell each other of their work in flight. Load pattern:
 * several instances send to the same engines, and each would otherwise see
 * only its own share of an engine's load. Reports are hints: an instance that
 * hears from no other one decides on its own work.
 */
import type {Clock, UpstreamId} from '@toucanrouter/common';
import {hash64} from '@toucanrouter/common';
import type {SeenWork} from '../upstreams/EngineDivision.js';
import {addWork, noWork} from '../upstreams/EngineDivision.js';

declare const shortIdBrand: unique symbol;

/** Hash of an id, which stands for it in reports. */
export type ShortId = number & {readonly [shortIdBrand]: true};

const shortIdMask = 0xffffffffn;

/** The short form of an id; a clash would only make an estimate worse. */
export function shortIdOf(id: string): ShortId {
  return Number(hash64(id) & shortIdMask) as ShortId;
}

/** Work in flight at one upstream. */
export interface UpstreamLoad {
  readonly upstream: ShortId;
  readonly running: number;
  /** Prompt tokens of requests that have no first answer yet. */
  readonly waitingPromptTokens: number;
}

/** What one instance tells. */
export interface LoadReport {
  readonly instanceId: ShortId;
  /** Start of the process; a report of an earlier start is ignored. */
  readonly startedAtMs: number;
  /** Grows with each report, since datagrams may overtake each other. */
  readonly sequence: number;
  readonly work: SeenWork;
  readonly loads: readonly UpstreamLoad[];
}

/** The others' work in flight at an upstream. */
export type OthersLoad = Omit<UpstreamLoad, 'upstream'>;

const noLoad: OthersLoad = {running: 0, waitingPromptTokens: 0};

/** Loads of other instances. */
export interface PeerLoads {
  receive(report: LoadReport): void;
  /** The others' work at an upstream. */
  at(upstreamId: UpstreamId): OthersLoad;
  /** The others' recent work. */
  work(): SeenWork;
  /** Instances heard from recently. */
  count(): number;
}

/** A report older than this no longer describes what is in flight. */
export const reportLifetimeMs = 1_500;

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
  const shortIds = new Map<UpstreamId, ShortId>();
  const totals = new Map<ShortId, OthersLoad>();
  let work: SeenWork = noWork;
  let validUntilMs = -Infinity;

  function shortIdOfUpstream(id: UpstreamId): ShortId {
    const known = shortIds.get(id);
    if (known !== undefined) return known;
    const shortId = shortIdOf(id);
    shortIds.set(id, shortId);
    return shortId;
  }

  function add({running, upstream, waitingPromptTokens}: UpstreamLoad): void {
    const total = totals.get(upstream) ?? noLoad;
    totals.set(upstream, {
      running: total.running + running,
      waitingPromptTokens: total.waitingPromptTokens + waitingPromptTokens,
    });
  }

  /** Adds up the reports anew after one came or one expired. */
  function refresh(): void {
    const nowMs = clock.nowMs();
    if (nowMs < validUntilMs) return;
    totals.clear();
    work = noWork;
    validUntilMs = Infinity;
    for (const [instanceId, {receivedAtMs, report}] of received) {
      const expiresAtMs = receivedAtMs + reportLifetimeMs;
      if (expiresAtMs <= nowMs) {
        received.delete(instanceId);
        continue;
      }
      validUntilMs = Math.min(validUntilMs, expiresAtMs);
      work = addWork(work, report.work);
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
    work: () => {
      refresh();
      return work;
    },
    count: () => {
      refresh();
      return received.size;
    },
  };
}

/** Layout of a datagram; reports are sent often, so each byte counts. */
const formatVersion = 1;
const headerBytes = 30;
const loadBytes = 7;
const maxRunning = 0xff;
/** Waiting tokens are sent in units of this many. */
const tokenUnit = 64;
const maxTokenUnits = 0xffff;

/** Encodes a report as a datagram. */
export function encodeReport(report: LoadReport): Buffer {
  const datagram = Buffer.alloc(headerBytes + report.loads.length * loadBytes);
  datagram.writeUInt8(formatVersion, 0);
  datagram.writeUInt32BE(report.instanceId, 1);
  datagram.writeDoubleBE(report.startedAtMs, 5);
  datagram.writeUInt32BE(report.sequence, 13);
  datagram.writeUInt32BE(Math.round(report.work.long_prompt), 17);
  datagram.writeUInt32BE(Math.round(report.work.short_prompt), 21);
  datagram.writeUInt32BE(Math.round(report.work.generation), 25);
  report.loads.forEach(({running, upstream, waitingPromptTokens}, index) => {
    const at = headerBytes + index * loadBytes;
    const units = Math.round(Math.max(0, waitingPromptTokens) / tokenUnit);
    datagram.writeUInt32BE(upstream, at);
    datagram.writeUInt8(Math.min(running, maxRunning), at + 4);
    datagram.writeUInt16BE(Math.min(units, maxTokenUnits), at + 5);
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
      upstream: datagram.readUInt32BE(at) as ShortId,
      running: datagram.readUInt8(at + 4),
      waitingPromptTokens: datagram.readUInt16BE(at + 5) * tokenUnit,
    });
  }
  return {
    instanceId: datagram.readUInt32BE(1) as ShortId,
    startedAtMs: datagram.readDoubleBE(5),
    sequence: datagram.readUInt32BE(13),
    work: {
      long_prompt: datagram.readUInt32BE(17),
      short_prompt: datagram.readUInt32BE(21),
      generation: datagram.readUInt32BE(25),
    },
    loads,
  };
}
