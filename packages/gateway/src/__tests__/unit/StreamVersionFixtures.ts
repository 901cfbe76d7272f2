/**
 * A gateway in front of upstreams of several software versions, whose events
 * name the version that wrote them.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import {toSoftwareVersion, toWorkspaceId} from '@toucanrouter/common';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import type {GatewayContext} from '../../request/GatewayContext.js';
import {createLocalStreamOrigins} from './LocalStreamOrigins.js';
import type {StreamOrigins} from '../../streams/StreamOrigins.js';
import type {UpstreamEntry} from '../../upstreams/UpstreamEntry.js';
import {createEntry, service} from './GatewayFixtures.js';
import {sendRequestTo, startGateway} from './GatewayServerFixtures.js';

/** One call of an upstream. */
export interface UpstreamCall {
  readonly version: string;
  /** Position of the upstream among those of the gateway. */
  readonly index: number;
  /** Number of calls of all upstreams before this one. */
  readonly callsBefore: number;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Begins a successful response. */
  start(): void;
  /** Writes the event with an id. */
  writeEvent(id: number): void;
  /** Writes all events that the caller lacks, and ends the response. */
  writeRest(): void;
}

/** Behavior of all upstreams. */
export type UpstreamBehavior = (call: UpstreamCall) => void;

/** Id of the last event of a stream. */
export const lastEvent = 4;

/** Serves whole streams. */
export const writeAll: UpstreamBehavior = ({start, writeRest}) => {
  start();
  writeRest();
};

/** The first call breaks off after the second event; others are served. */
export const breakFirst: UpstreamBehavior = call => {
  if (call.callsBefore > 0) return writeAll(call);
  call.start();
  call.writeEvent(1);
  call.writeEvent(2);
  call.response.write('id: 3\nda', () => call.response.destroy());
};

/** Options of a gateway in front of several versions. */
export interface VersionedGatewayOptions {
  /** The version of each upstream; undefined for an entry without one. */
  readonly versions: readonly (string | undefined)[];
  readonly behave: UpstreamBehavior;
  readonly route?: Partial<GatewayRoute>;
  readonly changes?: Partial<GatewayContext>;
}

function versionField(version: string | undefined): Partial<UpstreamEntry> {
  return {
    softwareVersion:
      version === undefined ? undefined : toSoftwareVersion(version),
  };
}

/** Starts a gateway whose upstreams have different versions. */
export async function startVersionedGateway(options: VersionedGatewayOptions) {
  const {behave, versions} = options;
  const calls: UpstreamCall[] = [];
  const servers: Server[] = versions.map((version = '', index) =>
    createServer((message, response) => {
      const writeEvent = (id: number) =>
        response.write(`id: ${id}\ndata: ${version}#${index}\n\n`);
      const call: UpstreamCall = {
        version,
        index,
        callsBefore: calls.length,
        message,
        response,
        start: () => {
          const head = {id: String(message.headers['id']), mark: 'm'};
          response.writeHead(200, head);
          response.flushHeaders();
        },
        writeEvent,
        writeRest: () => {
          const after = Number(message.headers['after'] ?? 0);
          for (let id = after + 1; id <= lastEvent; id++) writeEvent(id);
          response.end();
        },
      };
      calls.push(call);
      behave(call);
    }),
  );
  const streamOrigins = createLocalStreamOrigins();
  const gateway = await startGateway(
    options.route ?? {},
    servers,
    {streamOrigins, ...options.changes},
    index => versionField(versions[index]),
  );
  return {
    ...gateway,
    calls,
    streamOrigins,
    /** Writes the entry of an upstream again with another version. */
    changeVersion: (index: number, version: string) => {
      const {port} = servers[index]?.address() as AddressInfo;
      const changes = {port, startedAtMs: 2, ...versionField(version)};
      gateway.registry.put(createEntry(`u${index}`, changes));
    },
    send: (id: string, headers: Readonly<Record<string, string>> = {}) =>
      sendRequestTo(gateway.port, '/chat/x', 'key', id, headers),
  };
}

/** Records that a version began a stream of the fixtures' workspace. */
export function recordOrigin(
  origins: StreamOrigins,
  requestId: string,
  version: string,
): void {
  origins.streamBegan(
    {workspaceId: toWorkspaceId('shop'), requestId},
    {service, softwareVersion: toSoftwareVersion(version)},
  );
}

/** Returns the ids of the events in a body. */
export function eventIdsOf(body: string): readonly number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

/** Returns the distinct versions that wrote the events in a body. */
export function versionsOf(body: string): readonly string[] {
  const versions = [...body.matchAll(/^data: (.*)#\d+$/gm)];
  return [...new Set(versions.map(([, version = '']) => version))];
}

/** Returns the distinct upstreams that wrote the events in a body. */
export function writersOf(body: string): readonly number[] {
  const writers = [...body.matchAll(/^data: .*#(\d+)$/gm)];
  return [...new Set(writers.map(([, index]) => Number(index)))];
}
