import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {
  LimitedGateway,
  LimitedGatewayOptions,
} from './LimitedGatewayFixtures.js';
import {
  call,
  memoryLimitBytes,
  startUpstream,
  withLimitedGateway,
} from './LimitedGatewayFixtures.js';

const host = '127.0.0.1';
const maxDescriptors = 400;
/** The rest is for connections to engines, the store and peers. */
const maxUsedDescriptors = 300;
const silentCount = 600;
const reconnectDelayMs = 100;
const crowdMs = 3_000;
const stalledCount = 60;
const declaredBytes = 4_000_000;
const missingBytes = 1_000;
const trickleIntervalMs = 500;
const maxWaitMs = 25_000;
const pipeliningCount = 40;
const pipelinedPost =
  'POST /chat/x HTTP/1.1\r\nHost: h\r\nid: p\r\nContent-Length: 1000\r\n\r\n' +
  'b'.repeat(1_000);
const pipelinedRequestsCount = 4_000;
const pollMs = 100;

/** Calls again while it is refused; returns the last status. */
async function callUntilServed(port: number): Promise<number | undefined> {
  for (let waitedMs = 0; ; waitedMs += pollMs) {
    const status = await call(port, 'afterwards');
    if (status !== 503 || waitedMs >= maxWaitMs) return status;
    await sleep(pollMs);
  }
}

/** Runs `use` with a gateway that other callers are to be served by then. */
async function withGateway(
  options: LimitedGatewayOptions,
  use: (gateway: LimitedGateway) => Promise<void>,
): Promise<void> {
  const upstream = await startUpstream();
  const {port} = upstream.address() as AddressInfo;
  try {
    await withLimitedGateway(
      port,
      async gateway => {
        await use(gateway);
        expect(await callUntilServed(gateway.port)).to.equal(200);
        expect(gateway.peakBytes()).to.be.below(memoryLimitBytes);
        expect(gateway.isRunning()).to.equal(true);
      },
      options,
    );
  } finally {
    upstream.closeAllConnections();
    upstream.close();
  }
}

/** Holds connections and opens each again when it is closed. */
function holdConnections(
  port: number,
  count: number,
  onConnect: (socket: Socket) => void,
): () => void {
  const sockets = new Set<Socket>();
  let isEnded = false;
  const open = () => {
    if (isEnded) return;
    const socket = connect(port, host, () => onConnect(socket));
    sockets.add(socket);
    socket.resume();
    socket.on('error', () => undefined);
    socket.once('close', () => {
      sockets.delete(socket);
      setTimeout(open, reconnectDelayMs);
    });
  };
  for (let index = 0; index < count; index += 1) open();
  return () => {
    isEnded = true;
    for (const socket of sockets) socket.destroy();
  };
}

/** Sends most of a body, then single bytes that never complete it. */
function sendStalledBody(port: number, id: string): Socket {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(
    `POST /chat/x HTTP/1.1\r\nHost: h\r\nid: ${id}\r\nContent-Length: ${declaredBytes}\r\n\r\n`,
  );
  socket.write(Buffer.alloc(declaredBytes - missingBytes, 'b'));
  const timer = setInterval(() => socket.write('b'), trickleIntervalMs);
  socket.once('close', () => clearInterval(timer));
  return socket;
}

/** Sends requests without reading an answer. */
function pipelinePosts(port: number): Socket {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(pipelinedPost.repeat(pipelinedRequestsCount));
  return socket;
}

describe('Process of a gateway whose callers exceed their limits', () => {
  for (const [name, sent] of [
    ['send nothing', ''],
    ['send a part of a head', 'GET /chat/x HTTP/1.1\r\nHost: h\r\n'],
  ] as const) {
    // Guards against connections that leave no descriptor for engines and for
    // other callers.
    it(`keeps a reserve of descriptors when many ${name}`, async () => {
      await withGateway({maxDescriptors}, async gateway => {
        const end = holdConnections(gateway.port, silentCount, socket =>
          socket.write(sent),
        );
        let mostDescriptors = 0;
        for (let waitedMs = 0; waitedMs < crowdMs; waitedMs += pollMs) {
          await sleep(pollMs);
          mostDescriptors = Math.max(
            mostDescriptors,
            gateway.openDescriptors(),
          );
        }
        const status = await call(gateway.port, 'beside');
        end();
        expect(mostDescriptors).to.be.below(maxUsedDescriptors);
        expect(status).to.equal(200);
      });
    });
  }

  // Guards against callers that keep their connections, after the refusal of
  // their requests, by bodies that they do not finish.
  it('closes the connections of refused bodies that do not end', async () => {
    await withGateway({}, async gateway => {
      const usualDescriptors = gateway.openDescriptors();
      const sockets = Array.from({length: stalledCount}, (_, index) =>
        sendStalledBody(gateway.port, `stalled-${index}`),
      );
      const isClosed = () => sockets.every(socket => socket.destroyed);
      for (let ms = 0; ms < maxWaitMs && !isClosed(); ms += pollMs) {
        await sleep(pollMs);
      }
      const openCount = sockets.filter(socket => !socket.destroyed).length;
      for (const socket of sockets) socket.destroy();
      expect(openCount).to.equal(0);
      expect(gateway.openDescriptors()).to.be.below(
        usualDescriptors + stalledCount,
      );
    });
  });

  // Guards against an event loop that does nothing but refuse the requests of
  // callers who wait for no answer.
  it('answers others beside callers that pipeline requests unread', async () => {
    await withGateway({}, async gateway => {
      const sockets = Array.from({length: pipeliningCount}, () =>
        pipelinePosts(gateway.port),
      );
      const status = await call(gateway.port, 'beside');
      for (const socket of sockets) socket.destroy();
      expect(status).to.be.oneOf([200, 503]);
    });
  });
});
