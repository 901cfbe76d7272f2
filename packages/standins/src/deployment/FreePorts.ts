/**
 * Finds free ports on loopback.
 */
import type {Server} from 'node:net';
import {createServer} from 'node:net';

// Below the ephemeral port range: an outgoing connection could occupy an
// ephemeral port between the search and its use.
const firstPort = 12_000;
const portCount = 20_000;
// Separates the searches of concurrent processes.
const portsPerProcess = 211;

let searches = 0;

/** Returns `count` distinct ports that were free when checked. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const offset = (process.pid + searches++) * portsPerProcess;
  const ports: number[] = [];
  for (let i = 0; i < portCount && ports.length < count; i++) {
    const port = firstPort + ((offset + i) % portCount);
    if (await isFree(port)) ports.push(port);
  }
  if (ports.length === count) return ports;
  throw new Error(`fewer than ${count} ports are free`);
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const free = await new Promise<boolean>(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
  if (free) await close(server);
  return free;
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
