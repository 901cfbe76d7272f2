/**
 * The table of router instances that one instance keeps. It combines direct
 * heartbeats, entries that peers pass on and the platform's lagging list, and
 * answers who is considered alive. Time is an argument of every call.
 */
import type {InstanceId} from '@toucanrouter/common';
import {partitionOf} from '@toucanrouter/common';
import type {GossipEntry, MemberRecord, MemberState} from './Member.js';
import {
  forgetAfterMs,
  gossipEntriesPerHeartbeat,
  gossipStartRange,
  hearsayValidMsPerMember,
  minHearsayValidMs,
  suspectAfterMs,
} from './MemberTableConstants.js';

/** The table of known instances. */
export interface MemberTable {
  /** Own record, with the current state. */
  self(): MemberRecord;
  /** Marks this instance as leaving. */
  markLeaving(): void;
  /** Takes in a record from the platform's list, which proves no liveness. */
  addListedMembers(member: MemberRecord, nowMs: number): void;
  /** Takes in a heartbeat that came directly from the member. */
  recordHeartbeat(member: MemberRecord, nowMs: number): void;
  /** Takes in an entry that another instance passed on. */
  recordGossip(entry: GossipEntry, nowMs: number): void;
  /** The next entries to pass on, in rotation. */
  nextGossip(nowMs: number): readonly GossipEntry[];
  /** Instances considered alive, this one included, leaving ones too. */
  alive(nowMs: number): readonly MemberRecord[];
  /** Instances to keep links to, alive or not. */
  known(): readonly MemberRecord[];
  /** Time since the last direct heartbeat; undefined when there was none. */
  heartbeatAgeMs(instanceId: InstanceId, nowMs: number): number | undefined;
  /** Forgets instances that nobody has heard for long. */
  evictStaleMembers(nowMs: number): void;
}

interface Row {
  member: MemberRecord;
  directAtMs: number | undefined;
  hearsayAtMs: number | undefined;
  firstSeenAtMs: number;
}

function laterState(first: MemberState, second: MemberState): MemberState {
  return first === 'leaving' || second === 'leaving' ? 'leaving' : 'live';
}

/** Merges two records of one instance; the higher incarnation wins. */
export function mergeMembers(
  first: MemberRecord,
  second: MemberRecord,
): MemberRecord {
  if (second.incarnation > first.incarnation) return second;
  if (second.incarnation < first.incarnation) return first;
  return {...first, state: laterState(first.state, second.state)};
}

/** Time for which hearsay counts in a fleet of `memberCount` instances. */
export function hearsayValidMs(memberCount: number): number {
  return Math.max(minHearsayValidMs, memberCount * hearsayValidMsPerMember);
}

function isAlive(row: Row, nowMs: number, hearsayMs: number): boolean {
  if (row.directAtMs !== undefined) {
    return nowMs - row.directAtMs <= suspectAfterMs;
  }
  if (row.hearsayAtMs === undefined) return false;
  return nowMs - row.hearsayAtMs <= hearsayMs;
}

function lastEvidenceMs(row: Row): number {
  return Math.max(
    row.directAtMs ?? -Infinity,
    row.hearsayAtMs ?? -Infinity,
    row.firstSeenAtMs,
  );
}

/** Creates the table of the instance that `self` describes. */
export function createMemberTable(self: MemberRecord): MemberTable {
  let own = self;
  // Instances start at different members, so that together they name all soon.
  let nextGossipIndex = partitionOf(self.instanceId, gossipStartRange);
  const rows = new Map<InstanceId, Row>();

  function upsert(member: MemberRecord, nowMs: number): Row | undefined {
    if (member.instanceId === own.instanceId) return undefined;
    const row = rows.get(member.instanceId);
    if (row === undefined) {
      const created: Row = {
        member,
        directAtMs: undefined,
        hearsayAtMs: undefined,
        firstSeenAtMs: nowMs,
      };
      rows.set(member.instanceId, created);
      return created;
    }
    if (member.incarnation < row.member.incarnation) return undefined;
    if (member.incarnation > row.member.incarnation) {
      row.directAtMs = undefined;
      row.hearsayAtMs = undefined;
    }
    row.member = mergeMembers(row.member, member);
    return row;
  }

  function aliveRows(nowMs: number): readonly Row[] {
    const hearsayMs = hearsayValidMs(rows.size);
    return [...rows.values()].filter(row => isAlive(row, nowMs, hearsayMs));
  }

  function toEntry(row: Row, nowMs: number): GossipEntry {
    return {
      member: row.member,
      heardAgoMs: Math.max(0, nowMs - lastEvidenceMs(row)),
    };
  }

  function nextGossip(nowMs: number): readonly GossipEntry[] {
    const candidates = aliveRows(nowMs);
    const count = Math.min(gossipEntriesPerHeartbeat, candidates.length);
    const entries: GossipEntry[] = [];
    for (let i = 0; i < count; i++) {
      const row = candidates[(nextGossipIndex + i) % candidates.length];
      if (row !== undefined) entries.push(toEntry(row, nowMs));
    }
    nextGossipIndex += count;
    return entries;
  }

  return {
    self: () => own,
    markLeaving: () => {
      own = {...own, state: 'leaving'};
    },
    addListedMembers: (member, nowMs) => {
      upsert(member, nowMs);
    },
    recordHeartbeat: (member, nowMs) => {
      const row = upsert(member, nowMs);
      if (row !== undefined) row.directAtMs = nowMs;
    },
    recordGossip: (entry, nowMs) => {
      const row = upsert(entry.member, nowMs);
      if (row === undefined) return;
      const heardAtMs = nowMs - entry.heardAgoMs;
      row.hearsayAtMs = Math.max(row.hearsayAtMs ?? -Infinity, heardAtMs);
    },
    nextGossip,
    alive: nowMs => [own, ...aliveRows(nowMs).map(row => row.member)],
    known: () => [...rows.values()].map(row => row.member),
    heartbeatAgeMs: (instanceId, nowMs) => {
      const directAtMs = rows.get(instanceId)?.directAtMs;
      return directAtMs === undefined ? undefined : nowMs - directAtMs;
    },
    evictStaleMembers: nowMs => {
      for (const [instanceId, row] of rows) {
        if (nowMs - lastEvidenceMs(row) > forgetAfterMs) {
          rows.delete(instanceId);
        }
      }
    },
  };
}
