/**
 * Reads the body of a request into memory. A request goes to an upstream when
 * it is whole: a slow caller occupies no place there, and the request can be
 * sent once more.
 */
import type {IncomingMessage} from 'node:http';
import {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {CallerLimits} from '../config/GatewayConfig.js';

/** Reads a body of at most `maxBodyBytes`. */
export function readBody(
  message: IncomingMessage,
  {maxBodyBytes}: CallerLimits,
): Promise<Result<Buffer, RouterError>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const finish = () => resolve(ok(Buffer.concat(chunks)));
    if (message.complete && message.readableLength === 0) return finish();
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
    message.once('error', error =>
      resolve(err(new RouterError('bad_request', error.message))),
    );
  });
}
