/**
 * The entries by which upstreams register themselves in the platform's store.
 */
import type {
  ServiceName,
  SoftwareVersion,
  UpstreamId,
} from '@toucanrouter/common';

/** One upstream of a service. */
export interface UpstreamEntry {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Requests that the upstream runs at the same time. */
  readonly slots: number;
  /** True when the upstream takes no new work. */
  readonly leaving: boolean;
  /** Start of the process, in Unix milliseconds; undefined if not reported. */
  readonly startedAtMs: number | undefined;
  /**
   * Version of the upstream's software; undefined if not reported. A stream may
   * go on only at the version that began it.
   */
  readonly softwareVersion: SoftwareVersion | undefined;
}

/** Returns a key of the process that an entry describes. */
export function processKeyOf({
  id,
  startedAtMs,
}: Pick<UpstreamEntry, 'id' | 'startedAtMs'>): string {
  return `${startedAtMs ?? ''}/${id}`;
}
