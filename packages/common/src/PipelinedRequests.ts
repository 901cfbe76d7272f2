/**
 * Requests that a caller sends on a connection before the previous ones are
 * answered. Node.js hands over each of them as it is read, but it drops the
 * responses that follow one with `Connection: close`, and when the connection
 * closes it tells only the response that is being sent.
 *
 * Responses that are not read wait in the system, where nothing counts them. So a
 * caller may send only some requests on a connection without waiting.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** The order of the requests on the connections of a server. */
export interface PipelinedRequests {
  /** False for a request that was read after the last one to be answered. */
  isAccepted(response: ServerResponse): boolean;
  /**
   * True for a request that was read in the same turn of the event loop as an
   * earlier one of its connection, so its caller did not wait for the answer.
   */
  isPipelined(response: ServerResponse): boolean;
  /**
   * True for the last request that is served on its connection, because the caller
   * has sent too many without waiting. Its response has to close the connection.
   */
  isLast(response: ServerResponse): boolean;
  /**
   * Returns whether the connection can close with this response. No request that
   * is read on the connection later is accepted then.
   */
  tryClose(response: ServerResponse): boolean;
}

interface Connection {
  readonly socket: Socket;
  latest: ServerResponse;
  latestTurn: number;
  /** Requests since the latest one for which the caller waited. */
  pipelinedCount: number;
  isClosing: boolean;
}

/** Requests that are served on a connection whose caller does not wait. */
const maxPipelinedCount = 64;

/** The parser of a connection, which Node.js does not declare. */
interface RequestParser {
  /** Called with each request whose head was read. */
  onIncoming?: ((message: IncomingMessage) => number) | null;
}

/** Tells the parser that the body of a request is read as usual. */
const usualBody = 0;

/**
 * Drops each further request as soon as its head is read. Node.js would keep it
 * and a response for it until the earlier responses are sent, and one packet may
 * hold thousands. The connection is still read, so that the caller's leaving is
 * noticed.
 */
function dropFurtherRequests(socket: Socket): void {
  const {parser} = socket as Socket & {parser?: RequestParser | null};
  if (typeof parser?.onIncoming !== 'function') return;
  parser.onIncoming = message => {
    message.resume();
    return usualBody;
  };
}

function isExhausted({pipelinedCount}: Connection): boolean {
  return pipelinedCount >= maxPipelinedCount;
}

/** Follows the requests of `server`. */
export function trackPipelinedRequests(server: Server): PipelinedRequests {
  const bySocket = new WeakMap<Socket, Connection>();
  const byResponse = new WeakMap<ServerResponse, Connection>();
  const pipelined = new WeakSet<ServerResponse>();
  let turn = 0;
  let isTurnCounted = false;

  function currentTurn(): number {
    if (!isTurnCounted) {
      isTurnCounted = true;
      setImmediate(() => {
        isTurnCounted = false;
        turn += 1;
      });
    }
    return turn;
  }

  server.prependListener('request', ({socket}, response) => {
    const known = bySocket.get(socket);
    const isOver = known !== undefined && isExhausted(known);
    if (known?.isClosing === true || isOver) return;
    const latestTurn = currentTurn();
    const isPipelined = known?.latestTurn === latestTurn;
    if (isPipelined) pipelined.add(response);
    const connection = known ?? {
      socket,
      latest: response,
      latestTurn,
      pipelinedCount: 0,
      isClosing: false,
    };
    connection.latest = response;
    connection.latestTurn = latestTurn;
    connection.pipelinedCount = isPipelined ? connection.pipelinedCount + 1 : 0;
    if (isExhausted(connection)) dropFurtherRequests(socket);
    bySocket.set(socket, connection);
    byResponse.set(response, connection);
  });
  return {
    isAccepted: response => byResponse.has(response),
    isPipelined: response => pipelined.has(response),
    isLast: response => {
      const connection = byResponse.get(response);
      return connection?.latest === response && isExhausted(connection);
    },
    tryClose: response => {
      const connection = byResponse.get(response);
      if (connection?.latest !== response) return false;
      connection.isClosing = true;
      dropFurtherRequests(connection.socket);
      return true;
    },
  };
}

/**
 * Makes every response emit `close` when its connection closes, also one that
 * waits for the responses before it. Without it, the request of a caller that
 * has left would go on, and would count as in progress for ever.
 */
export function closeWaitingResponses(server: Server): void {
  const openResponses = new WeakMap<Socket, Set<ServerResponse>>();
  server.on('connection', (socket: Socket) => {
    const responses = new Set<ServerResponse>();
    openResponses.set(socket, responses);
    socket.once('close', () => {
      for (const response of responses) {
        const isWaiting = response.socket === null;
        if (isWaiting) response.emit('close');
      }
    });
  });
  server.prependListener('request', ({socket}, response) => {
    const responses = openResponses.get(socket);
    responses?.add(response);
    response.once('close', () => responses?.delete(response));
  });
}
