/**
 * Service classes and workspaces, which operators configure.
 */
import type {ClassId, UpstreamId, WorkspaceId} from './Ids.js';

/** Priority of a class: 1 is the highest, 4 the lowest. */
export type Tier = 1 | 2 | 3 | 4;

/** The lowest tier, and the number of tiers. */
export const lowestTier: Tier = 4;

/** Latency target of a class; at least one field is set. */
export interface LatencyTarget {
  readonly firstTokenMs?: number;
  readonly tokenGapMs?: number;
  readonly totalMs?: number;
}

/** Which requests belong to a class when the caller does not name one. */
export interface ClassMatch {
  /** Names of models; empty for plain services. */
  readonly models: readonly string[];
  /** Names of plain services; empty for models. */
  readonly services: readonly string[];
  /** HTTP methods of plain calls; empty for all. */
  readonly methods: readonly string[];
  /** Path prefixes of plain calls; empty for all. */
  readonly paths: readonly string[];
  /** True when requests belong to the class only if the caller names it. */
  readonly onlyWhenNamed?: boolean;
}

/** A service class as operators define it. */
export interface ServiceClass {
  readonly id: ClassId;
  readonly tier: Tier;
  readonly target: LatencyTarget;
  /** False for calls that must run at most once. */
  readonly idempotent: boolean;
  /** Bound on the wait; a class that exceeds it gets the next free slot. */
  readonly maxWaitMs: number;
  readonly match: ClassMatch;
}

/** A workspace and the hash of the key that its callers present. */
export interface Workspace {
  readonly id: WorkspaceId;
  /** Lower-case hexadecimal SHA-256 of the workspace key. */
  readonly keySha256: string;
}

/** The operators' configuration as one versioned value. */
export interface OperatorConfig {
  /** 0 before any configuration was accepted; incremented by each change. */
  readonly version: number;
  readonly classes: readonly ServiceClass[];
  readonly workspaces: readonly Workspace[];
  /** Upstreams that get no new work because an operator drained them. */
  readonly drainedUpstreams: readonly UpstreamId[];
}

/** The operators' configuration as the platform stores it. */
export interface StoredConfig {
  readonly version: number;
  /** Identifies the write, to find its outcome after a lost response. */
  readonly writeId: string;
  readonly author: string;
  readonly changedAtWallMs: number;
  /** The classes file as the operator wrote it. */
  readonly classesText: string;
  readonly drainedUpstreams: readonly UpstreamId[];
}
