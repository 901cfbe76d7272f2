import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer, Server as TcpServer} from 'node:net';
import {Server} from '@grpc/grpc-js';
import {createSystemClock, toInstanceId} from '@toucanrouter/common';
import {expect} from 'chai';
import {createPeerHub} from '../../PeerHub.js';

const host = '127.0.0.1';

describe('PeerHub', () => {
  // Guards against a memory leak: gRPC keeps a server until it is shut down, and
  // an instance tries again for as long as its port is taken.
  it('shuts its server down when the address is taken', async () => {
    const holder = createServer();
    holder.listen(0, host);
    await once(holder, 'listening');
    const {port} = holder.address() as AddressInfo;
    const {forceShutdown} = Server.prototype;
    let shutdownCount = 0;
    Server.prototype.forceShutdown = function (this: Server) {
      shutdownCount += 1;
      forceShutdown.call(this);
    };
    const hub = await createPeerHub({
      selfId: toInstanceId('i'),
      listen: {host, port},
      clock: createSystemClock(),
      createHeartbeat: () => {
        throw new Error('the hub is not open');
      },
      onEnvelope: () => undefined,
    });
    Server.prototype.forceShutdown = forceShutdown;
    holder.close();
    expect(hub.isErr()).to.equal(true);
    expect(shutdownCount).to.equal(1);
  });

  // Guards against errors of accept that nobody can see.
  it('reports errors of its open listener and stays open', async () => {
    const {listen} = TcpServer.prototype;
    const servers: TcpServer[] = [];
    TcpServer.prototype.listen = function (
      this: TcpServer,
      ...options: Parameters<typeof listen>
    ) {
      servers.push(this);
      return listen.apply(this, options);
    } as typeof listen;
    const errors: string[] = [];
    const hub = await createPeerHub({
      selfId: toInstanceId('i'),
      listen: {host, port: 0},
      clock: createSystemClock(),
      createHeartbeat: () => {
        throw new Error('the hub has no links');
      },
      onEnvelope: () => undefined,
      onListenerError: ({message}) => errors.push(message),
    });
    TcpServer.prototype.listen = listen;
    for (const server of servers) server.emit('error', new Error('EMFILE'));
    const isListening = servers.map(server => server.listening);
    hub._unsafeUnwrap().close();
    expect(errors).to.deep.equal(['EMFILE']);
    expect(isListening).to.deep.equal([true]);
  });
});
