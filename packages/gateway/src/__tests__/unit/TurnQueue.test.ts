import {once} from 'node:events';
import {Agent, createServer, request as sendRequest} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import {createManualClock, createSystemClock} from '@toucanrouter/common';
import {expect} from 'chai';
import {createTurnQueue} from '../../request/TurnQueue.js';
import {startGateway} from './GatewayServerFixtures.js';
import {testDialect} from './TestDialect.js';

const clock = createSystemClock();
/** Processor time of each request. */
const requestCostMs = 20;
const busyCallers = 30;
const newConnections = 10;
/** A busy turn that accepts it, one that reads it, and as many to spare. */
const maxTurnsForConnection = 4;

function spend(durationMs: number): void {
  const endMs = clock.nowMs() + durationMs;
  while (clock.nowMs() < endMs);
}

function createUpstream(): Server {
  return createServer((message, response) => {
    message.resume();
    response.writeHead(200, {id: String(message.headers['id']), mark: 'm'});
    response.end('served');
  });
}

/** Sends one request after the other on a kept connection, until stopped. */
function startCaller(port: number, agent: Agent, isStopped: () => boolean) {
  const headers = {id: 'r', authorization: 'key'};
  const call = sendRequest(
    {port, path: '/chat/x', method: 'POST', headers, agent},
    response => {
      response.resume();
      response.once('end', () => {
        if (!isStopped()) startCaller(port, agent, isStopped);
      });
    },
  );
  call.on('error', () => undefined);
  call.end('body');
}

function createManualQueue() {
  const manual = createManualClock();
  const turns: (() => void)[] = [];
  const queue = createTurnQueue({
    clock: manual,
    afterTurn: run => turns.push(run),
  });
  const started: string[] = [];
  return {
    queue,
    started,
    advance: manual.advance,
    add: (name: string, tier = 1) =>
      void queue.next(tier).then(() => started.push(name)),
    turn: async () => {
      for (const run of turns.splice(0)) run();
      await Promise.resolve();
    },
  };
}

describe('TurnQueue', () => {
  // Guards against a turn that begins all requests that were read in one.
  it('begins one request in each turn, in the order of arrival', async () => {
    const {add, started, turn} = createManualQueue();
    for (const name of ['a', 'b', 'c']) add(name);
    expect(started).to.deep.equal([]);
    await turn();
    expect(started).to.deep.equal(['a']);
    add('d');
    for (let index = 0; index < 3; index += 1) await turn();
    expect(started).to.deep.equal(['a', 'b', 'c', 'd']);
    add('e');
    await turn();
    expect(started).to.deep.equal(['a', 'b', 'c', 'd', 'e']);
  });

  // Guards against urgent requests that wait behind a backlog of others.
  it('begins the most urgent tier first', async () => {
    const {add, started, turn} = createManualQueue();
    add('slow', 2);
    add('soon', 1);
    add('urgent', 0);
    add('soon too', 1);
    for (let index = 0; index < 4; index += 1) await turn();
    expect(started).to.deep.equal(['urgent', 'soon', 'soon too', 'slow']);
  });

  // Guards against a backlog of requests that looks like an idle process.
  it('shows how long the requests that wait will take', async () => {
    const {add, advance, queue, turn} = createManualQueue();
    const turnMs = 10;
    expect(queue.waitMs()).to.equal(0);
    for (let index = 0; index < 100; index += 1) add(`${index}`);
    for (let index = 0; index < 60; index += 1) {
      advance(turnMs);
      await turn();
    }
    expect(queue.waitMs()).to.be.within(39 * turnMs, 40 * turnMs);
    expect(queue.waitMs(0)).to.equal(0);
    for (let index = 0; index < 40; index += 1) await turn();
    expect(queue.waitMs()).to.equal(0);
  });

  // Guards against requests that are refused as late after a freeze that is over,
  // because its one long turn counts for all that follow.
  it('takes one long turn for no more than a usual one', async () => {
    const {add, advance, queue, turn} = createManualQueue();
    const waitingCount = 40;
    const timeLeftMs = 1_500;
    add('frozen');
    advance(2_000);
    await turn();
    for (let index = 0; index < waitingCount; index += 1) add(`${index}`);
    expect(queue.waitMs()).to.be.within(1, timeLeftMs / 2);
  });

  // Guards against requests that reach their caller's limit in the queue of
  // connections, where the process neither sees nor refuses them.
  it('begins no request while connections wait to be accepted', async () => {
    const {add, queue, started, turn} = createManualQueue();
    add('a');
    for (let index = 0; index < 5; index += 1) {
      queue.connectionAccepted();
      await turn();
    }
    expect(started).to.deep.equal([]);
    await turn();
    expect(started).to.deep.equal(['a']);
  });

  // Guards against an estimate that leaves out the turns that only read.
  it('counts turns that only read in the time that requests wait', async () => {
    const {add, advance, queue, turn} = createManualQueue();
    const turnMs = 10;
    const readingTurns = 4;
    for (let index = 0; index < 100; index += 1) add(`${index}`);
    for (let begun = 0; begun < 60; begun += 1) {
      for (let index = 0; index < readingTurns; index += 1) {
        queue.connectionAccepted();
        advance(turnMs);
        await turn();
      }
      advance(turnMs);
      await turn();
    }
    const betweenMs = (readingTurns + 1) * turnMs;
    expect(queue.waitMs()).to.be.within(39 * betweenMs, 40 * betweenMs);
  });

  // Guards against callers that connect without end and keep all from beginning.
  it('begins requests although each turn accepts a connection', async () => {
    const {add, queue, started, turn} = createManualQueue();
    for (const name of ['a', 'b', 'c']) add(name);
    for (let index = 0; index < 50; index += 1) {
      queue.connectionAccepted();
      await turn();
    }
    expect(started).to.deep.equal(['a', 'b', 'c']);
  });

  // Guards against the same in the server: one request for each connection began
  // before the next connection was accepted.
  it('accepts connections that wait before requests begin', async () => {
    let begunCount = 0;
    const gateway = await startGateway({streams: false}, [createUpstream()], {
      dialect: {
        ...testDialect,
        upstreamHeaders: (request, attributes) => {
          begunCount += 1;
          return testDialect.upstreamHeaders(request, attributes);
        },
      },
    });
    const headers = 'Host: h\r\nid: r\r\nauthorization: key\r\n';
    const head = `POST /chat/x HTTP/1.1\r\n${headers}Content-Length: 0\r\n\r\n`;
    const begunAtAccept: number[] = [];
    gateway.server.on('connection', () => begunAtAccept.push(begunCount));
    const sockets = Array.from({length: newConnections}, () => {
      const socket = connect(gateway.port, '127.0.0.1');
      socket.write(head);
      return socket;
    });
    const responses = sockets.map(socket => once(socket, 'data'));
    await Promise.all(responses);
    for (const socket of sockets) socket.destroy();
    await gateway.close();
    expect(begunAtAccept).to.have.length(newConnections);
    expect(begunAtAccept.at(-1)).to.be.at.most(1);
  });

  // Guards against connections that wait for as many turns as others arrive
  // before them, each of which serves all requests that were read.
  it('accepts connections promptly beside callers that keep theirs', async () => {
    const gateway = await startGateway({streams: false}, [createUpstream()], {
      dialect: {
        ...testDialect,
        upstreamHeaders: (request, attributes) => {
          spend(requestCostMs);
          return testDialect.upstreamHeaders(request, attributes);
        },
      },
    });
    let stopped = false;
    const agent = new Agent({keepAlive: true});
    for (let index = 0; index < busyCallers; index += 1) {
      startCaller(gateway.port, agent, () => stopped);
    }
    while (gateway.ended.length < 3 * busyCallers) {
      await new Promise(resolve => setTimeout(resolve, requestCostMs));
    }
    const startedAtMs = clock.nowMs();
    await Promise.all(
      Array.from({length: newConnections}, async () => {
        const socket = connect(gateway.port, '127.0.0.1');
        socket.write(
          'GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
        );
        await once(socket, 'data');
        socket.destroy();
      }),
    );
    const tookMs = clock.nowMs() - startedAtMs;
    stopped = true;
    agent.destroy();
    await gateway.close();
    expect(tookMs).to.be.lessThan(
      maxTurnsForConnection * requestCostMs * newConnections,
    );
  });
});
