/**
 * Datagram format of load reports. It is compact because reports are sent often.
 * Instances of the previous build may still run: their reports are decoded, with
 * nothing for the fields that they lack.
 */
import type {WorkKindCounts} from '@toucanrouter/policy';
import {zeroCounts} from '@toucanrouter/policy';
import type {SentPrefix} from '../upstreams/PrefixAffinity.js';
import type {
  LoadReport,
  ServiceEstimates,
  UpstreamLoad,
} from './LoadReports.js';
import type {
  PrefixHash,
  ServiceShortId,
  ShortId,
  UpstreamShortId,
} from './ShortIds.js';

const formatVersion = 7;
const previousFormatVersion = 6;

/** Version, instance, start, sequence, requests in flight and pool sizes. */
const headerBytes = 25;
/** Offered work and the number of estimates and prefixes, before the lists. */
const extensionBytes = 6;
const loadBytes = 5;
const estimatesBytes = 7;
const prefixBytes = 6;

const maxByte = 0xff;
const maxUint16 = 0xffff;
/** Waiting prompt tokens are encoded in units of this many. */
const tokensPerUnit = 512;
/** Failed and served requests are encoded in half a byte each. */
const maxOutcomes = 0xf;
/** Offered work is encoded in units of this many engines. */
const enginesPerUnit = 0.01;
/** Times of estimates are encoded in these units. */
const baseMsPerUnit = 0.1;
const prefillMsPerUnit = 0.000_1;

function clampToByte(value: number): number {
  return Math.min(Math.max(0, Math.round(value)), maxByte);
}

function clampToUint16(value: number): number {
  return Math.min(Math.max(0, Math.round(value)), maxUint16);
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
  datagram.writeUInt16BE(clampToUint16(counts.prompt), at);
  datagram.writeUInt16BE(clampToUint16(counts.interactive), at + 2);
}

function readCounts(datagram: Buffer, at: number): WorkKindCounts {
  return {
    prompt: datagram.readUInt16BE(at),
    interactive: datagram.readUInt16BE(at + 2),
  };
}

function scaleCounts(counts: WorkKindCounts, factor: number): WorkKindCounts {
  return {
    interactive: counts.interactive * factor,
    prompt: counts.prompt * factor,
  };
}

function writeLoad(datagram: Buffer, load: UpstreamLoad, at: number): void {
  const tokenUnits = load.waitingPromptTokens / tokensPerUnit;
  datagram.writeUInt16BE(load.upstream, at);
  datagram.writeUInt8(clampToByte(load.running), at + 2);
  datagram.writeUInt8(clampToByte(tokenUnits), at + 3);
  datagram.writeUInt8(packOutcomes(load), at + 4);
}

function readLoad(datagram: Buffer, at: number): UpstreamLoad {
  return {
    upstream: datagram.readUInt16BE(at) as UpstreamShortId,
    running: datagram.readUInt8(at + 2),
    waitingPromptTokens: datagram.readUInt8(at + 3) * tokensPerUnit,
    failed: datagram.readUInt8(at + 4) >> 4,
    served: datagram.readUInt8(at + 4) & maxOutcomes,
  };
}

function writeEstimates(
  datagram: Buffer,
  estimates: ServiceEstimates,
  at: number,
): void {
  const baseUnits = estimates.baseMs / baseMsPerUnit;
  const prefillUnits = estimates.prefillMsPerToken / prefillMsPerUnit;
  datagram.writeUInt16BE(estimates.service, at);
  datagram.writeUInt16BE(clampToUint16(baseUnits), at + 2);
  datagram.writeUInt16BE(clampToUint16(prefillUnits), at + 4);
  datagram.writeUInt8(clampToByte(estimates.observations), at + 6);
}

function readEstimates(datagram: Buffer, at: number): ServiceEstimates {
  return {
    service: datagram.readUInt16BE(at) as ServiceShortId,
    baseMs: datagram.readUInt16BE(at + 2) * baseMsPerUnit,
    prefillMsPerToken: datagram.readUInt16BE(at + 4) * prefillMsPerUnit,
    observations: datagram.readUInt8(at + 6),
  };
}

function writePrefix(datagram: Buffer, sent: SentPrefix, at: number): void {
  datagram.writeUInt32BE(sent.prefix, at);
  datagram.writeUInt16BE(sent.upstream, at + 4);
}

function readPrefix(datagram: Buffer, at: number): SentPrefix {
  return {
    prefix: datagram.readUInt32BE(at) as PrefixHash,
    upstream: datagram.readUInt16BE(at + 4) as UpstreamShortId,
  };
}

/** Encodes a report as a datagram. */
export function encodeReport(report: LoadReport): Buffer {
  const estimates = report.estimates.slice(0, maxByte);
  const prefixes = report.sentPrefixes.slice(0, maxByte);
  const estimatesAt = headerBytes + extensionBytes;
  const prefixesAt = estimatesAt + estimates.length * estimatesBytes;
  const loadsAt = prefixesAt + prefixes.length * prefixBytes;
  const datagram = Buffer.alloc(loadsAt + report.loads.length * loadBytes);
  datagram.writeUInt8(formatVersion, 0);
  datagram.writeUInt32BE(report.instanceId, 1);
  datagram.writeDoubleBE(report.startedAtMs, 5);
  datagram.writeUInt32BE(report.sequence, 13);
  writeCounts(datagram, report.inFlight, 17);
  writeCounts(datagram, report.poolSizes, 21);
  writeCounts(
    datagram,
    scaleCounts(report.offered, 1 / enginesPerUnit),
    headerBytes,
  );
  datagram.writeUInt8(estimates.length, headerBytes + 4);
  datagram.writeUInt8(prefixes.length, headerBytes + 5);
  estimates.forEach((item, index) =>
    writeEstimates(datagram, item, estimatesAt + index * estimatesBytes),
  );
  prefixes.forEach((item, index) =>
    writePrefix(datagram, item, prefixesAt + index * prefixBytes),
  );
  report.loads.forEach((item, index) =>
    writeLoad(datagram, item, loadsAt + index * loadBytes),
  );
  return datagram;
}

function readList<Item>(
  datagram: Buffer,
  from: number,
  count: number,
  itemBytes: number,
  read: (datagram: Buffer, at: number) => Item,
): readonly Item[] {
  return Array.from({length: count}, (_, index) =>
    read(datagram, from + index * itemBytes),
  );
}

type ReportHeader = Pick<
  LoadReport,
  'inFlight' | 'instanceId' | 'poolSizes' | 'sequence' | 'startedAtMs'
>;

function readHeader(datagram: Buffer): ReportHeader {
  return {
    instanceId: datagram.readUInt32BE(1) as ShortId,
    startedAtMs: datagram.readDoubleBE(5),
    sequence: datagram.readUInt32BE(13),
    inFlight: readCounts(datagram, 17),
    poolSizes: readCounts(datagram, 21),
  };
}

/** Returns the number of loads from `at` to the end; undefined if not whole. */
function loadCount(datagram: Buffer, at: number): number | undefined {
  const count = (datagram.length - at) / loadBytes;
  return count >= 0 && Number.isInteger(count) ? count : undefined;
}

function decodePreviousFormat(datagram: Buffer): LoadReport | undefined {
  const count = loadCount(datagram, headerBytes);
  if (count === undefined) return undefined;
  return {
    ...readHeader(datagram),
    offered: zeroCounts,
    estimates: [],
    sentPrefixes: [],
    loads: readList(datagram, headerBytes, count, loadBytes, readLoad),
  };
}

/** Decodes a datagram; returns undefined if it is not a valid report. */
export function decodeReport(datagram: Buffer): LoadReport | undefined {
  if (datagram.length < headerBytes) return undefined;
  const version = datagram.readUInt8(0);
  if (version === previousFormatVersion) return decodePreviousFormat(datagram);
  const estimatesAt = headerBytes + extensionBytes;
  if (version !== formatVersion || datagram.length < estimatesAt) {
    return undefined;
  }
  const estimateCount = datagram.readUInt8(headerBytes + 4);
  const prefixCount = datagram.readUInt8(headerBytes + 5);
  const prefixesAt = estimatesAt + estimateCount * estimatesBytes;
  const loadsAt = prefixesAt + prefixCount * prefixBytes;
  const count = loadCount(datagram, loadsAt);
  if (count === undefined) return undefined;
  return {
    ...readHeader(datagram),
    offered: scaleCounts(readCounts(datagram, headerBytes), enginesPerUnit),
    estimates: readList(
      datagram,
      estimatesAt,
      estimateCount,
      estimatesBytes,
      readEstimates,
    ),
    sentPrefixes: readList(
      datagram,
      prefixesAt,
      prefixCount,
      prefixBytes,
      readPrefix,
    ),
    loads: readList(datagram, loadsAt, count, loadBytes, readLoad),
  };
}
