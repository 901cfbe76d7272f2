/**
 * Exchanges load reports with peers over UDP.
 */
import {createSocket} from 'node:dgram';
import type {Clock, InstanceId} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {ListenAddress} from '@toucanrouter/settings';
import type {PeerLoadTable, ReportedWork} from './LoadReports.js';
import {
  decodeReport,
  encodeReport,
  reportIntervalMs,
  shortIdOf,
} from './LoadReports.js';
import type {PeerDirectory} from './PeerDirectory.js';

/** Options of an exchange. */
export interface LoadExchangeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly instanceId: InstanceId;
  readonly listen: ListenAddress;
  readonly peers: PeerDirectory;
  readonly loads: PeerLoadTable;
  readonly localWork: () => ReportedWork;
}

/** A running exchange. */
export interface LoadExchange {
  start(): void;
  close(): void;
}

/** Creates an exchange that has not started. */
export function createLoadExchange(options: LoadExchangeOptions): LoadExchange {
  const {clock, listen, loads, logger, peers} = options;
  const socket = createSocket('udp4');
  const selfId = shortIdOf(options.instanceId);
  const startedAtMs = clock.wallMs();
  let sequence = 0;
  let closed = false;
  let wasIdle = false;
  let sendFailed = false;

  function send(): void {
    const work = options.localWork();
    const idle = work.loads.length === 0;
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
    for (const {host, port} of peers.addresses()) {
      socket.send(datagram, port, host, logSendError);
    }
  }

  function logSendError(error: Error | null): void {
    const failed = error !== null;
    if (failed && !sendFailed) {
      logger.warn('sending load reports to peers failed', {
        error: error.message,
      });
    }
    sendFailed = failed;
  }

  function schedule(): void {
    if (closed) return;
    clock.after(reportIntervalMs(peers.addresses().length), () => {
      if (closed) return;
      send();
      schedule();
    });
  }

  socket.on('message', datagram => {
    const report = decodeReport(datagram);
    if (report === undefined) {
      logger.warn('ignored a datagram that is not a valid load report', {
        bytes: datagram.length,
      });
    } else if (report.instanceId !== selfId) loads.receive(report);
  });
  socket.on('error', error =>
    logger.error('socket of the load exchange failed', {error: error.message}),
  );
  return {
    start: () => {
      socket.bind({address: listen.host, port: listen.port, exclusive: true});
      schedule();
    },
    close: () => {
      closed = true;
      socket.close();
    },
  };
}
