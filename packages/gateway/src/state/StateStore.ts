/**
 * What the gateway reads from the platform's store: the configuration and the
 * entries of upstreams, first as a whole and then change by change.
 */
import type {PlatformError, UpstreamId} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import type {GatewayConfig} from '../config/GatewayConfig.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';

/** A change in the store. */
export type StateChange =
  | {readonly kind: 'config'; readonly config: GatewayConfig}
  | {readonly kind: 'upstream'; readonly entry: UpstreamEntry}
  | {readonly kind: 'upstream_removed'; readonly id: UpstreamId}
  /** A value that cannot be read; it names no upstream to use. */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly reason: string;
      readonly id: UpstreamId | undefined;
    };

/** All that the store holds for the gateway. */
export interface StateReading {
  readonly revision: number;
  readonly changes: readonly StateChange[];
}

/** Changes after a revision; `compacted` when they are not kept any more. */
export type ChangeReading = StateReading | 'compacted';

/** Reads the state of the platform. */
export interface StateStore {
  readAll(timeoutMs: number): ResultAsync<StateReading, PlatformError>;
  readConfig(
    timeoutMs: number,
  ): ResultAsync<GatewayConfig | undefined, PlatformError>;
  /** Waits up to `waitMs` for changes after `revision`. */
  readChanges(
    revision: number,
    waitMs: number,
    timeoutMs: number,
  ): ResultAsync<ChangeReading, PlatformError>;
}
