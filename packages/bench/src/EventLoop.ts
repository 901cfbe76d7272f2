/**
 * Discrete-event loop with a virtual clock. Events run in order of time and,
 * at equal times, in the order in which they were added.
 */

/** Schedules and runs events in virtual time. */
export interface EventLoop {
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  /** Runs all events up to and including `untilMs`. */
  run(untilMs: number): void;
}

interface TimedEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

/** Creates a binary min-heap of events, ordered by time. */
function createEventHeap() {
  const heap: TimedEvent[] = [];

  function swap(a: number, b: number): void {
    const event = heap[a]!;
    heap[a] = heap[b]!;
    heap[b] = event;
  }

  function siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) return;
      swap(index, parent);
      index = parent;
    }
  }

  function earliestChild(index: number): number | undefined {
    const left = 2 * index + 1;
    if (left >= heap.length) return undefined;
    const right = left + 1;
    const useRight = right < heap.length && isBefore(heap[right]!, heap[left]!);
    return useRight ? right : left;
  }

  function siftDown(): void {
    let index = 0;
    for (;;) {
      const child = earliestChild(index);
      if (child === undefined || !isBefore(heap[child]!, heap[index]!)) return;
      swap(index, child);
      index = child;
    }
  }

  return {
    peek: () => heap[0],
    push: (event: TimedEvent) => {
      heap.push(event);
      siftUp(heap.length - 1);
    },
    pop: () => {
      const last = heap.pop()!;
      if (heap.length === 0) return;
      heap[0] = last;
      siftDown();
    },
  };
}

/** Creates a loop at time 0 without events. */
export function createEventLoop(): EventLoop {
  const heap = createEventHeap();
  let currentMs = 0;
  let nextSequence = 0;

  return {
    nowMs: () => currentMs,
    after: (delayMs, run) => {
      heap.push({atMs: currentMs + delayMs, sequence: nextSequence++, run});
    },
    run: untilMs => {
      for (
        let event = heap.peek();
        event !== undefined && event.atMs <= untilMs;
        event = heap.peek()
      ) {
        heap.pop();
        currentMs = event.atMs;
        event.run();
      }
      currentMs = untilMs;
    },
  };
}
