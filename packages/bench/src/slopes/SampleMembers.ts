/**
 * Generates the members and shards of a fleet of the design's scale.
 */
import {toInstanceId} from '@toucanrouter/common';
import type {MemberRecord} from '@toucanrouter/membership';

export const regionCount = 7;
const failureDomainCount = 19;
const firstIncarnation = 1_764_800_000_000;

/** Returns the member with an index; members rotate through the regions. */
export function sampleMember(index: number): MemberRecord {
  const region = `region-${index % regionCount}`;
  return {
    instanceId: toInstanceId(`router-${index}`),
    peerAddress: `10.${index % regionCount}.${Math.floor(index / 250)}.${index % 250}:7070`,
    region,
    failureDomain: `${region}-${index % failureDomainCount}`,
    incarnation: firstIncarnation + index,
    state: 'live',
  };
}

/** Returns the first `count` members. */
export function sampleMembers(count: number): readonly MemberRecord[] {
  return Array.from({length: count}, (_, index) => sampleMember(index));
}

/** Returns the engine shards of 9 models in 7 regions, and the claim shards. */
export function sampleResources(): readonly string[] {
  const modelCount = 9;
  const claimShards = 4;
  const shards = Array.from(
    {length: modelCount * regionCount},
    (_, i) =>
      `engine:model-${i % modelCount}@region-${Math.floor(i / modelCount)}`,
  );
  const claims = Array.from({length: claimShards}, (_, i) => `claims ${i}`);
  return [...shards, ...claims];
}
