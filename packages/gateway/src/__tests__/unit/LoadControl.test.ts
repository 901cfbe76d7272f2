import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import {
  createManualClock,
  createSeededRandom,
  delay,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {expect} from 'chai';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import type {LoadControl} from '../../request/LoadControl.js';
import {createLoadControl} from '../../request/LoadControl.js';
import {createActiveConfig} from '../../config/ActiveConfig.js';
import {createConfig, createRoute} from './GatewayFixtures.js';
import {
  sendRequestTo,
  startGateway as startGatewayServer,
} from './GatewayServerFixtures.js';
import {
  clock,
  host,
  startGateway as startWholeGateway,
} from './RunningGatewayFixtures.js';
import {testDialect} from './TestDialect.js';

/** Length of a turn of the event loop that is kept busy. */
const busyTurnMs = 300;
const busyForMs = 3_000;
const requestCount = 20;
/** Far above the time in which all requests are admitted again. */
const recoveredWithinMs = 40_000;

/** Keeps the event loop of this process busy until the result is called. */
function keepLoopBusy(): () => void {
  let stopped = false;
  const turn = () => {
    if (stopped) return;
    const endMs = clock.nowMs() + busyTurnMs;
    while (clock.nowMs() < endMs);
    setImmediate(turn);
  };
  turn();
  return () => {
    stopped = true;
  };
}

/** Starts an upstream that counts its requests. */
async function startUpstream() {
  let count = 0;
  const server: Server = createServer((message, response) => {
    count += 1;
    message.resume();
    response.writeHead(200, {id: String(message.headers['id']), mark: 'm'});
    response.end('served');
  });
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  return {server, count: () => count};
}

async function statusesOf(
  port: number,
  idPrefix: string,
): Promise<readonly number[]> {
  const responses = await Promise.all(
    Array.from({length: requestCount}, (_, index) =>
      sendRequestTo(port, '/chat/x', 'key', `${idPrefix}${index}`),
    ),
  );
  for (const {status, retryAfter} of responses) {
    if (status === 503) expect(Number(retryAfter)).to.be.greaterThan(0);
  }
  return responses.map(({status}) => status);
}

/** Load control of a process that runs late. */
function createLateControl(
  unreadMs: number,
  refusal?: string,
): Pick<LoadControl, 'unreadMs' | 'tryAdmit' | 'loopDelay'> {
  return {
    unreadMs: () => unreadMs,
    tryAdmit: () => refusal,
    loopDelay: {
      start: () => undefined,
      currentMs: () => unreadMs,
      unreadMs: () => 0,
      recentMaxMs: () => unreadMs,
      maxMs: () => unreadMs,
      close: () => undefined,
    },
  };
}

function createControl(
  routes: readonly Partial<GatewayRoute>[],
  loopUtilization = 1,
) {
  const manual = createManualClock();
  let lateMs = 0;
  const lines: string[] = [];
  const config = createActiveConfig(() => undefined);
  config.applyIfNewer(createConfig({routes: routes.map(createRoute)}));
  const refused: string[] = [];
  const control = createLoadControl({
    clock: {
      ...manual,
      after: (delayMs, run) => manual.after(delayMs + lateMs, run),
    },
    logger: createLogger({
      format: 'json',
      level: 'info',
      instanceId: toInstanceId('i'),
      write: line => lines.push(line),
    }),
    random: createSeededRandom(1),
    loopUtilization: () => loopUtilization,
    config,
    queueWaitMs: () => 0,
    onRefused: (tier, reason) => refused.push(`${tier} ${reason}`),
  });
  control.loopDelay.start();
  return {
    control,
    lines,
    refused,
    runLate: (delayMs: number, forMs: number) => {
      lateMs = delayMs;
      manual.advance(forMs);
    },
  };
}

describe('LoadControl', function () {
  this.timeout(90_000);

  // Guards against a busy instance that lets all requests wait unread.
  it('refuses requests while the event loop is busy, and serves them again', async () => {
    const upstream = await startUpstream();
    const {gateway, port} = await startWholeGateway(
      upstream.server,
      createSeededRandom(1),
      {route: {targetLatencyMs: 300, timeoutMs: 30_000}},
    );
    const before = await statusesOf(port, 'a');
    const stopBusy = keepLoopBusy();
    await delay(clock, busyForMs);
    const receivedBefore = upstream.count();
    const busy = await statusesOf(port, 'b');
    const received = upstream.count() - receivedBefore;
    stopBusy();
    const endMs = clock.nowMs() + recoveredWithinMs;
    let after = await statusesOf(port, 'c');
    while (after.includes(503) && clock.nowMs() < endMs) {
      await delay(clock, 500);
      after = await statusesOf(port, 'd');
    }
    await gateway.close();
    upstream.server.close();
    expect(before).to.not.include(503);
    const refusedCount = busy.filter(status => status === 503).length;
    expect(refusedCount).to.be.greaterThan(requestCount / 2);
    expect(received).to.equal(requestCount - refusedCount);
    expect(after).to.not.include(503);
  });

  // Guards against a refused request that reaches an upstream all the same.
  it('refuses a request before an upstream is chosen', async () => {
    const upstream = await startUpstream();
    const gateway = await startGatewayServer({}, [upstream.server], {
      loadControl: createLateControl(500, 'busy'),
    });
    const response = await sendRequestTo(gateway.port);
    await gateway.close();
    expect(response.status).to.equal(503);
    expect(Number(response.retryAfter)).to.be.greaterThan(0);
    expect(upstream.count()).to.equal(0);
    expect(gateway.ended.map(({outcome}) => outcome)).to.deep.equal([
      'overloaded',
    ]);
  });

  // Guards against a refused caller that sends bytes without end, which the
  // instance would read and discard.
  it('closes the connection of a refused body without a length', async () => {
    const gateway = await startGatewayServer({}, [createServer()], {
      loadControl: createLateControl(500, 'busy'),
    });
    const socket = connect(gateway.port, '127.0.0.1');
    socket.write(
      'POST /chat/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nauthorization: key\r\n' +
        'transfer-encoding: chunked\r\n\r\n1\r\nx\r\n',
    );
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    await once(socket, 'end');
    socket.destroy();
    await gateway.close();
    expect(received).to.match(/^HTTP\/1\.1 503 /);
    expect(received.toLowerCase()).to.include('connection: close');
  });

  // Guards against an answer that is sent after the caller has given up.
  it('counts the time that a request waited unread in its deadlines', async () => {
    const limitMs = 1_500;
    const unreadMs = 700;
    let toldMs = 0;
    const silent = createServer(message => {
      toldMs = Number(message.headers['remaining']);
    });
    const gateway = await startGatewayServer({}, [silent], {
      loadControl: createLateControl(unreadMs),
      dialect: {
        ...testDialect,
        readRequest: message => ({
          ...testDialect.readRequest(message),
          callerTimeoutMs: limitMs,
        }),
        upstreamHeaders: (request, attributes) => [
          ...testDialect.upstreamHeaders(request, attributes),
          'remaining',
          String(attributes.remainingMs),
        ],
      },
    });
    const startedAtMs = clock.nowMs();
    await sendRequestTo(gateway.port);
    const tookMs = clock.nowMs() - startedAtMs;
    silent.closeAllConnections();
    await gateway.close();
    expect(toldMs).to.be.within(1, limitMs - unreadMs);
    expect(tookMs).to.be.lessThan(limitMs - unreadMs + 150);
  });

  // Guards against a stream that is cut before its caller's limit, because the
  // time for which its request may have waited was taken for certain.
  it('lets a stream that has begun go on until its full limit', async () => {
    const limitMs = 1_500;
    const unreadMs = 1_000;
    const streaming = createServer((message, response) => {
      response.writeHead(200, {
        id: String(message.headers['id']),
        mark: '1',
        'content-type': 'text/event-stream',
      });
      response.write('id: 1\ndata: x\n\n');
      clock.after(limitMs - unreadMs + 300, () =>
        response.end('id: 2\ndata: x\n\n'),
      );
    });
    const gateway = await startGatewayServer({streams: true}, [streaming], {
      loadControl: createLateControl(unreadMs),
      dialect: {
        ...testDialect,
        readRequest: message => ({
          ...testDialect.readRequest(message),
          callerTimeoutMs: limitMs,
        }),
      },
    });
    const response = await sendRequestTo(gateway.port);
    streaming.closeAllConnections();
    await gateway.close();
    expect(response.body).to.include('id: 2');
    expect(response.complete).to.equal(true);
  });

  // Guards against a target that fits one deployment only.
  it('derives the acceptable delay from the shortest target latency', () => {
    const late = (targetLatencyMs: number) => {
      const {control, runLate} = createControl([
        {targetLatencyMs},
        {targetLatencyMs: 5_000, pathPrefix: '/slow/'},
      ]);
      runLate(250, 3_000);
      return {share: control.admittedShare(), unreadMs: control.unreadMs()};
    };
    expect(late(2_000)).to.deep.equal({share: 1, unreadMs: 0});
    expect(late(300).share).to.be.lessThan(0.5);
    expect(late(300).unreadMs).to.be.at.least(250);
  });

  // Guards against refusals for a delay that other processes cause.
  it('refuses for load only while the event loop does not wait', () => {
    const shareAt = (loopUtilization: number) => {
      const {control, runLate} = createControl([{}], loopUtilization);
      runLate(1_000, 10_000);
      return control.admittedShare();
    };
    expect(shareAt(1)).to.be.lessThan(0.5);
    expect(shareAt(0.3)).to.equal(1);
  });

  // Guards against a flood of log lines, and against shedding without one.
  it('logs once when shedding begins and once when it ends', () => {
    const {control, lines, refused, runLate} = createControl([{}]);
    for (let round = 0; round < 3; round += 1) {
      runLate(400, 2_500);
      control.tryAdmit({tier: 0, limitMs: 100});
      runLate(0, 2_000);
    }
    runLate(0, 10_000);
    const messages = lines.map(
      line => (JSON.parse(line) as {message: string}).message,
    );
    expect(messages).to.deep.equal([
      'load is shed for lack of processor time',
      'load is no longer shed',
    ]);
    expect(refused).to.include('0 late');
    expect(control.admittedShare()).to.equal(1);
  });
});
