/**
 * HTTP server utilities shared by the stand-ins.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Reads the complete request body as UTF-8 text. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON response, unless the connection is already closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.destroyed) return;
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}

/** States the request rate of an upstream in a response; empty states none. */
export function stateRateLimit(response: ServerResponse, value: string): void {
  if (value !== '') response.setHeader('x-upstream-rate-limit', value);
}

/** Parses JSON; returns undefined when the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Returns the first value of a request header. */
export function headerOf(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Listens on the loopback interface and returns `host:port`. */
export async function listenOnLoopback(
  server: Server,
  port: number,
): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Closes a server: drops idle connections and waits for active requests. */
export async function closeServer(server: Server): Promise<void> {
  await new Promise<void>(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
