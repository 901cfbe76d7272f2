/**
 * Settings of one router instance, as read from its INI file.
 */
import type {InstanceId} from '@toucanrouter/common';

/** Address on which a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of one router instance; sections of the file in comments. */
export interface InstanceSettings {
  /** `[instance]` */
  readonly instanceId: InstanceId;
  readonly region: string;
  readonly failureDomain: string;
  /** `[listen]` callers, administration (also metrics and health), peers. */
  readonly callers: ListenAddress;
  readonly admin: ListenAddress;
  readonly peers: ListenAddress;
  /** `[platform]` `host:port` of the key-value service. */
  readonly keyValueAddress: string;
  /** `[platform]` URL of the instance list. */
  readonly instanceListUrl: string;
  readonly instanceListPollMs: number;
  /** `[platform]` time after which a call counts as unanswered. */
  readonly platformTimeoutMs: number;
  /** `[peers]` `host:port` addresses that are tried before the list answers. */
  readonly seedPeers: readonly string[];
  /** `[admin]` files that hold one bearer token each. */
  readonly readerTokenFile: string;
  readonly writerTokenFile: string;
  /** `[requests]` */
  readonly defaultTimeoutMs: number;
  readonly maxBodyBytes: number;
  /** `[upstreams]` plain services that ignore fencing tokens. */
  readonly servicesIgnoringFencing: readonly string[];
  /** `[log]` */
  readonly logFormat: 'json' | 'pretty';
  readonly logLevel: 'debug' | 'error' | 'info' | 'warn';
}
