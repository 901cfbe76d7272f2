/**
 * Upstreams as the platform's instance list describes them.
 */
import type {ShardId, UpstreamId} from './Ids.js';
import {toShardId} from './Ids.js';

/** The kinds of upstream. */
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
  /** Grows when the upstream is restarted. */
  readonly incarnation: number;
  readonly leaving: boolean;
}

/** Returns the shard that an upstream belongs to. */
export function shardOf(
  upstream: Pick<UpstreamInfo, 'kind' | 'region' | 'serves'>,
): ShardId {
  return toShardId(`${upstream.kind}:${upstream.serves}@${upstream.region}`);
}
