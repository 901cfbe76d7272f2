/**
 * Requests of one shard that wait for a permit, in one queue for each class.
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

/** All queues of a shard. */
export interface Queue {
  readonly size: number;
  /** Requests that were not started by an earlier attempt. */
  readonly unstartedSize: number;
  add(entry: QueuedRequest): void;
  remove(entry: QueuedRequest): void;
  find(key: string): QueuedRequest | undefined;
  ofRequest(requestId: RequestId): readonly QueuedRequest[];
  ofHolder(holder: InstanceId): readonly QueuedRequest[];
  /** All waiting requests, oldest first. */
  entries(): readonly QueuedRequest[];
  /** Second copies of requests that run already. */
  hedges(): readonly QueuedRequest[];
  /** The queues that hold at least one request. */
  classQueues(): readonly ClassQueue[];
}

/** Names one attempt of one request. */
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

/** Creates an empty queue, fair by `usage` inside each class. */
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
