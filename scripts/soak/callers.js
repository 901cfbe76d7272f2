/**
 * The callers of a soak. They keep their connections, use them until the process
 * is gone, and check what they get: the whole response to their own request.
 */
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {Agent, request} from 'node:http';

const eventIdPattern = /^id: (\d+)$/gm;

/** Returns what is wrong with a complete response, or undefined. */
function faultOf(call, status, body) {
  const firstEvent = call.firstEvent ?? 1;
  if (status !== 200) return undefined;
  if (call.events === undefined) {
    return body.includes(` ${call.id} `) ? undefined : 'another response';
  }
  const ids = [...body.matchAll(eventIdPattern)].map(([, id]) => Number(id));
  const isWhole =
    ids.length === call.events - firstEvent + 1 &&
    ids.every((id, index) => id === firstEvent + index);
  return isWhole ? undefined : `events ${ids.length} of ${call.events}`;
}

/** Creates the caller of one instance; `onEnded` gets each call with its end. */
export function createCaller({host, port, nowMs, onEnded}) {
  const agent = new Agent({keepAlive: true, maxSockets: Infinity});
  return {
    send: call => {
      const sentAtMs = nowMs();
      let status;
      let text = '';
      let hasEnded = false;
      const end = (outcome, fault) => {
        if (hasEnded) return;
        hasEnded = true;
        clearTimeout(timer);
        const retryAfter = Number(call.retryAfter ?? NaN);
        onEnded({
          ...call,
          sentAtMs,
          endedAtMs: nowMs(),
          outcome,
          status,
          fault,
          retryAfter,
          text: call.keepsText ? text : undefined,
        });
      };
      const message = request(
        {
          host,
          port,
          agent,
          path: call.path,
          method: 'POST',
          headers: {
            Host: 'shop.example',
            'Request-Id': call.id,
            'Deadline-Ms': call.limitMs,
            'Content-Length': call.bodyBytes,
            ...call.headers,
          },
        },
        response => {
          status = response.statusCode;
          call.retryAfter = response.headers['retry-after'];
          response.setEncoding('latin1');
          response.on('data', chunk => (text += chunk));
          response.on('end', () =>
            end(`${status}`, faultOf(call, status, text)),
          );
          response.on('error', () => end('cut'));
        },
      );
      const timer = setTimeout(() => {
        end('no answer');
        message.destroy();
      }, call.limitMs);
      message.on('error', error => end(error.code ?? error.message));
      sendBody(message, call);
    },
    close: () => agent.destroy(),
  };
}

const slowChunkBytes = 16 * 1024;
const slowChunkMs = 200;

/** Sends the body at once, or in small parts if the call is slow. */
function sendBody(message, {bodyBytes, isSlow}) {
  if (!isSlow) {
    message.end(Buffer.alloc(bodyBytes, 'b'));
    return;
  }
  let leftBytes = bodyBytes;
  const sendNext = () => {
    if (message.destroyed) return;
    const bytes = Math.min(leftBytes, slowChunkBytes);
    leftBytes -= bytes;
    if (leftBytes === 0) message.end(Buffer.alloc(bytes, 'b'));
    else {
      message.write(Buffer.alloc(bytes, 'b'));
      setTimeout(sendNext, slowChunkMs);
    }
  };
  sendNext();
}
