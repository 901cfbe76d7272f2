/**
 * Buffers the body of a request. A request is sent to an upstream only when it
 * is complete, so that a slow caller occupies no slot there and the request can
 * be retried.
 */
import type {IncomingMessage} from 'node:http';
import {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {CallerLimits} from '../config/GatewayConfig.js';

/** Reads a body of at most `maxBodyBytes`; a larger one is refused. */
export function readBody(
  message: IncomingMessage,
  {maxBodyBytes}: CallerLimits,
): Promise<Result<Buffer, RouterError>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const finish = () => resolve(ok(Buffer.concat(chunks)));
    if (message.complete && message.readableLength === 0) return finish();
    const fail = (reason: string) =>
      resolve(err(new RouterError('bad_request', reason)));
    // The events of a connection that has closed already do not come again.
    if (message.destroyed) return fail('the caller closed the connection');
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBodyBytes) {
        chunks.push(chunk);
        return;
      }
      message.pause();
      const reason = `the body exceeds ${maxBodyBytes} bytes`;
      resolve(err(new RouterError('body_too_large', reason)));
    });
    message.once('end', finish);
    message.once('error', error => fail(error.message));
  });
}
