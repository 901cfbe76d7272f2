/**
 * The order in which instances take the duties when nobody holds them. All
 * instances rank the registered ones alike by rendezvous hashing, so that usually
 * one of them writes and the others see its record before their turn.
 */
import type {InstanceId} from '@toucanrouter/common';
import {hash64} from '@toucanrouter/common';

const hashKey = 'duties';

/** Returns the instances in the order in which they take the duties. */
export function rankCandidates(
  instances: readonly InstanceId[],
): readonly InstanceId[] {
  const weightOf = (id: InstanceId) => hash64(`${hashKey}\n${id}`);
  return [...new Set(instances)]
    .map(id => ({id, weight: weightOf(id)}))
    .sort((a, b) => (a.weight > b.weight ? -1 : 1))
    .map(({id}) => id);
}

/**
 * Returns the instances other than the owner that keep what the next owner needs:
 * the first ones of the order.
 */
export function standbysOf(
  instances: readonly InstanceId[],
  owner: InstanceId | undefined,
  count: number,
): readonly InstanceId[] {
  return rankCandidates(instances)
    .filter(id => id !== owner)
    .slice(0, count);
}
