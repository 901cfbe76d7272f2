import type {Socket} from 'node:dgram';
import {createSocket} from 'node:dgram';
import {
  createManualClock,
  createSystemClock,
  delay,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import type {QuarantineReport} from '@toucanrouter/policy';
import {segmentHashOf} from '@toucanrouter/policy';
import {expect} from 'chai';
import {createLoadExchange} from '../../peers/LoadExchange.js';
import {createPeerDirectory} from '../../peers/PeerDirectory.js';
import {encodeQuarantineReport} from '../../peers/QuarantineCodec.js';

const host = '127.0.0.1';
const deliveryMs = 50;

async function bindSocket(): Promise<Socket> {
  const socket = createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(0, host, resolve));
  return socket;
}

async function freeUdpPort(): Promise<number> {
  const socket = await bindSocket();
  const {port} = socket.address();
  await new Promise<void>(resolve => socket.close(resolve));
  return port;
}

/** Starts an exchange whose only peer is the returned socket. */
async function startExchange() {
  const peer = await bindSocket();
  const port = await freeUdpPort();
  const peers = createPeerDirectory(toInstanceId('self'));
  peers.put({
    instanceId: toInstanceId('peer'),
    address: {host, port: peer.address().port},
  });
  const received: QuarantineReport[] = [];
  const exchange = createLoadExchange({
    clock: createManualClock(),
    logger: createLogger({
      format: 'json',
      level: 'error',
      instanceId: toInstanceId('self'),
      write: () => undefined,
    }),
    instanceId: toInstanceId('self'),
    listen: {host, port},
    peers,
    takeWork: () => {
      throw new Error('no load report is due');
    },
    onReport: () => undefined,
    takeQuarantine: () => undefined,
    onQuarantine: report => received.push(report),
  });
  exchange.start();
  return {exchange, peer, port, received};
}

const report: QuarantineReport = {
  crashes: [],
  verdicts: [
    {
      segment: segmentHashOf('part'),
      ageMs: 1,
      evidenceAgeMs: 2,
      remainingMs: 3,
    },
  ],
  clearings: [],
};

describe('createLoadExchange', () => {
  it('accepts quarantine reports only from the addresses of peers', async () => {
    const {exchange, peer, port, received} = await startExchange();
    const stranger = await bindSocket();
    const clock = createSystemClock();
    for (const datagram of encodeQuarantineReport(report)) {
      stranger.send(datagram, port, host);
      await delay(clock, deliveryMs);
      expect(received).to.have.length(0);
      peer.send(datagram.subarray(0, -1), port, host);
      peer.send(datagram, port, host);
      await delay(clock, deliveryMs);
    }
    expect(received).to.deep.equal([report]);
    exchange.close();
    stranger.close();
    peer.close();
  });
});
