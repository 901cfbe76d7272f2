import {once} from 'node:events';
import type {Server} from 'node:http';
import {Agent, createServer, request} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {trackPipelinedRequests} from '../../index.js';

const host = '127.0.0.1';
const requestsCount = 500;
const maxServedCount = 100;

/** Starts a server that closes connections as their last requests ask for it. */
async function startServer(): Promise<Server> {
  const server = createServer((message, response) => {
    message.resume();
    if (!pipelined.isAccepted(response)) return;
    const closes = pipelined.isLast(response) && pipelined.tryClose(response);
    if (closes) response.setHeader('connection', 'close');
    response.end('whole');
  });
  const pipelined = trackPipelinedRequests(server);
  server.listen(0, host);
  await once(server, 'listening');
  return server;
}

/** Sends all requests at once; returns what is received until the close. */
async function sendAhead(port: number): Promise<string> {
  const socket = connect(port, host);
  let received = '';
  socket.on('data', chunk => (received += String(chunk)));
  socket.on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(requestsCount));
  await once(socket, 'close');
  return received;
}

/** Sends a request on the connection of an agent; resolves at the end. */
async function callOnce(port: number, agent: Agent): Promise<void> {
  const sent = request({host, port, agent});
  sent.end();
  const [response] = (await once(sent, 'response')) as [NodeJS.ReadableStream];
  response.resume();
  await once(response, 'end');
}

describe('trackPipelinedRequests', () => {
  // Guards against a caller whose unread responses fill the memory of the system.
  it('serves only some requests of a caller that does not wait', async () => {
    const server = await startServer();
    const received = await sendAhead((server.address() as AddressInfo).port);
    server.close();
    const answers = received.split('HTTP/1.1 200 OK').slice(1);
    expect(answers).to.have.length.within(1, maxServedCount);
    expect(answers.at(-1)).to.match(/connection: close/i);
    expect(answers.slice(0, -1).join()).not.to.match(/connection: close/i);
  });

  it('serves a caller that waits on one connection', async () => {
    const server = await startServer();
    let connectionsCount = 0;
    server.on('connection', () => (connectionsCount += 1));
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const {port} = server.address() as AddressInfo;
    for (let count = 0; count < requestsCount; count += 1) {
      await callOnce(port, agent);
    }
    agent.destroy();
    server.close();
    expect(connectionsCount).to.equal(1);
  });
});
