/**
 * Decides which upstreams may go on with a response that has begun. Engines of
 * different software versions generate texts that do not fit together, so a
 * response is resumed or continued only at the version that began it.
 *
 * Entries need not name a version. If no entry of a shard names one, the
 * versions are taken to be the same. As soon as one does, each process without
 * a version counts as a version of its own.
 */
import type {UpstreamInfo} from '@toucanrouter/common';

/** Identifies the process of an upstream and the software that it runs. */
export type VersionedUpstream = Pick<
  UpstreamInfo,
  'id' | 'incarnation' | 'softwareVersion'
>;

/** Returns the listed upstreams that may not go on with a response. */
export function findOtherVersions<T extends VersionedUpstream>(
  origin: VersionedUpstream | undefined,
  listed: readonly T[],
): T[] {
  if (origin === undefined || !namesVersions([origin, ...listed])) return [];
  return listed.filter(upstream => !isSameVersion(origin, upstream));
}

function isSameVersion(a: VersionedUpstream, b: VersionedUpstream): boolean {
  if (a.softwareVersion !== undefined && b.softwareVersion !== undefined) {
    return a.softwareVersion === b.softwareVersion;
  }
  // An entry may gain or lose its version while the process runs on.
  return a.id === b.id && a.incarnation === b.incarnation;
}

function namesVersions(upstreams: readonly VersionedUpstream[]): boolean {
  return upstreams.some(({softwareVersion}) => softwareVersion !== undefined);
}
