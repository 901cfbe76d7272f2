/**
 * The waiting requests of one class: started jobs first, then first come,
 * first served.
 */
import type {ClassId, Tier} from '@toucanrouter/common';
import type {QueuedRequest} from './SchedulerTypes.js';

/** The queue of one class. */
export interface ClassQueue {
  readonly classId: ClassId;
  /** Tier to use while the class is unknown. */
  readonly fallbackTier: Tier;
  readonly size: number;
  add(entry: QueuedRequest): void;
  remove(entry: QueuedRequest): void;
  /** Requests in the order in which they are granted. */
  inOrder(): Iterable<QueuedRequest>;
  /** The request that has waited longest. */
  oldest(): QueuedRequest | undefined;
}

function removeFrom(list: QueuedRequest[], entry: QueuedRequest): void {
  const index = list.indexOf(entry);
  if (index >= 0) list.splice(index, 1);
}

function earlier(
  a: QueuedRequest | undefined,
  b: QueuedRequest | undefined,
): QueuedRequest | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  return b.waitingSinceMs < a.waitingSinceMs ? b : a;
}

/** Creates an empty queue of a class. */
export function createClassQueue(
  classId: ClassId,
  fallbackTier: Tier,
): ClassQueue {
  const started: QueuedRequest[] = [];
  const waiting: QueuedRequest[] = [];

  function listOf(entry: QueuedRequest): QueuedRequest[] {
    return entry.request.resume === undefined ? waiting : started;
  }

  return {
    classId,
    fallbackTier,
    get size() {
      return started.length + waiting.length;
    },
    add: entry => {
      listOf(entry).push(entry);
    },
    remove: entry => removeFrom(listOf(entry), entry),
    *inOrder() {
      yield* started;
      yield* waiting;
    },
    oldest: () =>
      [...started, ...waiting].reduce<QueuedRequest | undefined>(
        earlier,
        undefined,
      ),
  };
}
