/**
 * Opens TCP connections within a time limit. Without one, a connection whose
 * first packets were lost is only retried by the operating system, after seconds,
 * and an HTTP client lets all calls wait for it whatever their timeouts.
 */
import type {Socket} from 'node:net';
import {connect} from 'node:net';

/** Where to connect; the port is empty for the default of HTTP. */
export interface ConnectTarget {
  readonly hostname: string;
  readonly port: string;
}

/** Receives the open connection or the reason why there is none. */
export type ConnectCallback = (
  ...result: [error: null, socket: Socket] | [error: Error, socket: null]
) => void;

const defaultPort = 80;

/** Returns a function that opens connections, as HTTP clients call it. */
export function connectWithin(
  timeoutMs: number,
): (target: ConnectTarget, done: ConnectCallback) => void {
  return ({hostname, port}, done) => {
    const socket = connect({
      host: hostname,
      port: Number(port) || defaultPort,
      noDelay: true,
    });
    const timer = setTimeout(() => {
      socket.destroy(
        new Error(`connection not established within ${timeoutMs} ms`),
      );
    }, timeoutMs);
    const fail = (error: Error) => {
      clearTimeout(timer);
      done(error, null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      done(null, socket);
    });
  };
}
