import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import {expect} from 'chai';
import type {Dispatcher} from 'undici';
import {
  Agent,
  Client,
  limitHeaderLines,
  maxHeaderLinesCount,
  request,
} from '../../HttpClient.js';

const framingLines = 'Transfer-Encoding: chunked\r\n';

/** Reads a response with the given lines; returns its body or why it failed. */
async function readResponse(
  headLines: string,
  trailerLines: string,
  createDispatcher: (origin: string) => Dispatcher,
): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\n${framingLines}${headLines}\r\n`);
      socket.write(`2\r\nok\r\n0\r\n${trailerLines}\r\n`);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const origin = `http://127.0.0.1:${port}`;
  const dispatcher = createDispatcher(origin);
  limitHeaderLines(dispatcher);
  try {
    const response = await request(origin, {dispatcher});
    return await response.body.text();
  } catch (error) {
    return (error as Error).message;
  } finally {
    await dispatcher.destroy();
    server.close();
  }
}

const dispatchers: readonly (readonly [
  string,
  (origin: string) => Dispatcher,
])[] = [
  ['Agent', () => new Agent()],
  ['Client', origin => new Client(origin)],
];
const tooMany = `the response has more than ${maxHeaderLinesCount} headers`;

describe('limitHeaderLines', () => {
  for (const [name, create] of dispatchers) {
    it(`accepts as many lines as its limit at an ${name}`, async () => {
      const head = 'a:\r\n'.repeat(maxHeaderLinesCount - 1);
      const trailers = 'a:\r\n'.repeat(maxHeaderLinesCount);
      expect(await readResponse(head, trailers, create)).to.equal('ok');
    });

    // Guards against a heap that is filled by the objects of short lines.
    it(`fails a response with more at an ${name}`, async () => {
      const head = 'a:\r\n'.repeat(maxHeaderLinesCount);
      expect(await readResponse(head, '', create)).to.equal(tooMany);
      const long = 'a:\r\n'.repeat(16_000);
      expect(await readResponse(long, '', create)).to.equal(tooMany);
      expect(await readResponse('', long, create)).to.equal(tooMany);
    });
  }
});
