/**
 * Datagram format of reports on the request rates of upstreams. The first byte
 * differs from those of other reports, so that instances of builds that do not
 * know these ignore them. A report is split over datagrams that fit into one
 * packet; each has the head of the report.
 */
import type {
  ProcessHash,
  RateReport,
  RateServiceHash,
  RateStatement,
  ServiceDemand,
} from '@toucanrouter/policy';
import {maxDemandTiers} from '@toucanrouter/policy';
import type {DatagramReader} from './ReportDatagrams.js';
import {
  createDatagramWriter,
  decodeDatagram,
  joinItems,
} from './ReportDatagrams.js';
import type {ShortId} from './ShortIds.js';

const formatVersion = 0x72;
const statementTag = 1;
const endedStatementTag = 2;
const demandTag = 3;

function encodeHead(report: RateReport<ShortId>): Buffer {
  const writer = createDatagramWriter();
  writer.byte(formatVersion);
  writer.uint32(report.instanceId);
  writer.double(report.startedAtMs);
  writer.uint32(report.sequence);
  return writer.bytes();
}

function encodeStatement(statement: RateStatement): Buffer {
  const {endedAgeMs, perS, process, statedAgeMs} = statement;
  const writer = createDatagramWriter();
  writer.byte(endedAgeMs === undefined ? statementTag : endedStatementTag);
  writer.uint32(process);
  writer.double(perS);
  writer.timeMs(statedAgeMs);
  if (endedAgeMs !== undefined) writer.timeMs(endedAgeMs);
  return writer.bytes();
}

function encodeDemand({perS, service}: ServiceDemand): Buffer {
  const tiers = perS.slice(0, maxDemandTiers);
  const writer = createDatagramWriter();
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
  const datagrams = joinItems(head, [
    ...report.statements.map(encodeStatement),
    ...report.demands.map(encodeDemand),
  ]);
  // Without items the report says that there is no demand.
  return datagrams.length > 0 ? datagrams : [head];
}

/** Returns whether a datagram claims to be a report on request rates. */
export function isRateReport(datagram: Buffer): boolean {
  return datagram.length > 0 && datagram.readUInt8(0) === formatVersion;
}

function readStatement(reader: DatagramReader, hasEnd: boolean): RateStatement {
  const process = reader.uint32() as ProcessHash;
  const perS = reader.double();
  const statedAgeMs = reader.uint32();
  const endedAgeMs = hasEnd ? reader.uint32() : undefined;
  return {process, perS, statedAgeMs, endedAgeMs};
}

function readDemand(reader: DatagramReader): ServiceDemand {
  const service = reader.uint32() as RateServiceHash;
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
  return decodeDatagram(datagram, reader => {
    const statements: RateStatement[] = [];
    const demands: ServiceDemand[] = [];
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
  });
}
