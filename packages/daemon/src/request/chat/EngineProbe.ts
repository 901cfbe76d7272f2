/**
 * Finds out whether an engine still accepts connections at its address.
 */
import {connect} from 'node:net';
import type {Clock} from '@toucanrouter/common';

/** The response of an address to a new connection. */
export type ProbeResult =
  | 'accepted'
  /** No process listens at the address. */
  | 'refused'
  /** No response in time, or the host cannot be reached. */
  | 'unknown';

const probeTimeoutMs = 500;

/** Opens a connection to `host:port` and closes it at once. */
export function probeEngine(
  clock: Clock,
  address: string,
): Promise<ProbeResult> {
  const {hostname, port} = new URL(`http://${address}`);
  return new Promise(resolve => {
    const host = hostname.replace(/^\[|\]$/g, '');
    const socket = connect({host, port: Number(port)});
    const finish = (result: ProbeResult) => {
      cancelTimeout();
      socket.destroy();
      resolve(result);
    };
    const cancelTimeout = clock.after(probeTimeoutMs, () => finish('unknown'));
    socket.once('connect', () => finish('accepted'));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
  });
}
