/**
 * Stand-in of a client: it sends a request on a channel that it keeps, waits up
 * to its time limit and records what it got.
 */
import {clearTimeout, setTimeout} from 'node:timers';
import {performance} from 'node:perf_hooks';
import {Agent, request} from 'node:http';

/** Creates a client of one instance. */
export function createClient({host, front}) {
  const agent = new Agent({keepAlive: true, maxSockets: Infinity});
  return {
    close: () => agent.destroy(),
    /** Sends a request; `sent` gets the times and the answer. */
    send: ({id, path, method, body, limitMs, headers = {}}) => {
      const sent = {id, path, atMs: performance.now(), answer: 'none'};
      const since = () => performance.now() - sent.atMs;
      const call = request(
        {
          host,
          port: front,
          agent,
          path,
          method,
          headers: {
            Host: 'shop.example',
            'Request-Id': id,
            'Deadline-Ms': limitMs,
            ...(body === undefined ? {} : {'Content-Length': body.length}),
            ...headers,
          },
        },
        response => {
          sent.status = response.statusCode;
          response.on('data', () => (sent.firstByteMs ??= since()));
          response.on('end', () => end(`${sent.status}`));
          response.on('error', () => end(`${sent.status}, cut`));
        },
      );
      const end = answer => {
        if (sent.endMs !== undefined) return;
        clearTimeout(timer);
        sent.answer = answer;
        sent.endMs = since();
      };
      const timer = setTimeout(() => {
        end('none within the time limit');
        call.destroy();
      }, limitMs);
      call.on('error', error => end(error.code ?? error.message));
      call.end(body);
      return sent;
    },
  };
}
