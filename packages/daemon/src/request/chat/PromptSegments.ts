/**
 * The segments of a chat prompt that other requests may share: its messages
 * except the last, which belongs to the request itself.
 */
import type {SegmentHash} from '@toucanrouter/policy';
import {segmentHashOf} from '@toucanrouter/policy';

/**
 * Returns the hashes of the shared segments. A message has the same hash
 * wherever it stands in a prompt, and another one for each model.
 */
export function sharedSegmentsOf(
  model: string,
  messages: readonly unknown[],
): readonly SegmentHash[] {
  return messages
    .slice(0, -1)
    .map(message => segmentHashOf(`${model} ${JSON.stringify(message)}`));
}
