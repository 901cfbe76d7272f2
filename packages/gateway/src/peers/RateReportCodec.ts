/**
 * Datagram format of reports on the request rates of upstreams. The first byte
 * differs from those of other reports, so that instances of builds that do not
 * know these ignore them. A report is split over datagrams that fit into one
 * packet; each has the head of the report.
 */
import type {
  ProcessHash,
  RateReport,
  RateStatement,
  ServiceDemand,
} from '@toucanrouter/policy';
import {maxDemandTiers} from '@toucanrouter/policy';
import type {ShortId} from './ShortIds.js';

const formatVersion = 0x72;
const statementTag = 1;
const endedStatementTag = 2;
const demandTag = 3;

/** Fits into one packet on common networks. */
const maxDatagramBytes = 1_200;
const uint32Bytes = 4;
const doubleBytes = 8;
const maxUint32 = 0xffffffff;

/** Writes values one after the other. */
function createWriter() {
  const parts: Buffer[] = [];
  const add = (bytes: number, write: (buffer: Buffer) => void) => {
    const buffer = Buffer.alloc(bytes);
    write(buffer);
    parts.push(buffer);
  };
  const uint32 = (value: number) =>
    add(uint32Bytes, buffer => buffer.writeUInt32BE(value));
  return {
    byte: (value: number) => parts.push(Buffer.of(value)),
    uint32,
    timeMs: (ms: number) =>
      uint32(Math.min(Math.max(0, Math.round(ms)), maxUint32)),
    float: (value: number) =>
      add(uint32Bytes, buffer => buffer.writeFloatBE(value)),
    double: (value: number) =>
      add(doubleBytes, buffer => buffer.writeDoubleBE(value)),
    bytes: () => Buffer.concat(parts),
  };
}

function encodeHead(report: RateReport<ShortId>): Buffer {
  const writer = createWriter();
  writer.byte(formatVersion);
  writer.uint32(report.instanceId);
  writer.double(report.startedAtMs);
  writer.uint32(report.sequence);
  return writer.bytes();
}

function encodeStatement(statement: RateStatement): Buffer {
  const {endedAgeMs, perS, process, statedAgeMs} = statement;
  const writer = createWriter();
  writer.byte(endedAgeMs === undefined ? statementTag : endedStatementTag);
  writer.uint32(process);
  writer.double(perS);
  writer.timeMs(statedAgeMs);
  if (endedAgeMs !== undefined) writer.timeMs(endedAgeMs);
  return writer.bytes();
}

function encodeDemand({perS, service}: ServiceDemand): Buffer {
  const tiers = perS.slice(0, maxDemandTiers);
  const writer = createWriter();
  writer.byte(demandTag);
  writer.uint32(service);
  writer.byte(tiers.length);
  for (const each of tiers) writer.float(each);
  return writer.bytes();
}

/** Encodes a report as datagrams. */
export function encodeRateReport(
  report: RateReport<ShortId>,
): readonly Buffer[] {
  const head = encodeHead(report);
  const datagrams: Buffer[] = [];
  let current = head;
  const items = [
    ...report.statements.map(encodeStatement),
    ...report.demands.map(encodeDemand),
  ];
  for (const item of items) {
    if (current.length + item.length > maxDatagramBytes) {
      datagrams.push(current);
      current = head;
    }
    current = Buffer.concat([current, item]);
  }
  return [...datagrams, current];
}

/** Returns whether a datagram claims to be a report on request rates. */
export function isRateReport(datagram: Buffer): boolean {
  return datagram.length > 0 && datagram.readUInt8(0) === formatVersion;
}

/** Reads a datagram from its start; throws a `RangeError` after its end. */
function createReader(datagram: Buffer) {
  let at = 0;
  const advance = (bytes: number) => {
    const from = at;
    at += bytes;
    return from;
  };
  return {
    isAtEnd: () => at >= datagram.length,
    byte: () => datagram.readUInt8(advance(1)),
    uint32: () => datagram.readUInt32BE(advance(uint32Bytes)),
    float: () => datagram.readFloatBE(advance(uint32Bytes)),
    double: () => datagram.readDoubleBE(advance(doubleBytes)),
  };
}

type Reader = ReturnType<typeof createReader>;

function readStatement(reader: Reader, hasEnd: boolean): RateStatement {
  const process = reader.uint32() as ProcessHash;
  const perS = reader.double();
  const statedAgeMs = reader.uint32();
  const endedAgeMs = hasEnd ? reader.uint32() : undefined;
  return {process, perS, statedAgeMs, endedAgeMs};
}

function readDemand(reader: Reader): ServiceDemand {
  const service = reader.uint32();
  const perS = Array.from({length: reader.byte()}, reader.float);
  return {service, perS};
}

const isRate = (value: number) => Number.isFinite(value) && value >= 0;

function isValid(report: RateReport<ShortId>): boolean {
  return (
    Number.isFinite(report.startedAtMs) &&
    report.statements.every(({perS}) => isRate(perS)) &&
    report.demands.every(
      ({perS}) => perS.length <= maxDemandTiers && perS.every(isRate),
    )
  );
}

/** Decodes a datagram; returns undefined if it is not a valid report. */
export function decodeRateReport(
  datagram: Buffer,
): RateReport<ShortId> | undefined {
  if (!isRateReport(datagram)) return undefined;
  if (datagram.length > maxDatagramBytes) return undefined;
  const reader = createReader(datagram);
  const statements: RateStatement[] = [];
  const demands: ServiceDemand[] = [];
  try {
    reader.byte();
    const head = {
      instanceId: reader.uint32() as ShortId,
      startedAtMs: reader.double(),
      sequence: reader.uint32(),
    };
    while (!reader.isAtEnd()) {
      const tag = reader.byte();
      if (tag === demandTag) demands.push(readDemand(reader));
      else if (tag === statementTag || tag === endedStatementTag) {
        statements.push(readStatement(reader, tag === endedStatementTag));
      } else return undefined;
    }
    const report = {...head, statements, demands};
    return isValid(report) ? report : undefined;
  } catch (error) {
    if (error instanceof RangeError) return undefined;
    throw error;
  }
}
