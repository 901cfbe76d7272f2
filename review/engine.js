/**
 * Stand-in of an engine: it checks whom a request is meant for, echoes its id
 * and answers plainly or with a stream. What else it does is the script's.
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {createServer} from 'node:http';

/** Reads a request's body. */
export function readBody(message) {
  return new Promise(resolve => {
    const chunks = [];
    message.on('data', chunk => chunks.push(chunk));
    message.on('end', () => resolve(Buffer.concat(chunks)));
    message.on('error', () => resolve(undefined));
  });
}

/** The headers of an answer of an engine. */
export function answerHeaders(message, id) {
  return {
    'Request-Id': message.headers['request-id'],
    'Response-Stamp': `${id}.${message.headers['request-id']}`,
  };
}

/**
 * Creates an engine. `run` gets the request, its answer and its body, and is
 * called only for requests that are meant for this engine.
 */
export function createEngine({id, service, run}) {
  const runs = [];
  const server = createServer((message, response) => {
    void (async () => {
      const body = await readBody(message);
      if (body === undefined) return;
      const expected = message.headers['expected-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, {
          'Request-Id': message.headers['request-id'],
          'Not-Executed': '1',
          'Content-Length': 0,
        });
        response.end();
        return;
      }
      runs.push({
        id: message.headers['request-id'],
        atMs: performance.now(),
      });
      run({message, response, body, id});
    })();
  });
  const sockets = new Set();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const engine = {
    id,
    runs,
    server,
    listen: () =>
      new Promise(resolve => {
        server.listen(0, '127.0.0.1', () => {
          engine.port = server.address().port;
          resolve(engine);
        });
      }),
    entry: () =>
      JSON.stringify({
        service,
        address: `127.0.0.1:${engine.port}`,
        zone: 'zone-a',
        version: 1,
        slots: engine.slots ?? 128,
        state: 'ready',
        cold_remaining_ms: 0,
        seq: 1,
        born: engine.born,
      }),
    slots: undefined,
    born: Date.now(),
    /** The process ends at once; its address refuses connections. */
    crash: () => {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
    /** The process starts again, at the address that it had. */
    restart: () =>
      new Promise((resolve, reject) => {
        engine.born = Date.now();
        server.once('error', reject);
        server.listen(engine.port, '127.0.0.1', resolve);
      }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
  return engine;
}
