/**
 * Starts and stops HTTP servers.
 */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {RouterError} from '@toucanrouter/common';
import {err, ok, ResultAsync} from 'neverthrow';

/** Starts listening; resolves with the port. */
export function listen(
  server: Server,
  address: {readonly host: string; readonly port: number},
  purpose: string,
): ResultAsync<number, RouterError> {
  const listening = new Promise<Error | number>(resolve => {
    server.once('error', resolve);
    server.listen(address.port, address.host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
  return ResultAsync.fromSafePromise(listening).andThen(outcome => {
    if (typeof outcome === 'number') return ok(outcome);
    const message = `cannot listen for ${purpose} on ${address.host}:${address.port}: ${outcome.message}`;
    return err(new RouterError('settings_invalid', message, {cause: outcome}));
  });
}

/** Stops accepting connections; resolves when all connections are closed. */
export function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    if (!server.listening) return resolve();
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
