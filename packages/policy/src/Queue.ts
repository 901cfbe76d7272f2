/**
 * The queued requests of one shard, in one queue for each class.
 */
import type {
  AcquireRequest,
  ClassId,
  InstanceId,
  RequestId,
  Tier,
} from '@toucanrouter/common';
import type {ClassQueue} from './ClassQueue.js';
import {createClassQueue} from './ClassQueue.js';
import type {SlotUsage} from './SchedulerFairness.js';
import type {QueuedRequest} from './SchedulerTypes.js';

/** The queues of all classes of a shard. */
export interface Queue {
  readonly size: number;
  /** Number of requests that no earlier attempt has started. */
  readonly unstartedSize: number;
  add(entry: QueuedRequest): void;
  remove(entry: QueuedRequest): void;
  find(key: string): QueuedRequest | undefined;
  ofRequest(requestId: RequestId): readonly QueuedRequest[];
  ofHolder(holder: InstanceId): readonly QueuedRequest[];
  /** All queued requests, in the order in which they were added. */
  entries(): readonly QueuedRequest[];
  /** Hedges, whose requests already run elsewhere. */
  hedges(): readonly QueuedRequest[];
  /** The class queues that are not empty. */
  classQueues(): readonly ClassQueue[];
}

/** Returns a key that identifies one attempt of one request. */
export function attemptKey(
  request: Pick<AcquireRequest, 'attempt' | 'requestId'>,
): string {
  return `${request.requestId}#${request.attempt}`;
}

// Requests of an unknown class can differ in fallback tier, so the tier is
// part of the key.
function classKey(classId: ClassId, fallbackTier: Tier): string {
  return `${fallbackTier}/${classId}`;
}

/** Creates an empty queue whose classes order workspaces by `usage`. */
export function createQueue(usage: SlotUsage): Queue {
  const hedges = new Set<QueuedRequest>();
  const entries = new Map<string, QueuedRequest>();
  const queues = new Map<string, ClassQueue>();

  function queueOf(request: AcquireRequest): ClassQueue {
    const key = classKey(request.classId, request.fallbackTier);
    const existing = queues.get(key);
    if (existing !== undefined) return existing;
    const created = createClassQueue(
      request.classId,
      request.fallbackTier,
      usage,
    );
    queues.set(key, created);
    return created;
  }

  function select(
    matches: (entry: QueuedRequest) => boolean,
  ): readonly QueuedRequest[] {
    return [...entries.values()].filter(matches);
  }

  return {
    get size() {
      return entries.size;
    },
    get unstartedSize() {
      return [...queues.values()].reduce(
        (sum, queue) => sum + queue.unstartedSize,
        0,
      );
    },
    add: entry => {
      entries.set(attemptKey(entry.request), entry);
      queueOf(entry.request).add(entry);
      if (entry.request.hedge) hedges.add(entry);
    },
    remove: entry => {
      if (!entries.delete(attemptKey(entry.request))) return;
      hedges.delete(entry);
      const queue = queueOf(entry.request);
      queue.remove(entry);
      if (queue.size > 0) return;
      queues.delete(classKey(queue.classId, queue.fallbackTier));
    },
    find: key => entries.get(key),
    ofRequest: requestId =>
      select(entry => entry.request.requestId === requestId),
    ofHolder: holder => select(entry => entry.request.holder === holder),
    entries: () => [...entries.values()],
    hedges: () => [...hedges],
    classQueues: () => [...queues.values()],
  };
}
