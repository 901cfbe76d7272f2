/**
 * Builds instances of the prompt quarantine that exchange reports, and the
 * crashes and first events that they see.
 */
import {createSeededRandom} from '@toucanrouter/common';
import type {
  Conviction,
  PromptQuarantine,
  QuarantineLimits,
  SegmentHash,
  UpstreamCrash,
} from '../../index.js';
import {
  createPromptQuarantine,
  requestHashOf,
  segmentHashOf,
  upstreamStartHashOf,
} from '../../index.js';

/** An instance and what its quarantine reported. */
export interface QuarantineFixture {
  readonly quarantine: PromptQuarantine;
  readonly convictions: Conviction[];
  readonly cleared: SegmentHash[];
  readonly expired: SegmentHash[];
}

/** Creates an instance that convicts at once. */
export function createQuarantineFixture(
  limits: Partial<QuarantineLimits> = {},
  seed = 1,
): QuarantineFixture {
  const convictions: Conviction[] = [];
  const cleared: SegmentHash[] = [];
  const expired: SegmentHash[] = [];
  const quarantine = createPromptQuarantine({
    limits: {settleMs: 0, ...limits},
    random: createSeededRandom(seed),
    onConvicted: conviction => convictions.push(conviction),
    onCleared: segment => cleared.push(segment),
    onExpired: segment => expired.push(segment),
  });
  return {quarantine, convictions, cleared, expired};
}

/** Returns the hashes of segments. */
export function segments(...ids: string[]): readonly SegmentHash[] {
  return ids.map(segmentHashOf);
}

/** Returns the hash of an upstream that started once. */
export const upstream = (id: string) => upstreamStartHashOf(id, 0);

/** Builds a crash; each request is its id followed by its segments. */
export function crash(
  upstreamId: string,
  atMs: number,
  ...requests: (readonly [string, ...string[]])[]
): UpstreamCrash {
  return {
    upstream: upstream(upstreamId),
    atMs,
    requests: requests.map(([request, ...ids]) => ({
      request: requestHashOf(request),
      segments: segments(...ids),
    })),
  };
}

/** Sends the due report of one instance to others. */
export function exchangeReport(
  from: QuarantineFixture,
  to: readonly QuarantineFixture[],
  nowMs: number,
): void {
  const report = from.quarantine.takeReport(nowMs);
  if (report === undefined) return;
  for (const {quarantine} of to) quarantine.receive(report, nowMs);
}
