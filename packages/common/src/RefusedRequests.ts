/**
 * Requests that Node.js would refuse without handing them over: those without a
 * `Host`, and those with an expectation that it does not know. Its answers wait
 * behind the earlier ones of their connection, and one packet may hold thousands
 * of such requests, so a server has to see and count them like any other.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {OpenRequestLimit, OpenRequestShare} from './OpenRequestLimit.js';

/** Options with which a server has to be created to see all of its requests. */
export const unrefusedOptions = {requireHostHeader: false} as const;

/** The answer to a request that is not served for its head. */
export interface Refusal {
  readonly status: number;
  /** True if the connection closes with the answer. */
  readonly mustClose: boolean;
}

/** Tells which requests Node.js would have refused. */
export interface RefusedRequests {
  refusalOf(message: IncomingMessage): Refusal | undefined;
}

const missingHost: Refusal = {status: 400, mustClose: true};
const unknownExpectation: Refusal = {status: 417, mustClose: false};

/** Before version 1.1 there was no such header. */
function lacksHost({headers, httpVersion}: IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.host === undefined;
}

/** Makes `server` hand over every request, also the refused ones. */
export function handOverRefusedRequests(server: Server): RefusedRequests {
  const unexpected = new WeakSet<IncomingMessage>();
  server.on('checkExpectation', (message, response) => {
    unexpected.add(message);
    server.emit('request', message, response);
  });
  server.on('checkContinue', (message, response) => {
    if (!lacksHost(message)) response.writeContinue();
    server.emit('request', message, response);
  });
  return {
    refusalOf: message => {
      if (lacksHost(message)) return missingHost;
      return unexpected.has(message) ? unknownExpectation : undefined;
    },
  };
}

/** The place of a refused request among those that are open. */
export interface RefusedPlace {
  /** Its part of the limit; undefined if it does not fit. */
  readonly share: OpenRequestShare | undefined;
  readonly limit: Pick<OpenRequestLimit, 'isCrowded'>;
  /** True if the server closes connections after their responses. */
  readonly isStopping: boolean;
  /** Returns whether the response may close its connection. */
  readonly tryClose: (response: ServerResponse) => boolean;
}

/**
 * Refuses a request that counts as open until its response is sent. One that has
 * to wait while there is no room is the last one of its connection.
 */
export function refuseOpenRequest(
  response: ServerResponse,
  {status, mustClose}: Refusal,
  {isStopping, limit, share, tryClose}: RefusedPlace,
): void {
  share?.refused();
  const hasNoRoom = share === undefined || limit.isCrowded();
  const waitsWithoutRoom = response.socket === null && hasNoRoom;
  const closes = mustClose || isStopping || waitsWithoutRoom;
  sendRefusal(response, status, closes && tryClose(response));
}

/** Sends the answer of Node.js to a request that it would have refused. */
export function sendRefusal(
  response: ServerResponse,
  status: number,
  closes: boolean,
): void {
  response.writeHead(status, closes ? ['Connection', 'close'] : []);
  response.end();
}
