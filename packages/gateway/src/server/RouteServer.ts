/**
 * An HTTP server with a few fixed paths. Load pattern: checks and reads by the
 * platform and by peers, a few per second. It has no framework, because loading
 * one takes a large share of the processor time of a start. It serves one request
 * of a connection at a time: what follows in the same packet would be held until
 * the first one is answered. The next request is refused and closes the
 * connection, later ones are dropped.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import {trackPipelinedRequests} from '@toucanrouter/common';

/** The response to a request. */
export interface RouteResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Responds to a GET or HEAD request; receives its query. */
export type Route = (
  query: URLSearchParams,
) => Promise<RouteResponse> | RouteResponse;

const statusOk = 200;
const statusNotFound = 404;
const statusFailed = 500;
const statusUnavailable = 503;
const methods: ReadonlySet<string | undefined> = new Set(['GET', 'HEAD']);

/** Creates a response of plain text. */
export function textResponse(body: string, status = statusOk): RouteResponse {
  return {status, contentType: 'text/plain; charset=UTF-8', body};
}

/** Creates a response of JSON. */
export function jsonResponse(value: unknown): RouteResponse {
  return {
    status: statusOk,
    contentType: 'application/json',
    body: JSON.stringify(value),
  };
}

const tooEarlyResponse = textResponse(
  'the previous request on this connection is not answered yet\n',
  statusUnavailable,
);

function send(response: ServerResponse, content: RouteResponse): void {
  response.writeHead(content.status, {
    'content-type': content.contentType,
    'content-length': Buffer.byteLength(content.body),
  });
  response.end(content.body);
}

/** Creates a server that responds at the paths of `routes`. */
export function createRouteServer(
  routes: Readonly<Record<string, Route>>,
): Server {
  const byPath = new Map(Object.entries(routes));

  async function respond({method, url}: IncomingMessage) {
    const [path = '', query = ''] = (url ?? '').split('?', 2);
    const route = methods.has(method) ? byPath.get(path) : undefined;
    if (route === undefined) {
      return textResponse('404 Not Found', statusNotFound);
    }
    return route(new URLSearchParams(query));
  }

  const busySockets = new WeakSet<Socket>();

  const server = createServer((request, response) => {
    const {socket} = request;
    request.resume();
    if (busySockets.has(socket)) {
      if (pipelined.tryClose(response)) {
        response.setHeader('connection', 'close');
        send(response, tooEarlyResponse);
      }
      return;
    }
    busySockets.add(socket);
    response.once('close', () => busySockets.delete(socket));
    respond(request)
      .catch(() => textResponse('Internal Server Error', statusFailed))
      .then(content => send(response, content))
      .catch(() => response.destroy());
  });
  const pipelined = trackPipelinedRequests(server);
  return server;
}
