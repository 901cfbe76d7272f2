/**
 * Datagram format of quarantine reports. The first byte differs from those of
 * load reports, so that instances of builds without a quarantine ignore them. A
 * report is split over datagrams that fit into one packet.
 */
import type {
  QuarantineReport,
  ReportedClearing,
  ReportedCrash,
  ReportedVerdict,
  RequestHash,
  SegmentHash,
  UpstreamStartHash,
  InterruptedRequest,
} from '@toucanrouter/policy';
import type {DatagramReader} from './ReportDatagrams.js';
import {
  decodeDatagram,
  joinItems,
  maxDatagramBytes,
  timeToUint32,
} from './ReportDatagrams.js';

const formatVersion = 0x51;
const crashTag = 1;
const verdictTag = 2;
const clearingTag = 3;

const hashBytes = 4;
const timeBytes = 4;
const tagBytes = 1;
const countBytes = 1;
const versionBytes = 1;
const crashHeaderBytes = tagBytes + hashBytes + timeBytes + countBytes;
/** Fits into one byte, and several parts into a datagram. */
const maxSegmentsPerPart = 128;

function uint32s(...values: readonly number[]): Buffer {
  const buffer = Buffer.alloc(values.length * hashBytes);
  values.forEach((value, index) =>
    buffer.writeUInt32BE(value, index * hashBytes),
  );
  return buffer;
}

/** Encodes a request; one with many segments is split, which peers merge. */
function encodeRequest({request, segments}: InterruptedRequest): Buffer[] {
  const partCount = Math.max(
    1,
    Math.ceil(segments.length / maxSegmentsPerPart),
  );
  return Array.from({length: partCount}, (_, index) => {
    const from = index * maxSegmentsPerPart;
    const part = segments.slice(from, from + maxSegmentsPerPart);
    return Buffer.concat([
      uint32s(request),
      Buffer.of(part.length),
      uint32s(...part),
    ]);
  });
}

/** Encodes a crash; one with many requests is split, which peers merge. */
function encodeCrash({ageMs, requests, upstream}: ReportedCrash): Buffer[] {
  const maxBytes = maxDatagramBytes - versionBytes - crashHeaderBytes;
  const groups: Buffer[][] = [];
  let groupBytes = Infinity;
  for (const request of requests.flatMap(encodeRequest)) {
    const fits = groupBytes + request.length <= maxBytes;
    if (!fits) groups.push([]);
    groups.at(-1)?.push(request);
    groupBytes = (fits ? groupBytes : 0) + request.length;
  }
  return groups.map(group =>
    Buffer.concat([
      Buffer.of(crashTag),
      uint32s(upstream, timeToUint32(ageMs)),
      Buffer.of(group.length),
      ...group,
    ]),
  );
}

function encodeVerdict(verdict: ReportedVerdict): Buffer {
  return Buffer.concat([
    Buffer.of(verdictTag),
    uint32s(
      verdict.segment,
      timeToUint32(verdict.ageMs),
      timeToUint32(verdict.evidenceAgeMs),
      timeToUint32(verdict.remainingMs),
    ),
  ]);
}

function encodeClearing({ageMs, segment}: ReportedClearing): Buffer {
  return Buffer.concat([
    Buffer.of(clearingTag),
    uint32s(segment, timeToUint32(ageMs)),
  ]);
}

/** Encodes a report as datagrams. */
export function encodeQuarantineReport(
  report: QuarantineReport,
): readonly Buffer[] {
  const items = [
    ...report.clearings.map(encodeClearing),
    ...report.verdicts.map(encodeVerdict),
    ...report.crashes.flatMap(encodeCrash),
  ];
  return joinItems(Buffer.of(formatVersion), items);
}

/** Returns whether a datagram claims to be a quarantine report. */
export function isQuarantineReport(datagram: Buffer): boolean {
  return datagram.length > 0 && datagram.readUInt8(0) === formatVersion;
}

function readCrash(reader: DatagramReader): ReportedCrash {
  const upstream = reader.uint32() as UpstreamStartHash;
  const ageMs = reader.uint32();
  const requests = Array.from({length: reader.byte()}, () => ({
    request: reader.uint32() as RequestHash,
    segments: Array.from(
      {length: reader.byte()},
      () => reader.uint32() as SegmentHash,
    ),
  }));
  return {upstream, ageMs, requests};
}

function readVerdict(reader: DatagramReader): ReportedVerdict {
  return {
    segment: reader.uint32() as SegmentHash,
    ageMs: reader.uint32(),
    evidenceAgeMs: reader.uint32(),
    remainingMs: reader.uint32(),
  };
}

function readClearing(reader: DatagramReader): ReportedClearing {
  return {segment: reader.uint32() as SegmentHash, ageMs: reader.uint32()};
}

/** Decodes a datagram; returns undefined if it is not a valid report. */
export function decodeQuarantineReport(
  datagram: Buffer,
): QuarantineReport | undefined {
  if (!isQuarantineReport(datagram)) return undefined;
  return decodeDatagram(datagram, reader => {
    const crashes: ReportedCrash[] = [];
    const verdicts: ReportedVerdict[] = [];
    const clearings: ReportedClearing[] = [];
    reader.byte();
    while (!reader.isAtEnd()) {
      const tag = reader.byte();
      if (tag === crashTag) crashes.push(readCrash(reader));
      else if (tag === verdictTag) verdicts.push(readVerdict(reader));
      else if (tag === clearingTag) clearings.push(readClearing(reader));
      else return undefined;
    }
    return {crashes, verdicts, clearings};
  });
}
