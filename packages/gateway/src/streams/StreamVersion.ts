/**
 * The software version that a stream goes on at. An upstream that does not tell
 * its version may run any, so that only its process can go on with a stream that
 * it began.
 */
import type {SoftwareVersion} from '@toucanrouter/common';
import {toSoftwareVersion} from '@toucanrouter/common';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';
import {processKeyOf} from '../upstreams/UpstreamEntry.js';

/** Returns the version by which the streams of an upstream are compared. */
export function streamVersionOf(entry: UpstreamEntry): SoftwareVersion {
  return (
    entry.softwareVersion ?? toSoftwareVersion(`process ${processKeyOf(entry)}`)
  );
}

/** The version of one stream, which is fixed once and never changes. */
export interface StreamVersion {
  /** Undefined while nothing of the stream was passed on. */
  current(): SoftwareVersion | undefined;
  mayServe(entry: UpstreamEntry): boolean;
  /** Fixes the version, unless it is fixed. */
  fix(version: SoftwareVersion): void;
}

/** Creates the version of a stream that may begin anywhere. */
export function createStreamVersion(): StreamVersion {
  let fixed: SoftwareVersion | undefined;
  return {
    current: () => fixed,
    mayServe: entry => fixed === undefined || fixed === streamVersionOf(entry),
    fix: version => {
      fixed ??= version;
    },
  };
}
