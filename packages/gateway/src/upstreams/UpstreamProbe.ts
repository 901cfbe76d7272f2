/**
 * Finds out whether a process still accepts connections at an address.
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

/** An address to probe. */
export interface ProbeTarget {
  readonly host: string;
  readonly port: number;
}

const probeTimeoutMs = 500;

/** Opens a connection and closes it at once. */
export function probeUpstream(
  clock: Clock,
  {host, port}: ProbeTarget,
): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = connect({host, port});
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
