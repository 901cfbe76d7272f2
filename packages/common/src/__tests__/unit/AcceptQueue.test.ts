import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';
import {createServer} from 'node:net';
import {performance} from 'node:perf_hooks';
import {Worker} from 'node:worker_threads';
import {expect} from 'chai';
import {closeOnceAccepted} from '../../AcceptQueue.js';
import {createSystemClock, delay} from '../../Clock.js';

const callerCount = 20;
const host = '127.0.0.1';
/** Connects while the thread of the server is blocked. */
const callers = `
  const {workerData} = require('node:worker_threads');
  const {connect} = require('node:net');
  const {port, host, count, connected} = workerData;
  for (let index = 0; index < count; index++) {
    const socket = connect(port, host, () => Atomics.add(connected, 0, 1));
    socket.on('error', () => undefined);
  }
`;

/** Starts a server in whose queue connections wait. */
async function startWithWaitingConnections(): Promise<{
  readonly server: Server;
  readonly worker: Worker;
}> {
  const server = createServer(socket => socket.on('error', () => undefined));
  server.listen(0, host);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const connected = new Int32Array(new SharedArrayBuffer(4));
  const workerData = {port, host, count: callerCount, connected};
  const worker = new Worker(callers, {eval: true, workerData});
  await once(worker, 'online');
  while (Atomics.load(connected, 0) < callerCount);
  return {server, worker};
}

/** Milliseconds for which the server is busy with each connection. */
const servingMs = 5;
/** Connects all the time, and counts the connections by what became of them. */
const steadyCallers = `
  const {workerData} = require('node:worker_threads');
  const {connect} = require('node:net');
  const {port, host, counts} = workerData;
  const timer = setInterval(() => {
    if (Atomics.load(counts, 2) > 0) return clearInterval(timer);
    let isAnswered = false;
    let isConnected = false;
    const socket = connect(port, host, () => (isConnected = true));
    socket.on('data', () => {
      isAnswered = true;
      Atomics.add(counts, 0, 1);
    });
    socket.on('error', () => {
      if (isConnected && !isAnswered) Atomics.add(counts, 1, 1);
    });
  }, 1);
`;

/** Closes the listener of a server that accepts later than callers connect. */
async function closeBesideSteadyCallers() {
  let acceptedCount = 0;
  const server = createServer(socket => {
    acceptedCount += 1;
    socket.on('error', () => undefined);
    socket.end('x');
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < servingMs);
  });
  server.listen({port: 0, host, backlog: 1_024});
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const counts = new Int32Array(new SharedArrayBuffer(12));
  const workerData = {port, host, counts};
  const worker = new Worker(steadyCallers, {eval: true, workerData});
  while (acceptedCount < 10) await once(server, 'connection');
  await closeOnceAccepted({
    server,
    close: () => server.close(),
    isLate: () => acceptedCount >= 30,
    isOverdue: () => acceptedCount >= 400,
  });
  Atomics.store(counts, 2, 1);
  await delay(createSystemClock(), 300);
  await worker.terminate();
  const [answeredCount = 0, resetCount = 0] = counts;
  return {answeredCount, resetCount};
}

describe('AcceptQueue', () => {
  // Guards against a stop that resets connections which wait to be accepted.
  it('accepts all connections that wait', async () => {
    const {server, worker} = await startWithWaitingConnections();
    let acceptedCount = 0;
    server.on('connection', () => (acceptedCount += 1));
    const accepted = await closeOnceAccepted({
      server,
      close: () => server.close(),
      isLate: () => false,
      isOverdue: () => false,
    });
    await worker.terminate();
    expect(acceptedCount).to.equal(callerCount);
    expect(accepted).to.deep.equal({acceptedCount, isQueueEmpty: true});
  });

  // Guards against a stop that new connections hold up for ever.
  it('ends when it is overdue', async () => {
    const {server, worker} = await startWithWaitingConnections();
    let turns = 0;
    const accepted = await closeOnceAccepted({
      server,
      close: () => server.close(),
      isLate: () => false,
      isOverdue: () => (turns += 1) > 3,
    });
    await worker.terminate();
    // The fourth time it is overdue, and the next connection is the last one.
    expect(turns).to.equal(5);
    expect(server.listening).to.equal(false);
    expect(accepted.acceptedCount).to.be.at.most(4);
    expect(accepted.isQueueEmpty).to.equal(false);
  });

  // Guards against a stop that resets what waits, because more arrives than a
  // process without processor time accepts. One may arrive as it closes.
  it('answers all connections although more arrive than it accepts', async () => {
    const {answeredCount, resetCount} = await closeBesideSteadyCallers();
    expect(answeredCount).to.be.at.least(30);
    expect(resetCount).to.be.at.most(1);
  });
});
