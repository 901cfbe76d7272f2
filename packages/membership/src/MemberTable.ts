/**
 * Membership table and failure detector of one instance. It combines direct
 * heartbeats, gossip from peers and the platform's instance list, which lags,
 * and determines which instances are considered alive. Time is an argument of
 * every call.
 */
import type {InstanceId} from '@toucanrouter/common';
import {partitionOf} from '@toucanrouter/common';
import type {GossipEntry, MemberRecord, MemberState} from './Member.js';
import {
  evictAfterMs,
  gossipEntriesPerHeartbeat,
  gossipStartRange,
  gossipTtlMsPerMember,
  minGossipTtlMs,
  suspectAfterMs,
} from './MemberTableConstants.js';

export interface MemberTable {
  /** Returns this instance's own record, with its current state. */
  self(): MemberRecord;
  markLeaving(): void;
  /**
   * Adds a record of the platform's instance list. It is no proof of liveness.
   */
  addListedMember(member: MemberRecord, nowMs: number): void;
  /** Records a heartbeat that was received from the member itself. */
  recordHeartbeat(member: MemberRecord, nowMs: number): void;
  /** Records an entry that another instance gossiped. */
  recordGossip(entry: GossipEntry, nowMs: number): void;
  /** Returns the entries for the next heartbeat, in rotation. */
  nextGossip(nowMs: number): readonly GossipEntry[];
  /** Instances considered alive, including this one and leaving ones. */
  alive(nowMs: number): readonly MemberRecord[];
  /** All other instances in the table, alive or not. */
  known(): readonly MemberRecord[];
  /** Time since the last direct heartbeat; undefined if there was none. */
  heartbeatAgeMs(instanceId: InstanceId, nowMs: number): number | undefined;
  /** Evicts instances without evidence of liveness for `evictAfterMs`. */
  evictStaleMembers(nowMs: number): void;
}

interface Row {
  member: MemberRecord;
  lastHeartbeatAtMs: number | undefined;
  lastGossipAtMs: number | undefined;
  firstSeenAtMs: number;
}

function laterState(first: MemberState, second: MemberState): MemberState {
  return first === 'leaving' || second === 'leaving' ? 'leaving' : 'live';
}

/**
 * Merges two records of one instance. The higher incarnation wins, and within
 * one incarnation `leaving` does.
 */
export function mergeMembers(
  first: MemberRecord,
  second: MemberRecord,
): MemberRecord {
  if (second.incarnation > first.incarnation) return second;
  if (second.incarnation < first.incarnation) return first;
  return {...first, state: laterState(first.state, second.state)};
}

/** Returns how long gossip is valid in a fleet of `memberCount` instances. */
export function gossipTtlMs(memberCount: number): number {
  return Math.max(minGossipTtlMs, memberCount * gossipTtlMsPerMember);
}

function isAlive(row: Row, nowMs: number, ttlMs: number): boolean {
  if (row.lastHeartbeatAtMs !== undefined) {
    return nowMs - row.lastHeartbeatAtMs <= suspectAfterMs;
  }
  if (row.lastGossipAtMs === undefined) return false;
  return nowMs - row.lastGossipAtMs <= ttlMs;
}

function lastHeardAtMs(row: Row): number {
  return Math.max(
    row.lastHeartbeatAtMs ?? -Infinity,
    row.lastGossipAtMs ?? -Infinity,
  );
}

/** A listed member that was never heard of is kept as long as the others. */
function lastEvidenceAtMs(row: Row): number {
  return Math.max(lastHeardAtMs(row), row.firstSeenAtMs);
}

/** Creates the table of the instance that has the record `self`. */
export function createMemberTable(self: MemberRecord): MemberTable {
  let selfRecord = self;
  // Each instance starts at a different member, so that gossip from all of them
  // covers the fleet sooner.
  let nextGossipIndex = partitionOf(self.instanceId, gossipStartRange);
  const rows = new Map<InstanceId, Row>();

  function upsert(member: MemberRecord, nowMs: number): Row | undefined {
    if (member.instanceId === selfRecord.instanceId) return undefined;
    const row = rows.get(member.instanceId);
    if (row === undefined) {
      const created: Row = {
        member,
        lastHeartbeatAtMs: undefined,
        lastGossipAtMs: undefined,
        firstSeenAtMs: nowMs,
      };
      rows.set(member.instanceId, created);
      return created;
    }
    if (member.incarnation < row.member.incarnation) return undefined;
    if (member.incarnation > row.member.incarnation) {
      row.lastHeartbeatAtMs = undefined;
      row.lastGossipAtMs = undefined;
    }
    row.member = mergeMembers(row.member, member);
    return row;
  }

  function aliveRows(nowMs: number): readonly Row[] {
    const ttlMs = gossipTtlMs(rows.size);
    return [...rows.values()].filter(row => isAlive(row, nowMs, ttlMs));
  }

  function toGossipEntry(row: Row, nowMs: number): GossipEntry {
    return {
      member: row.member,
      heardAgoMs: Math.max(0, nowMs - lastHeardAtMs(row)),
    };
  }

  function nextGossip(nowMs: number): readonly GossipEntry[] {
    const candidates = aliveRows(nowMs);
    const count = Math.min(gossipEntriesPerHeartbeat, candidates.length);
    const entries: GossipEntry[] = [];
    for (let i = 0; i < count; i++) {
      const row = candidates[(nextGossipIndex + i) % candidates.length];
      if (row !== undefined) entries.push(toGossipEntry(row, nowMs));
    }
    nextGossipIndex += count;
    return entries;
  }

  return {
    self: () => selfRecord,
    markLeaving: () => {
      selfRecord = {...selfRecord, state: 'leaving'};
    },
    addListedMember: (member, nowMs) => {
      upsert(member, nowMs);
    },
    recordHeartbeat: (member, nowMs) => {
      const row = upsert(member, nowMs);
      if (row !== undefined) row.lastHeartbeatAtMs = nowMs;
    },
    recordGossip: (entry, nowMs) => {
      const row = upsert(entry.member, nowMs);
      if (row === undefined) return;
      const heardAtMs = nowMs - entry.heardAgoMs;
      row.lastGossipAtMs = Math.max(row.lastGossipAtMs ?? -Infinity, heardAtMs);
    },
    nextGossip,
    alive: nowMs => [selfRecord, ...aliveRows(nowMs).map(row => row.member)],
    known: () => [...rows.values()].map(row => row.member),
    heartbeatAgeMs: (instanceId, nowMs) => {
      const lastHeartbeatAtMs = rows.get(instanceId)?.lastHeartbeatAtMs;
      return lastHeartbeatAtMs === undefined
        ? undefined
        : nowMs - lastHeartbeatAtMs;
    },
    evictStaleMembers: nowMs => {
      for (const [instanceId, row] of rows) {
        if (nowMs - lastEvidenceAtMs(row) > evictAfterMs) {
          rows.delete(instanceId);
        }
      }
    },
  };
}
