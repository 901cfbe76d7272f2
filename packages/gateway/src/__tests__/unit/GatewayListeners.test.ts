import type {Socket as UdpSocket} from 'node:dgram';
import {createSocket} from 'node:dgram';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {Server as TcpServer} from 'node:net';
import {createServer as createTcpServer} from 'node:net';
import {createSeededRandom, delay} from '@toucanrouter/common';
import type {GatewaySettings, ListenAddress} from '@toucanrouter/settings';
import {expect} from 'chai';
import type {Gateway} from '../../Gateway.js';
import {
  clock,
  createSettings,
  createTestGateway,
  host,
  readinessPath,
} from './RunningGatewayFixtures.js';

const pollMs = 25;
/** Far above the delay between attempts, also on a busy machine. */
const openWithinMs = 10_000;
/** Half of the time that a stop waits for the load balancer to notice it. */
const promptStopMs = 1_300;

interface Fixture {
  readonly settings: GatewaySettings;
  readonly gateway: Gateway;
  /** Calls the instance; undefined if no response arrived. */
  call(at: ListenAddress, path: string): Promise<string | undefined>;
  logLines(message: string): readonly string[];
  close(): Promise<void>;
}

async function createFixture(
  changeAddresses: (
    settings: GatewaySettings,
  ) => Partial<GatewaySettings> = () => ({}),
): Promise<Fixture> {
  const lines: string[] = [];
  const upstream = await startUpstream();
  const unchanged = await createSettings();
  const settings: GatewaySettings = {
    ...unchanged,
    ...changeAddresses(unchanged),
    logLevel: 'info',
  };
  const random = createSeededRandom(1);
  const gateway = createTestGateway(settings, upstream, random, line =>
    lines.push(line),
  );
  return {
    settings,
    gateway,
    call: (at, path) => call(at.port, path),
    logLines: message =>
      lines.filter(line => line.includes(`"message":"${message}"`)),
    close: async () => {
      await gateway.close();
      upstream.closeAllConnections();
      upstream.close();
    },
  };
}

async function startUpstream(): Promise<Server> {
  const server = createServer((message, response) => {
    message.resume();
    response.writeHead(200, {id: String(message.headers['id']), mark: 'm'});
    response.end('served');
  });
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  return server;
}

async function call(port: number, path: string): Promise<string | undefined> {
  try {
    const response = await fetch(`http://${host}:${port}${path}`, {
      headers: {id: 'r', connection: 'close'},
      signal: AbortSignal.timeout(openWithinMs),
    });
    return `${response.status} ${await response.text()}`;
  } catch {
    return undefined;
  }
}

/** Takes a port as a predecessor does that resets its connections. */
async function takePort({port}: ListenAddress): Promise<TcpServer> {
  const server = createTcpServer(socket => socket.destroy());
  await new Promise<void>(resolve => server.listen(port, host, resolve));
  return server;
}

async function takeUdpPort({port}: ListenAddress): Promise<UdpSocket> {
  const socket = createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(port, host, resolve));
  return socket;
}

function releasePort(holder: TcpServer | UdpSocket): Promise<void> {
  return new Promise(resolve => holder.close(() => resolve()));
}

async function isUdpPortTaken({port}: ListenAddress): Promise<boolean> {
  const socket = createSocket('udp4');
  const taken = await new Promise<boolean>(resolve => {
    socket.once('error', () => resolve(true));
    socket.bind({address: host, port, exclusive: true}, () => resolve(false));
  });
  socket.close();
  return taken;
}

/** Returns the last value once it is as wanted or the time has passed. */
async function waitFor<T>(
  read: () => Promise<T>,
  isWanted: (value: T) => boolean,
): Promise<T> {
  const endMs = clock.nowMs() + openWithinMs;
  for (;;) {
    const value = await read();
    if (isWanted(value) || clock.nowMs() > endMs) return value;
    await delay(clock, pollMs);
  }
}

describe('Listeners of a gateway', () => {
  // Guards against an instance that says it is ready while callers are refused.
  it('is not ready while the port for callers is taken, and then serves', async () => {
    const fixture = await createFixture();
    const {callers, readiness} = fixture.settings;
    const holder = await takePort(callers);
    const started = fixture.gateway.start().catch(() => undefined);
    const whileTaken = await waitFor(
      () => fixture.call(readiness, readinessPath),
      text => text !== undefined && !text.includes('no configuration'),
    );
    await releasePort(holder);
    const afterwards = await waitFor(
      () => fixture.call(callers, '/chat/x'),
      text => text === '200 served',
    );
    await started;
    const ready = await fixture.call(readiness, readinessPath);
    await fixture.close();
    expect({whileTaken, afterwards, ready}).to.deep.equal({
      whileTaken: '503 not ready: the listener for callers is not open\n',
      afterwards: '200 served',
      ready: '200 ready\n',
    });
    expect(fixture.logLines('listener cannot be opened')).to.have.length(1);
  });

  // Guards against an instance that no load balancer can ever find ready.
  it('answers readiness checks once their port is free', async () => {
    const fixture = await createFixture();
    const {callers, readiness} = fixture.settings;
    const holder = await takePort(readiness);
    const started = fixture.gateway.start().catch(() => undefined);
    const served = await waitFor(
      () => fixture.call(callers, '/chat/x'),
      text => text === '200 served',
    );
    await releasePort(holder);
    const ready = await waitFor(
      () => fixture.call(readiness, readinessPath),
      text => text === '200 ready\n',
    );
    await started;
    await fixture.close();
    expect({served, ready}).to.deep.equal({
      served: '200 served',
      ready: '200 ready\n',
    });
  });

  // Guards against an instance that never exchanges reports or shows metrics.
  it('serves without metrics and peers until their ports are free', async () => {
    const fixture = await createFixture();
    const {callers, metrics, peers, readiness} = fixture.settings;
    const holders = await Promise.all([
      takePort(metrics),
      takePort(peers),
      takeUdpPort(peers),
    ]);
    const started = fixture.gateway.start().catch(() => undefined);
    const ready = await waitFor(
      () => fixture.call(readiness, readinessPath),
      text => text === '200 ready\n',
    );
    const served = await fixture.call(callers, '/chat/x');
    await Promise.all(holders.map(releasePort));
    const metricsStatus = await waitFor(
      async () => (await fixture.call(metrics, '/metrics'))?.slice(0, 3),
      text => text === '200',
    );
    const peersAnswer = await waitFor(
      () => fixture.call(peers, '/'),
      text => text !== undefined,
    );
    const reportsReceived = await waitFor(
      () => isUdpPortTaken(peers),
      taken => taken,
    );
    await started;
    await fixture.close();
    expect({ready, served, metricsStatus, reportsReceived}).to.deep.equal({
      ready: '200 ready\n',
      served: '200 served',
      metricsStatus: '200',
      reportsReceived: true,
    });
    expect(peersAnswer, 'answer on the port for peers').to.be.a('string');
  });

  const sharedPorts: Readonly<
    Record<string, (settings: GatewaySettings) => Partial<GatewaySettings>>
  > = {
    'callers and peers': ({callers}) => ({peers: callers}),
    'readiness checks and peers': ({readiness}) => ({peers: readiness}),
    'callers and metrics': ({callers}) => ({metrics: callers}),
    'readiness checks and metrics': ({readiness}) => ({metrics: readiness}),
  };
  for (const [purposes, changeAddresses] of Object.entries(sharedPorts)) {
    // Guards against an instance that is never ready, because another of its
    // listeners has the port.
    it(`is ready and serves if ${purposes} have one port`, async () => {
      const fixture = await createFixture(changeAddresses);
      const {callers, readiness} = fixture.settings;
      const started = fixture.gateway.start().catch(() => undefined);
      const ready = await waitFor(
        () => fixture.call(readiness, readinessPath),
        text => text === '200 ready\n',
      );
      const served = await fixture.call(callers, '/chat/x');
      const logged = await waitFor(
        async () => fixture.logLines('listener cannot be opened'),
        lines => lines.length > 0,
      );
      await fixture.close();
      await started;
      expect({ready, served}).to.deep.equal({
        ready: '200 ready\n',
        served: '200 served',
      });
      expect(logged).to.have.length(1);
    });

    // Guards against a listener that takes the port while a predecessor ends.
    it(`lets the required one of ${purposes} have a port that becomes free`, async () => {
      const fixture = await createFixture(changeAddresses);
      const {callers, metrics, peers, readiness} = fixture.settings;
      const sharedPort = [callers, readiness].find(({port}) =>
        [metrics.port, peers.port].includes(port),
      );
      const holder = await takePort(sharedPort!);
      const started = fixture.gateway.start().catch(() => undefined);
      await waitFor(
        async () => fixture.logLines('listener cannot be opened'),
        lines => lines.length > 0,
      );
      await releasePort(holder);
      const ready = await waitFor(
        () => fixture.call(readiness, readinessPath),
        text => text === '200 ready\n',
      );
      const served = await fixture.call(callers, '/chat/x');
      await fixture.close();
      await started;
      expect({ready, served}).to.deep.equal({
        ready: '200 ready\n',
        served: '200 served',
      });
    });
  }

  // Guards against a stop that waits for callers which cannot exist.
  it('stops promptly while the port for callers is taken', async () => {
    const fixture = await createFixture();
    const holder = await takePort(fixture.settings.callers);
    const started = fixture.gateway.start().catch(() => undefined);
    const stopStartMs = clock.nowMs();
    await fixture.close();
    const stopMs = clock.nowMs() - stopStartMs;
    const outcome = await started;
    await releasePort(holder);
    expect(stopMs).to.be.lessThan(promptStopMs);
    expect(outcome?.isErr()).to.equal(true);
  });
});
