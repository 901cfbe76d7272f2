/**
 * Exchanges reports with peers over UDP: of the load, of the quarantine, of the
 * request rates of upstreams, and for the instance that holds the duties.
 */
import type {RemoteInfo, Socket} from 'node:dgram';
import {createSocket} from 'node:dgram';
import type {Clock, InstanceId, ListenError} from '@toucanrouter/common';
import {createListener} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {QuarantineReport, RateReport} from '@toucanrouter/policy';
import type {ListenAddress} from '@toucanrouter/settings';
import {decodeReport, encodeReport} from './LoadReportCodec.js';
import type {DutyReport, DutyReportContent} from './DutyReportCodec.js';
import {
  decodeDutyReport,
  encodeDutyReport,
  isDutyReport,
} from './DutyReportCodec.js';
import type {LoadReport, ReportedWork} from './LoadReports.js';
import type {PeerDirectory} from './PeerDirectory.js';
import {
  decodeQuarantineReport,
  encodeQuarantineReport,
  isQuarantineReport,
} from './QuarantineCodec.js';
import {
  decodeRateReport,
  encodeRateReport,
  isRateReport,
} from './RateReportCodec.js';
import type {ReportSchedule} from './ReportSchedule.js';
import {createReportSchedule} from './ReportSchedule.js';
import type {ShortId} from './ShortIds.js';
import {shortIdOf} from './ShortIds.js';

/** Options of an exchange. */
export interface LoadExchangeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly instanceId: InstanceId;
  readonly listen: ListenAddress;
  readonly peers: PeerDirectory;
  /** Returns the work to report; called once for each report that is sent. */
  readonly takeWork: () => ReportedWork;
  /** Receives the reports of peers. */
  readonly onReport: (report: LoadReport) => void;
  /** Returns what peers should know of the quarantine, if anything. */
  readonly takeQuarantine: () => QuarantineReport | undefined;
  /** Receives the quarantine reports of peers. */
  readonly onQuarantine: (report: QuarantineReport) => void;
  /** Returns what peers should know of request rates, if anything. */
  readonly takeRates: () => RateReport<ShortId> | undefined;
  /** Receives the reports of peers on request rates. */
  readonly onRates: (report: RateReport<ShortId>) => void;
  /** Receives the reports of peers for the instance that holds the duties. */
  readonly onDutyReport: (report: DutyReport) => void;
}

/** A running exchange. */
export interface LoadExchange {
  start(): void;
  /** Whether reports of peers are received. */
  isOpen(): boolean;
  /** Sends a report as soon as the rate limit allows. */
  reportSoon(): void;
  /** The same for a quarantine report. */
  reportQuarantineSoon(): void;
  /** The same for a report on request rates. */
  reportRatesSoon(): void;
  /** Sends a report for the duties to some peers. */
  sendDutyReport(report: DutyReportContent, to: readonly InstanceId[]): void;
  close(): void;
}

/** Creates an exchange that has not started. */
export function createLoadExchange(options: LoadExchangeOptions): LoadExchange {
  const {clock, listen, logger, peers} = options;
  const socket = createSocket('udp4');
  const listener = createListener({
    clock,
    log: logger,
    purpose: 'reports of peers',
    target: listen,
    tryOpen: () => bindOnce(socket, listen),
    undoOpen: () => undefined,
    // The instance serves without reports, whatever the error is.
    isFinal: () => false,
  });
  const selfId = shortIdOf(options.instanceId);
  const startedAtMs = clock.wallMs();
  let sequence = 0;
  let dutySequence = 0;
  let wasIdle = false;
  let sendFailed = false;

  function send(): void {
    const work = options.takeWork();
    const idle = work.loads.length === 0 && work.sentPrefixes.length === 0;
    // One empty report clears the load at the peers; further ones are redundant.
    if (idle && wasIdle) return;
    wasIdle = idle;
    sequence += 1;
    const datagram = encodeReport({
      instanceId: selfId,
      startedAtMs,
      sequence,
      ...work,
    });
    sendToPeers(datagram);
  }

  function sendToPeers(datagram: Buffer): void {
    // Sending binds an unbound socket to another port, for good.
    if (!listener.isOpen()) return;
    for (const {host, port} of peers.addresses()) {
      socket.send(datagram, port, host, logSendError);
    }
  }

  function sendQuarantine(): void {
    const report = options.takeQuarantine();
    if (report === undefined) return;
    encodeQuarantineReport(report).forEach(sendToPeers);
  }

  function sendRates(): void {
    const report = options.takeRates();
    if (report === undefined) return;
    encodeRateReport(report).forEach(sendToPeers);
  }

  function sendDutyReport(
    content: DutyReportContent,
    to: readonly InstanceId[],
  ): void {
    if (!listener.isOpen()) return;
    const addresses = to
      .map(peers.addressOf)
      .filter(address => address !== undefined);
    dutySequence += 1;
    const datagrams = encodeDutyReport({
      instanceId: selfId,
      startedAtMs,
      sequence: dutySequence,
      ...content,
    });
    for (const {host, port} of addresses) {
      for (const datagram of datagrams) {
        socket.send(datagram, port, host, logSendError);
      }
    }
  }

  function logSendError(error: Error | null): void {
    const failed = error !== null;
    if (failed && !sendFailed) {
      logger.warn('sending reports to peers failed', {
        error: error.message,
      });
    }
    sendFailed = failed;
  }

  const schedule: ReportSchedule = createReportSchedule({
    clock,
    peerCount: () => peers.addresses().length,
    send,
  });
  const quarantineSchedule: ReportSchedule = createReportSchedule({
    clock,
    peerCount: () => peers.addresses().length,
    send: sendQuarantine,
  });
  const rateSchedule: ReportSchedule = createReportSchedule({
    clock,
    peerCount: () => peers.addresses().length,
    send: sendRates,
  });

  function receiveQuarantine(datagram: Buffer): void {
    const report = decodeQuarantineReport(datagram);
    if (report !== undefined) options.onQuarantine(report);
  }

  function receiveRates(datagram: Buffer, peer: ShortId): void {
    const report = decodeRateReport(datagram);
    if (report?.instanceId === peer) options.onRates(report);
  }

  function receiveDutyReport(datagram: Buffer, peer: ShortId): void {
    const report = decodeDutyReport(datagram);
    if (report?.instanceId === peer) options.onDutyReport(report);
  }

  /** The peer that is registered with the sender's address. */
  function peerOf({address, port}: RemoteInfo): ShortId | undefined {
    const peer = peers.peerAt({host: address, port});
    return peer && shortIdOf(peer);
  }

  socket.on('message', (datagram, sender) => {
    // A forged verdict, or a forged rate, would block sound requests, and load
    // reports of many instances would fill the memory.
    const peer = peerOf(sender);
    if (peer === undefined) return;
    if (isQuarantineReport(datagram)) {
      receiveQuarantine(datagram);
      return;
    }
    if (isRateReport(datagram)) {
      receiveRates(datagram, peer);
      return;
    }
    if (isDutyReport(datagram)) {
      receiveDutyReport(datagram, peer);
      return;
    }
    const report = decodeReport(datagram);
    if (report === undefined) {
      logger.warn('ignored a datagram that is not a valid load report', {
        bytes: datagram.length,
      });
    } else if (report.instanceId === peer) options.onReport(report);
  });
  socket.on('error', (error: ListenError) => {
    if (!listener.isOpen()) return;
    logger.error('socket of the load exchange failed', {
      code: error.code,
      error: error.message,
    });
  });
  return {
    start: () => {
      void listener.open();
      schedule.start();
      quarantineSchedule.start();
      rateSchedule.start();
    },
    isOpen: listener.isOpen,
    reportSoon: schedule.reportSoon,
    reportQuarantineSoon: quarantineSchedule.reportSoon,
    reportRatesSoon: rateSchedule.reportSoon,
    sendDutyReport,
    close: () => {
      schedule.close();
      quarantineSchedule.close();
      rateSchedule.close();
      listener.close();
      socket.close();
    },
  };
}

function bindOnce(
  socket: Socket,
  {host, port}: ListenAddress,
): Promise<number> {
  return new Promise((resolve, reject) => {
    const onListening = () => {
      socket.off('error', onError);
      resolve(socket.address().port);
    };
    const onError = (error: Error) => {
      socket.off('listening', onListening);
      reject(error);
    };
    socket.once('listening', onListening);
    socket.once('error', onError);
    socket.bind({address: host, port, exclusive: true});
  });
}
