/**
 * What the gateway reads from the platform's store: the configuration and the
 * entries of upstreams, first as a whole and then change by change.
 */
import type {InstanceId, PlatformError, UpstreamId} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import type {GatewayConfig} from '../config/GatewayConfig.js';
import type {PeerEntry} from '../peers/PeerDirectory.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';

/** A change in the store. */
export type StateChange =
  | {readonly kind: 'config'; readonly config: GatewayConfig}
  | {readonly kind: 'upstream'; readonly entry: UpstreamEntry}
  | {readonly kind: 'upstream_removed'; readonly id: UpstreamId}
  | {readonly kind: 'peer'; readonly entry: PeerEntry}
  | {readonly kind: 'peer_removed'; readonly id: InstanceId}
  /** A value that cannot be read; it names no upstream to use. */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly reason: string;
      readonly id: UpstreamId | undefined;
    };

/** All that the store holds for the gateway. */
export interface StateUpdate {
  readonly revision: number;
  readonly changes: readonly StateChange[];
}

/** Changes after a revision; `compacted` when they are not kept any more. */
export type WatchResult = StateUpdate | 'compacted';

/** Names a lease of the store. */
export type LeaseId = number;

/** Reads the state of the platform, and keeps this instance's entry in it. */
export interface StateStore {
  readAll(timeoutMs: number): ResultAsync<StateUpdate, PlatformError>;
  readConfig(
    timeoutMs: number,
  ): ResultAsync<GatewayConfig | undefined, PlatformError>;
  /** Waits up to `waitMs` for changes after `revision`. */
  readChanges(
    revision: number,
    waitMs: number,
    timeoutMs: number,
  ): ResultAsync<WatchResult, PlatformError>;
  /** Writes the entry of this instance under a new lease. */
  register(
    entry: PeerEntry,
    leaseMs: number,
    timeoutMs: number,
  ): ResultAsync<LeaseId, PlatformError>;
  /** Renews a lease; false when it has ended. */
  renew(lease: LeaseId, timeoutMs: number): ResultAsync<boolean, PlatformError>;
}
