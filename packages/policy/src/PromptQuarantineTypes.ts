/**
 * Types and limits of the prompt quarantine.
 */
import {hash32} from '@toucanrouter/common';

declare const segmentHashBrand: unique symbol;
declare const upstreamStartHashBrand: unique symbol;
declare const requestHashBrand: unique symbol;

/** Hash of the id of a prompt segment. */
export type SegmentHash = number & {readonly [segmentHashBrand]: true};
/** Hash of one process of an upstream: its id and its start. */
export type UpstreamStartHash = number & {
  readonly [upstreamStartHashBrand]: true;
};
/** Hash of the id of a request. */
export type RequestHash = number & {readonly [requestHashBrand]: true};

/** Returns the hash of the id of a prompt segment. */
export function segmentHashOf(segmentId: string): SegmentHash {
  return hash32(segmentId) as SegmentHash;
}

/** Converts a number that was written as a segment's hash. */
export function toSegmentHash(hash: number): SegmentHash {
  return hash as SegmentHash;
}

/** Returns the hash of one process of an upstream. */
export function upstreamStartHashOf(
  upstreamId: string,
  startedAtMs: number | undefined,
): UpstreamStartHash {
  return hash32(`${upstreamId} ${startedAtMs ?? ''}`) as UpstreamStartHash;
}

/** Returns the hash of the id of a request. */
export function requestHashOf(requestId: string): RequestHash {
  return hash32(requestId) as RequestHash;
}

/** A request that ran, or waited to run, when its upstream ended. */
export interface InterruptedRequest {
  readonly request: RequestHash;
  /** Segments that other requests may share, in the order of the prompt. */
  readonly segments: readonly SegmentHash[];
}

/** The end of an upstream under requests. */
export interface UpstreamCrash {
  readonly upstream: UpstreamStartHash;
  readonly atMs: number;
  readonly requests: readonly InterruptedRequest[];
}

/** The crashes for which a segment is blamed. */
export interface Conviction {
  readonly segment: SegmentHash;
  readonly upstreams: readonly UpstreamStartHash[];
  readonly requests: readonly RequestHash[];
  readonly durationMs: number;
  /** Time since the first crash on which the verdict rests. */
  readonly evidenceAgeMs: number;
  /** True if the verdict was received from a peer. */
  readonly adopted: boolean;
}

/** Why a verdict was lifted before its end. */
export type ClearingReason = 'answered' | 'explained_by_other_segment';

/** A crash as told to peers; times are told as ages. */
export interface ReportedCrash {
  readonly upstream: UpstreamStartHash;
  readonly ageMs: number;
  readonly requests: readonly InterruptedRequest[];
}

/** A verdict as told to peers. */
export interface ReportedVerdict {
  readonly segment: SegmentHash;
  /** Time since the conviction. */
  readonly ageMs: number;
  /** Time since the first crash on which the conviction rests. */
  readonly evidenceAgeMs: number;
  readonly remainingMs: number;
}

/**
 * A segment with which a request was answered to its end. A response before a
 * crash does not clear a segment, but makes others more likely to blame.
 */
export interface ReportedClearing {
  readonly segment: SegmentHash;
  readonly ageMs: number;
}

/** What an instance tells its peers. */
export interface QuarantineReport {
  readonly crashes: readonly ReportedCrash[];
  readonly verdicts: readonly ReportedVerdict[];
  readonly clearings: readonly ReportedClearing[];
}

/** Limits of a quarantine. */
export interface QuarantineLimits {
  /** Crashes older than this are no evidence. */
  readonly evidenceWindowMs: number;
  /** Crashes within this time of each other count as one incident. */
  readonly separationMs: number;
  /** Time in which peers report what they know of a crash. */
  readonly settleMs: number;
  readonly minIncidentCount: number;
  readonly minRequestCount: number;
  /** Incidents from which on an answer with a segment is told to peers. */
  readonly suspicionIncidentCount: number;
  readonly blockedMs: number;
  readonly maxBlockedMs: number;
  /** Random prolongation of a verdict, as a share of its duration. */
  readonly jitterShare: number;
  /** Time between the requests that pass after the end of a verdict. */
  readonly probeIntervalMs: number;
  /** Half-life of the count of complete responses with a segment. */
  readonly answerHalfLifeMs: number;
  readonly verdictRepeatMs: number;
  /** How often a crash or a clearing is reported. */
  readonly reportCount: number;
  readonly maxCrashCount: number;
  readonly maxRequestsPerCrashCount: number;
  /** Bounds the segments of all requests of a crash together. */
  readonly maxSegmentsPerCrashCount: number;
  readonly maxVerdictCount: number;
  readonly maxAnsweredCount: number;
  /** Bounds the crashes and the verdicts of a report, sent or received. */
  readonly maxReportItemCount: number;
  /** Bounds the clearings of a report; a prompt may have hundreds of segments. */
  readonly maxClearingCount: number;
}

/** Limits for a fleet of any size. */
export const defaultQuarantineLimits: QuarantineLimits = {
  evidenceWindowMs: 120_000,
  separationMs: 200,
  settleMs: 200,
  minIncidentCount: 3,
  minRequestCount: 2,
  suspicionIncidentCount: 2,
  blockedMs: 60_000,
  maxBlockedMs: 900_000,
  jitterShare: 0.5,
  probeIntervalMs: 5_000,
  answerHalfLifeMs: 300_000,
  verdictRepeatMs: 1_000,
  reportCount: 3,
  maxCrashCount: 128,
  maxRequestsPerCrashCount: 128,
  maxSegmentsPerCrashCount: 8_192,
  maxVerdictCount: 256,
  maxAnsweredCount: 16_384,
  maxReportItemCount: 32,
  maxClearingCount: 1_024,
};
