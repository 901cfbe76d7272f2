import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {createSystemClock, toInstanceId} from '@toucanrouter/common';
import {expect} from 'chai';
import {createConfigAge} from '../../config/ConfigAge.js';
import type {RelayClient} from '../../state/RelayClient.js';
import {createRelayClient} from '../../state/RelayClient.js';
import {createRelayServer, maxWaitingPolls} from '../../state/RelayServer.js';
import {createStateLog} from '../../state/StateLog.js';

const host = '127.0.0.1';
const timeoutMs = 2_000;
const longWaitMs = 4_000;

describe('RelayServer', () => {
  let server: Server;
  let client: RelayClient;
  let connected = true;

  beforeEach(done => {
    connected = true;
    const clock = createSystemClock();
    const configAge = createConfigAge(clock);
    configAge.confirmed(configAge.mark());
    const log = createStateLog(clock);
    const id = toInstanceId('a');
    const item = {key: 'k', value: 'ž'};
    log.record(item, {kind: 'peer_removed', id}, 5);
    log.advance(5);
    server = createRelayServer({
      clock,
      log,
      configAge,
      readAge: configAge,
      shownConfigVersion: () => 0,
      isConnected: () => connected,
      lastAbsence: () => undefined,
    });
    client = createRelayClient();
    server.listen(0, host, done);
  });

  afterEach(async () => {
    await client.close();
    await new Promise(resolve => server.close(resolve));
  });

  function read(revision: number, waitMs: number) {
    const {port} = server.address() as AddressInfo;
    return client.read({host, port}, revision, waitMs, timeoutMs);
  }

  it('sends its items to a client', async () => {
    const response = (await read(0, 0))._unsafeUnwrap();
    expect(response.revision).to.equal(5);
    expect(response.items).to.deep.equal([{key: 'k', value: 'ž'}]);
    expect(response.regainedAgoMs).to.equal(null);
  });

  it('refuses a client when it does not read the store', async () => {
    connected = false;
    const {message} = (await read(0, 0))._unsafeUnwrapErr();
    expect(message).to.include('status 503');
  });

  it('refuses values that are no numbers', async () => {
    const {message} = (await read(NaN, 0))._unsafeUnwrapErr();
    expect(message).to.include('status 400');
  });

  it('responds to a client that waits without changes', async () => {
    const response = (await read(5, 20))._unsafeUnwrap();
    expect(response.items).to.deep.equal([]);
  });

  /** Opens a connection whose poll waits. */
  async function openPoll(): Promise<Socket> {
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, host);
    const path = `/state?after=5&wait_ms=${longWaitMs}`;
    socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`);
    const requested = once(server, 'request');
    await once(socket, 'connect');
    await requested;
    return socket;
  }

  // Guards against polls on many connections that fill the heap together.
  it('refuses a poll when too many wait', async () => {
    const sockets = [];
    for (let count = 0; count < maxWaitingPolls; count += 1) {
      sockets.push(await openPoll());
    }
    const waiting = await read(5, timeoutMs);
    const changed = await read(0, timeoutMs);
    for (const socket of sockets) socket.destroy();
    expect(waiting._unsafeUnwrapErr().message).to.include('status 503');
    expect(changed._unsafeUnwrap().items).to.have.length(1);
  });
});
