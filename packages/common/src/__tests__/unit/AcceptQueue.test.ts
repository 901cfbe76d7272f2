import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';
import {createServer} from 'node:net';
import {Worker} from 'node:worker_threads';
import {expect} from 'chai';
import {acceptWaitingConnections} from '../../AcceptQueue.js';

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

describe('AcceptQueue', () => {
  // Guards against a stop that resets connections which wait to be accepted.
  it('accepts all connections that wait', async () => {
    const {server, worker} = await startWithWaitingConnections();
    let acceptedCount = 0;
    server.on('connection', () => (acceptedCount += 1));
    await acceptWaitingConnections(server, () => false);
    server.close();
    await worker.terminate();
    expect(acceptedCount).to.equal(callerCount);
  });

  // Guards against a stop that new connections hold up for ever.
  it('ends when it is overdue', async () => {
    const {server, worker} = await startWithWaitingConnections();
    let turns = 0;
    await acceptWaitingConnections(server, () => (turns += 1) > 3);
    server.close();
    await worker.terminate();
    expect(turns).to.equal(4);
  });
});
