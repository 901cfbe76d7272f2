/**
 * Settings of a router instance, as parsed from its INI file.
 */
import type {InstanceId} from '@toucanrouter/common';

/** Address on which a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a router instance, grouped by the sections of its file. */
export interface InstanceSettings {
  /** `[instance]` */
  readonly instanceId: InstanceId;
  readonly region: string;
  readonly failureDomain: string;
  /** A graceful stop completes within this time. */
  readonly stopGraceMs: number;
  /** `[listen]` callers, administration (also metrics and health), peers. */
  readonly callers: ListenAddress;
  readonly admin: ListenAddress;
  readonly peers: ListenAddress;
  /** `[platform]` `host:port` of the key-value service. */
  readonly keyValueAddress: string;
  /** `[platform]` URL of the instance list. */
  readonly instanceListUrl: string;
  readonly instanceListPollMs: number;
  /** `[platform]` timeout of a call. */
  readonly platformTimeoutMs: number;
  /** `[peers]` `host:port` addresses, used until the instance list responds. */
  readonly seedPeers: readonly string[];
  /** `[admin]` files that contain one bearer token each. */
  readonly readerTokenFile: string;
  readonly writerTokenFile: string;
  /** `[requests]` */
  readonly defaultTimeoutMs: number;
  readonly maxBodyBytes: number;
  /** `[limits]` memory that the process may occupy, if it is set. */
  readonly memoryLimitBytes: number | undefined;
  /** `[upstreams]` plain services that ignore fencing tokens. */
  readonly servicesIgnoringFencing: readonly string[];
  /** `[log]` */
  readonly logFormat: 'json' | 'pretty';
  readonly logLevel: 'debug' | 'error' | 'info' | 'warn';
}
