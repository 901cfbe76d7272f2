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
  /** True when the platform may take the upstream away at short notice. */
  readonly reclaimable?: boolean;
  /** Start of the process, in Unix milliseconds; undefined if not reported. */
  readonly startedAtMs: number | undefined;
  /**
   * Version of the upstream's software; undefined if not reported. A stream may
   * go on only at the version that began it.
   */
  readonly softwareVersion: SoftwareVersion | undefined;
}

type ProcessFields = Pick<
  UpstreamEntry,
  'id' | 'softwareVersion' | 'startedAtMs'
>;

/** Returns a key of the process that an entry describes. */
export function processKeyOf({
  id,
  softwareVersion,
  startedAtMs,
}: ProcessFields): string {
  return JSON.stringify([startedAtMs ?? '', softwareVersion ?? '', id]);
}

/** True if two entries of an upstream describe the same process. */
export function isSameProcess(a: ProcessFields, b: ProcessFields): boolean {
  return (
    a.id === b.id &&
    a.startedAtMs === b.startedAtMs &&
    a.softwareVersion === b.softwareVersion
  );
}
