/**
 * The instance list of the platform stand-in. Changes become visible after a
 * lag, as on a platform whose list is eventually consistent.
 */
import type {Clock} from '@toucanrouter/common';
import {z} from 'zod';

/** Schema of one entry in the service-discovery JSON format. */
export const listedInstanceSchema = z.object({
  targets: z.array(z.string()),
  labels: z.record(z.string(), z.string()),
});

/** One entry in the service-discovery JSON format. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

interface PendingChange {
  readonly changedAtMs: number;
  readonly id: string;
  /** Undefined removes the entry. */
  readonly entry: ListedInstance | undefined;
}

/** An instance list whose changes become visible after a lag. */
export interface LaggingInstanceList {
  set(id: string, entry: ListedInstance): void;
  remove(id: string): void;
  /** Returns the entries as of `lagMs` ago. */
  visible(lagMs: number): readonly ListedInstance[];
}

export function createLaggingInstanceList(clock: Clock): LaggingInstanceList {
  const visibleEntries = new Map<string, ListedInstance>();
  let pending: PendingChange[] = [];

  function enqueue(id: string, entry: ListedInstance | undefined): void {
    pending.push({changedAtMs: clock.nowMs(), id, entry});
  }

  function applyChange(change: PendingChange): void {
    if (change.entry === undefined) visibleEntries.delete(change.id);
    else visibleEntries.set(change.id, change.entry);
  }

  return {
    set: enqueue,
    remove: id => enqueue(id, undefined),
    visible: lagMs => {
      const cutoffMs = clock.nowMs() - lagMs;
      const due = pending.filter(change => change.changedAtMs <= cutoffMs);
      pending = pending.filter(change => change.changedAtMs > cutoffMs);
      due.forEach(applyChange);
      return [...visibleEntries.values()];
    },
  };
}
