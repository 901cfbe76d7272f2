/**
 * An engine of a service, or of a model: it registers itself in the store, runs
 * requests and records each arrival. A request whose prompt has the part that
 * `crashesOn` names ends the engine as it begins to write the answer; the engine
 * starts again after `restartMs` under a new id.
 */
import {createServer} from 'node:http';
import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval, setTimeout} from 'node:timers';

const beatMs = 1_200;

/** Starts an engine; resolves once it listens and is registered. */
export async function startEngine({
  store,
  service,
  zone,
  host = '127.0.0.1',
  version = 'v1',
  slots = 64,
  firstEventMs = 60,
  eventCount = 4,
  eventGapMs = 20,
  crashesOn,
  restartMs = 4_000,
  arrivals,
  runs,
  extraHeaders = () => ({}),
  keepsId = false,
  onCrash = () => undefined,
}) {
  let id;
  let server;
  let seq = 0;
  let beat;
  let port = 0;
  let closed = false;
  let state = 'ready';
  let born;
  let keptId;
  let software = version;

  const write = () => {
    seq += 1;
    store.put(`servers/${id}`, {
      service,
      address: `${host}:${port}`,
      zone,
      version: software,
      slots,
      state,
      cold_remaining_ms: 0,
      seq,
      born,
    });
  };

  /** Ends the process: its connections are reset, and its port refuses. */
  function end() {
    const ended = server;
    server = undefined;
    clearInterval(beat);
    for (const socket of sockets) socket.resetAndDestroy();
    ended.close();
  }

  /** Crashes; `nextVersion` is the software with which it starts again. */
  function crash(nextVersion = software) {
    if (server === undefined) return;
    onCrash(id);
    const endedId = id;
    const endedBorn = born;
    end();
    if (keepsId) keptId = id;
    // The entry is removed after three intervals of silence.
    setTimeout(() => {
      if (!closed && born === endedBorn) store.remove(`servers/${endedId}`);
    }, 3 * beatMs);
    setTimeout(() => {
      if (closed) return;
      software = nextVersion;
      void start();
    }, restartMs);
  }

  /**
   * Upgrades the engine in place, as a planned shutdown: it drains, exits after
   * `drainMs` and starts again under its id with other software.
   */
  async function upgrade({drainMs, downMs, nextVersion}) {
    state = 'draining';
    write();
    await new Promise(resolve => setTimeout(resolve, drainMs));
    keptId = id;
    end();
    store.remove(`servers/${id}`);
    await new Promise(resolve => setTimeout(resolve, downMs));
    software = nextVersion;
    state = 'ready';
    await start();
  }

  const sockets = new Set();

  async function run(message, response) {
    const requestId = message.headers['request-id'];
    const expected = message.headers['expected-instance'];
    const prefix = message.headers['prompt-prefix'] ?? '';
    const arrival = {
      atMs: performance.now(),
      requestId,
      engine: id,
      version: software,
      prefix,
      path: message.url,
      tenant: message.headers['tenant'],
      lastEventId: message.headers['last-event-id'],
      remotePort: message.socket.remotePort,
    };
    arrivals.push(arrival);
    for await (const chunk of message) arrival.bytes = chunk.length;
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {'Instance-Id': id, 'Request-Id': requestId});
      response.end();
      return;
    }
    const stamp = randomBytes(6).toString('hex');
    const ranAt = software;
    const ran = {...arrival, endedAtMs: undefined};
    runs?.push(ran);
    const head = {
      'Request-Id': requestId,
      'Response-Stamp': stamp,
      'Content-Type': 'text/event-stream',
      ...extraHeaders(arrival),
    };
    await new Promise(resolve => setTimeout(resolve, firstEventMs));
    if (response.destroyed) return;
    const parts = prefix.split(',').map(part => part.split(':')[0]);
    if (crashesOn !== undefined && parts.includes(crashesOn)) {
      crash();
      return;
    }
    response.writeHead(200, head);
    const after = Number(message.headers['last-event-id'] ?? 0);
    for (let event = after + 1; event <= eventCount; event += 1) {
      response.write(`id: ${event}\ndata: ${ranAt} ${event}\n\n`);
      await new Promise(resolve => setTimeout(resolve, eventGapMs));
      if (response.destroyed) return;
    }
    response.end();
    ran.endedAtMs = performance.now();
  }

  async function start() {
    id = keptId ?? `i-${randomBytes(4).toString('hex')}`;
    keptId = undefined;
    born = Date.now();
    seq = 0;
    const next = createServer((message, response) => {
      if (message.url === '/health') {
        response.writeHead(200, {'Instance-Id': id});
        response.end();
        return;
      }
      run(message, response).catch(() => response.destroy());
    });
    next.keepAliveTimeout = 5_000;
    next.on('connection', socket => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise((resolve, reject) => {
      next.once('error', reject);
      next.listen(port, host, resolve);
    });
    port = next.address().port;
    server = next;
    write();
    beat = setInterval(write, beatMs);
  }

  await start();
  return {
    id: () => id,
    isUp: () => server !== undefined,
    crash,
    upgrade,
    version: () => software,
    drain: () => {
      state = 'draining';
      write();
    },
    close: () => {
      closed = true;
      clearInterval(beat);
      server?.closeAllConnections();
      server?.close();
    },
  };
}
