/**
 * The queue of one class: started jobs first, then the requests of the
 * workspace that has used the least slot time.
 */
import type {ClassId, Tier, WorkspaceId} from '@toucanrouter/common';
import type {SlotUsage} from './SchedulerFairness.js';
import type {QueuedRequest} from './SchedulerTypes.js';

/** The newest request of the workspace with the largest backlog. */
export interface LargestBacklog {
  readonly newest: QueuedRequest;
  readonly size: number;
}

/** The queue of one class. */
export interface ClassQueue {
  readonly classId: ClassId;
  /** Tier to use while the class is unknown. */
  readonly fallbackTier: Tier;
  readonly size: number;
  /** Number of requests that no earlier attempt has started. */
  readonly unstartedSize: number;
  add(entry: QueuedRequest): void;
  remove(entry: QueuedRequest): void;
  /** Requests in the order in which they should be granted. */
  inGrantOrder(): Iterable<QueuedRequest>;
  /** The request that has waited longest. */
  oldest(): QueuedRequest | undefined;
  largestBacklog(): LargestBacklog | undefined;
}

type Compare = (a: QueuedRequest, b: QueuedRequest) => number;

const byWaitStart: Compare = (a, b) => a.waitingSinceMs - b.waitingSinceMs;

const byArrival: Compare = (a, b) =>
  a.request.arrivedAtMs - b.request.arrivedAtMs;

// Searches from the end, because requests arrive nearly in order.
function insertSorted(
  list: QueuedRequest[],
  entry: QueuedRequest,
  compare: Compare,
): void {
  const last = list.findLastIndex(other => compare(other, entry) <= 0);
  list.splice(last + 1, 0, entry);
}

function removeFrom(list: QueuedRequest[], entry: QueuedRequest): void {
  const index = list.indexOf(entry);
  if (index >= 0) list.splice(index, 1);
}

function newestOf(list: readonly QueuedRequest[]): QueuedRequest | undefined {
  let newest: QueuedRequest | undefined;
  for (const entry of list) {
    if (newest === undefined || entry.sequence > newest.sequence)
      newest = entry;
  }
  return newest;
}

/** Creates an empty queue of a class. */
export function createClassQueue(
  classId: ClassId,
  fallbackTier: Tier,
  usage: SlotUsage,
): ClassQueue {
  const started: QueuedRequest[] = [];
  const backlogs = new Map<WorkspaceId, QueuedRequest[]>();
  let unstartedSize = 0;

  function addUnstarted(entry: QueuedRequest): void {
    const {workspaceId} = entry.request;
    unstartedSize += 1;
    const backlog = backlogs.get(workspaceId);
    if (backlog !== undefined) {
      insertSorted(backlog, entry, byWaitStart);
      return;
    }
    usage.recordBacklogStart(classId, workspaceId);
    backlogs.set(workspaceId, [entry]);
  }

  function removeUnstarted(entry: QueuedRequest): void {
    const {workspaceId} = entry.request;
    const backlog = backlogs.get(workspaceId);
    if (backlog === undefined) return;
    removeFrom(backlog, entry);
    unstartedSize -= 1;
    if (backlog.length === 0) backlogs.delete(workspaceId);
  }

  function* byUsage(): Iterable<QueuedRequest> {
    const ranked = [...backlogs]
      .map(([id, list]) => ({list, usedMs: usage.usedMs(classId, id)}))
      .sort((a, b) => a.usedMs - b.usedMs || compareHeads(a.list, b.list));
    for (const {list} of ranked) yield* list;
  }

  return {
    classId,
    fallbackTier,
    get size() {
      return started.length + unstartedSize;
    },
    get unstartedSize() {
      return unstartedSize;
    },
    add: entry => {
      if (entry.request.resume === undefined) addUnstarted(entry);
      else insertSorted(started, entry, byArrival);
    },
    remove: entry => {
      if (entry.request.resume === undefined) removeUnstarted(entry);
      else removeFrom(started, entry);
    },
    *inGrantOrder() {
      yield* started;
      yield* byUsage();
    },
    oldest: () => oldestOf(started, backlogs),
    largestBacklog: () => largestOf(backlogs),
  };
}

function compareHeads(
  a: readonly QueuedRequest[],
  b: readonly QueuedRequest[],
): number {
  return (a[0]?.waitingSinceMs ?? 0) - (b[0]?.waitingSinceMs ?? 0);
}

function oldestOf(
  started: readonly QueuedRequest[],
  backlogs: ReadonlyMap<WorkspaceId, readonly QueuedRequest[]>,
): QueuedRequest | undefined {
  const heads = [...started];
  for (const [head] of backlogs.values()) {
    if (head !== undefined) heads.push(head);
  }
  return heads.sort(byWaitStart)[0];
}

function largestOf(
  backlogs: ReadonlyMap<WorkspaceId, readonly QueuedRequest[]>,
): LargestBacklog | undefined {
  let largest: LargestBacklog | undefined;
  for (const list of backlogs.values()) {
    const newest = newestOf(list);
    if (newest === undefined) continue;
    const candidate = {newest, size: list.length};
    if (largest === undefined || isEvictedBefore(candidate, largest)) {
      largest = candidate;
    }
  }
  return largest;
}

/** Returns true when `a` is evicted before `b`: larger backlog, then newer. */
export function isEvictedBefore(a: LargestBacklog, b: LargestBacklog): boolean {
  if (a.size !== b.size) return a.size > b.size;
  return a.newest.sequence > b.newest.sequence;
}
