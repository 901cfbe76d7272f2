/**
 * Upstreams as described by the platform's instance list.
 */
import type {ShardId, SoftwareVersion, UpstreamId} from './Ids.js';
import {toShardId} from './Ids.js';

/** Whether an upstream is a model engine or a plain service. */
export type UpstreamKind = 'engine' | 'service';

/** A model engine or an instance of a plain service. */
export interface UpstreamInfo {
  readonly id: UpstreamId;
  readonly kind: UpstreamKind;
  /** Name of the model or of the plain service. */
  readonly serves: string;
  /** `host:port`. */
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Increases with each restart of the upstream. */
  readonly incarnation: number;
  /** Undefined if the entry does not name one. */
  readonly softwareVersion: SoftwareVersion | undefined;
  readonly leaving: boolean;
}

/** Returns the shard that an upstream belongs to. */
export function shardOf(
  upstream: Pick<UpstreamInfo, 'kind' | 'region' | 'serves'>,
): ShardId {
  return toShardId(`${upstream.kind}:${upstream.serves}@${upstream.region}`);
}
