/**
 * Datagram format of reports for the instance that holds the duties: the usage
 * that an instance counted and the demand for engines that it sees. The first
 * byte differs from those of other reports. A report is split over datagrams that
 * fit into one packet; each has the head of the report.
 */
import type {ServiceName, WorkspaceId} from '@toucanrouter/common';
import {toServiceName, toWorkspaceId} from '@toucanrouter/common';
import type {ServiceDemand, UsageCount} from '@toucanrouter/duties';
import {toWindowIndex} from '@toucanrouter/duties';
import type {DatagramReader} from './ReportDatagrams.js';
import {
  createDatagramWriter,
  decodeDatagram,
  joinItems,
} from './ReportDatagrams.js';
import type {ShortId} from './ShortIds.js';

/** What an instance reports. */
export interface DutyReportContent {
  /** Fleet time of the report. */
  readonly countedAtMs: number;
  readonly counts: readonly UsageCount[];
  readonly demands: readonly ServiceDemand[];
}

/** A report with its sender. */
export interface DutyReport extends DutyReportContent {
  readonly instanceId: ShortId;
  /** Start of the sender's process by its wall clock. */
  readonly startedAtMs: number;
  /** Increases with each report; its datagrams share it. */
  readonly sequence: number;
}

const formatVersion = 0x75;
const countTag = 1;
const demandTag = 2;
/** Longer names do not fit into their length byte, and are not reported. */
const maxNameBytes = 255;

function encodeHead(report: DutyReport): Buffer {
  const writer = createDatagramWriter();
  writer.byte(formatVersion);
  writer.uint32(report.instanceId);
  writer.double(report.startedAtMs);
  writer.uint32(report.sequence);
  writer.double(report.countedAtMs);
  return writer.bytes();
}

function encodeCount({count, window, workspaceId}: UsageCount): Buffer {
  const writer = createDatagramWriter();
  writer.byte(countTag);
  writer.double(window);
  writer.text(workspaceId);
  writer.uint32(count);
  return writer.bytes();
}

function encodeDemand(demand: ServiceDemand): Buffer {
  const {inFlight, offered} = demand;
  const writer = createDatagramWriter();
  writer.byte(demandTag);
  writer.text(demand.service);
  writer.float(offered.interactive);
  writer.float(offered.prompt);
  writer.uint32(inFlight.interactive);
  writer.uint32(inFlight.prompt);
  return writer.bytes();
}

function fitsName(name: ServiceName | WorkspaceId): boolean {
  return Buffer.byteLength(name) <= maxNameBytes;
}

/** Encodes a report as datagrams. */
export function encodeDutyReport(report: DutyReport): readonly Buffer[] {
  const head = encodeHead(report);
  const counts = report.counts.filter(({workspaceId}) => fitsName(workspaceId));
  const demands = report.demands.filter(({service}) => fitsName(service));
  const datagrams = joinItems(head, [
    ...demands.map(encodeDemand),
    ...counts.map(encodeCount),
  ]);
  // Without items the report says that there is nothing to count.
  return datagrams.length > 0 ? datagrams : [head];
}

/** Returns whether a datagram claims to be a report for the duties. */
export function isDutyReport(datagram: Buffer): boolean {
  return datagram.length > 0 && datagram.readUInt8(0) === formatVersion;
}

function readCount(reader: DatagramReader): UsageCount {
  return {
    window: toWindowIndex(reader.double()),
    workspaceId: toWorkspaceId(reader.text()),
    count: reader.uint32(),
  };
}

function readDemand(reader: DatagramReader): ServiceDemand {
  return {
    service: toServiceName(reader.text()),
    offered: {interactive: reader.float(), prompt: reader.float()},
    inFlight: {interactive: reader.uint32(), prompt: reader.uint32()},
  };
}

const isAmount = (value: number) => Number.isFinite(value) && value >= 0;

function isValid(report: DutyReport): boolean {
  return (
    Number.isFinite(report.startedAtMs) &&
    Number.isFinite(report.countedAtMs) &&
    report.counts.every(({window}) => Number.isSafeInteger(window)) &&
    report.demands.every(
      ({offered}) => isAmount(offered.interactive) && isAmount(offered.prompt),
    )
  );
}

/** Decodes a datagram; returns undefined if it is not a valid report. */
export function decodeDutyReport(datagram: Buffer): DutyReport | undefined {
  if (!isDutyReport(datagram)) return undefined;
  return decodeDatagram(datagram, reader => {
    const counts: UsageCount[] = [];
    const demands: ServiceDemand[] = [];
    reader.byte();
    const head = {
      instanceId: reader.uint32() as ShortId,
      startedAtMs: reader.double(),
      sequence: reader.uint32(),
      countedAtMs: reader.double(),
    };
    while (!reader.isAtEnd()) {
      const tag = reader.byte();
      if (tag === countTag) counts.push(readCount(reader));
      else if (tag === demandTag) demands.push(readDemand(reader));
      else return undefined;
    }
    const report = {...head, counts, demands};
    return isValid(report) ? report : undefined;
  });
}
