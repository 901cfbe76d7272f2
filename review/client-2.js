/**
 * A client that sends one request on a new connection and reads the answer to
 * its end.
 */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

/** Returns an id that no other client attempt has. */
export const newRequestId = () => randomBytes(8).toString('hex');

/** Sends a request; resolves with what the client saw, and never rejects. */
export function send({
  router,
  host,
  path,
  method = 'POST',
  headers = {},
  body,
  requestId = newRequestId(),
  deadlineMs,
  agent = false,
}) {
  const sentAtMs = performance.now();
  return new Promise(resolve => {
    const chunks = [];
    let status = 0;
    let responseHeaders = {};
    const finish = (outcome, detail) => {
      clearTimeout(timer);
      resolve({
        requestId,
        router: router.name,
        sentAtMs,
        tookMs: performance.now() - sentAtMs,
        outcome,
        detail,
        status,
        headers: responseHeaders,
        body: Buffer.concat(chunks).toString(),
      });
    };
    const message = request(
      {
        host: router.host,
        port: router.frontPort,
        method,
        path,
        agent,
        headers: {
          Host: host,
          'Request-Id': requestId,
          'Deadline-Ms': String(deadlineMs),
          ...headers,
        },
      },
      response => {
        status = response.statusCode;
        responseHeaders = response.headers;
        response.on('data', chunk => chunks.push(chunk));
        response.once('end', () =>
          finish(response.complete ? 'complete' : 'cut'),
        );
        response.once('error', error => finish('cut', error.message));
      },
    );
    const timer = setTimeout(() => {
      finish('deadline');
      message.destroy();
    }, deadlineMs);
    message.once('error', error => finish('failed', error.message));
    message.end(body);
  });
}
