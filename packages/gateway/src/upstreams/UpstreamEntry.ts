/**
 * Upstreams as their own entries in the platform's store describe them.
 */
import type {ServiceName, UpstreamId} from '@toucanrouter/common';

/** One upstream of a service. */
export interface UpstreamEntry {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly slots: number;
  /** True when the upstream takes no new work. */
  readonly leaving: boolean;
  /** Start of the process, in Unix milliseconds; undefined when not told. */
  readonly startedAtMs: number | undefined;
}
