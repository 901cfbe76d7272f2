import {toSoftwareVersion, toUpstreamId} from '@toucanrouter/common';
import {expect} from 'chai';
import type {VersionedUpstream} from '../../request/chat/ResponseVersion.js';
import {findOtherVersions} from '../../request/chat/ResponseVersion.js';

function upstream(
  name: string,
  version?: string,
  incarnation = 1,
): VersionedUpstream {
  return {
    id: toUpstreamId(name),
    incarnation,
    softwareVersion:
      version === undefined ? undefined : toSoftwareVersion(version),
  };
}

/** Returns whether `other` may go on where `listed` are in service too. */
function mayGoOn(
  origin: VersionedUpstream,
  other: VersionedUpstream,
  listed: readonly VersionedUpstream[] = [],
): boolean {
  return !findOtherVersions(origin, [other, ...listed]).includes(other);
}

const [a, b, c] = [upstream('a', 'v1'), upstream('b', 'v1'), upstream('c')];
const newer = upstream('d', 'v2');

describe('ResponseVersion', () => {
  // Guards against a response that goes on at an engine of another version.
  it('excludes upstreams of other versions and of unknown ones', () => {
    expect(findOtherVersions(a, [a, b, c, newer])).to.deep.equal([c, newer]);
  });

  // Guards against engines that cannot help each other where no one names versions.
  it('excludes nothing if no upstream names a version', () => {
    const listed = [c, upstream('e'), upstream('f', undefined, 2)];
    expect(findOtherVersions(c, listed)).to.deep.equal([]);
    expect(findOtherVersions(undefined, [a, newer])).to.deep.equal([]);
  });

  // Guards against a join with the process that took the place of the origin.
  it('takes each process without a version as a version of its own', () => {
    const restarted = upstream('c', undefined, 2);
    expect(mayGoOn(c, c, [a])).to.equal(true);
    expect(mayGoOn(c, upstream('e'), [c, a])).to.equal(false);
    expect(mayGoOn(c, restarted, [a])).to.equal(false);
  });

  it('compares the version of an upstream that was restarted', () => {
    const restarted = upstream('a', 'v1', 2);
    const replaced = upstream('a', 'v2', 2);
    expect(mayGoOn(a, restarted)).to.equal(true);
    expect(mayGoOn(a, replaced)).to.equal(false);
  });

  // Guards against giving up a response because its upstream's entry came late.
  it('knows a process again whose entry gains or loses its version', () => {
    const named = upstream('c', 'v1');
    expect(mayGoOn(c, named)).to.equal(true);
    expect(mayGoOn(named, c)).to.equal(true);
  });
});
