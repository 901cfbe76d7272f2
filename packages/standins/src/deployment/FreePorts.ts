/**
 * Finds free ports on loopback.
 */
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';

/** Returns `count` distinct ports that were free just now. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({length: count}, () => createServer());
  await Promise.all(
    servers.map(
      server =>
        new Promise<void>((resolve, reject) => {
          server.once('error', reject);
          server.listen(0, '127.0.0.1', resolve);
        }),
    ),
  );
  const ports = servers.map(s => (s.address() as AddressInfo).port);
  await Promise.all(
    servers.map(s => new Promise<void>(resolve => s.close(() => resolve()))),
  );
  return ports;
}
