/**
 * Connections to upstreams that report a reset as an error. A body that has
 * neither a length nor chunks ends with its connection, so it is complete only
 * if that connection was closed cleanly.
 */
import {Socket} from 'node:net';
import {limitReads} from '@toucanrouter/common';
import type {buildConnector} from 'undici';
import {errors} from 'undici';

const connectTimeoutMs = 10_000;
const tcpKeepAliveDelayMs = 60_000;

function isReset(error: Error | undefined): boolean {
  return (error as NodeJS.ErrnoException | undefined)?.code === 'ECONNRESET';
}

function resetError(cause: Error | undefined): Error {
  return new Error('the upstream reset the connection', {cause});
}

class UpstreamSocket extends Socket {
  /**
   * Node.js reports a reset that arrives together with the last bytes as an
   * ordinary end, but a write fails after a reset. A server that still reads
   * ignores the empty line.
   */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return super.push(chunk, encoding);
    // The upstream did not wait for the request, so its end proves nothing.
    if (this.writableLength > 0) {
      super.destroy(new Error('the upstream ended before the request did'));
      return false;
    }
    this.write('\r\n', error => {
      if (error) super.destroy(resetError(error));
      else super.push(null);
    });
    return false;
  }

  /** The HTTP client takes a reset with its usual code for an end. */
  override destroy(error?: Error): this {
    return super.destroy(isReset(error) ? resetError(error) : error);
  }
}

/** Opens a connection to an upstream. */
export const connectUpstream: buildConnector.connector = (options, done) => {
  const socket = new UpstreamSocket();
  limitReads(socket);
  socket.setNoDelay(true);
  socket.setKeepAlive(true, tcpKeepAliveDelayMs);
  const fail = (error: Error) => {
    clearTimeout(timer);
    done(error, null);
  };
  const timer = setTimeout(() => {
    const message = `connection not established within ${connectTimeoutMs} ms`;
    socket.destroy(new errors.ConnectTimeoutError(message));
  }, connectTimeoutMs);
  socket.once('error', fail);
  socket.connect(Number(options.port), options.hostname, () => {
    clearTimeout(timer);
    socket.off('error', fail);
    done(null, socket);
  });
};
