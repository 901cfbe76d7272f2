/**
 * Platform stand-in: key-value service over gRPC and instance list over HTTP,
 * both on loopback, with fault injection.
 */
import type {AddressInfo} from 'node:net';
import type {ServerType} from '@hono/node-server';
import {serve} from '@hono/node-server';
import type {Clock} from '@toucanrouter/common';
import {createSystemClock} from '@toucanrouter/common';
import type {CallCounts} from './Counters.js';
import {createCounters} from './Counters.js';
import type {StoreCopy} from './KeyValueServer.js';
import {startKeyValueServer} from './KeyValueServer.js';
import type {ListedInstance} from './LaggingInstanceList.js';
import {createLaggingInstanceList} from './LaggingInstanceList.js';
import {createPlatformHttp} from './PlatformHttp.js';
import type {SwitchChange, SwitchChangeInput, SwitchState} from './Switches.js';
import {createSwitches, switchChangeSchema} from './Switches.js';

export interface PlatformStandInOptions {
  /** Port of the key-value service; 0 or absent selects a free one. */
  readonly keyValuePort?: number;
  /** Port of the HTTP API; 0 or absent selects a free one. */
  readonly httpPort?: number;
  /** Time until changes of the instance list become visible. */
  readonly listLagMs?: number;
  readonly clock?: Clock;
}

export interface PlatformStandIn {
  /** `host:port` of the key-value service. */
  readonly keyValueAddress: string;
  readonly httpUrl: string;
  readonly instanceListUrl: string;
  counters(): CallCounts;
  switches(): SwitchState;
  /** Changes switches; absent fields keep their value. */
  setSwitches(change: SwitchChangeInput): void;
  /** Copies what the key-value service holds. */
  copyStore(): StoreCopy;
  /** Goes back to a copy under a new cluster id and breaks all watches. */
  restoreStore(copy: StoreCopy): void;
  setInstance(id: string, entry: ListedInstance): void;
  removeInstance(id: string): void;
  close(): Promise<void>;
}

/** Starts a platform stand-in on loopback. */
export async function createPlatformStandIn(
  options: PlatformStandInOptions = {},
): Promise<PlatformStandIn> {
  const clock = options.clock ?? createSystemClock();
  const counters = createCounters();
  const switches = createSwitches(clock, options.listLagMs ?? 0);
  const instances = createLaggingInstanceList(clock);
  const keyValue = await startKeyValueServer({
    port: options.keyValuePort ?? 0,
    clock,
    counters,
    switches,
  });

  function applySwitches(change: SwitchChange): void {
    switches.apply(change);
    if (change.compact) keyValue.state.compact(keyValue.state.revision());
    if (change.cutWatches) keyValue.cutWatches();
  }

  const app = createPlatformHttp({
    counters,
    instances,
    switches,
    applySwitches,
  });
  const http = await listen(app.fetch, options.httpPort ?? 0);
  const httpUrl = `http://127.0.0.1:${http.port}`;
  return {
    keyValueAddress: `127.0.0.1:${keyValue.port}`,
    httpUrl,
    instanceListUrl: `${httpUrl}/instances`,
    counters: counters.counts,
    switches: switches.state,
    setSwitches: change => applySwitches(switchChangeSchema.parse(change)),
    copyStore: keyValue.copy,
    restoreStore: keyValue.restore,
    setInstance: instances.set,
    removeInstance: instances.remove,
    close: async () => {
      switches.close();
      keyValue.close();
      await closeServer(http.server);
    },
  };
}

interface Listening {
  readonly server: ServerType;
  readonly port: number;
}

function listen(
  fetch: (request: Request) => Response | Promise<Response>,
  port: number,
): Promise<Listening> {
  return new Promise((resolve, reject) => {
    const server = serve(
      {fetch, port, hostname: '127.0.0.1'},
      (info: AddressInfo) => resolve({server, port: info.port}),
    );
    server.once('error', reject);
  });
}

function closeServer(server: ServerType): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    if ('closeAllConnections' in server) server.closeAllConnections();
  });
}
