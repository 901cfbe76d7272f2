/**
 * The instance list of the platform stand-in. Changes show after a lag, as on
 * a platform whose list is late.
 */
import type {Clock} from '@toucanrouter/common';
import {z} from 'zod';

/** One entry in the service-discovery JSON format. */
export const listedInstanceSchema = z.object({
  targets: z.array(z.string()),
  labels: z.record(z.string(), z.string()),
});

/** One entry in the service-discovery JSON format. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

interface PendingChange {
  readonly madeAtMs: number;
  readonly id: string;
  /** Undefined removes the entry. */
  readonly entry: ListedInstance | undefined;
}

/** A list whose changes show after a lag. */
export interface LaggingInstanceList {
  set(id: string, entry: ListedInstance): void;
  remove(id: string): void;
  /** The entries as of `lagMs` ago. */
  visible(lagMs: number): readonly ListedInstance[];
}

/** Creates an empty list. */
export function createLaggingInstanceList(clock: Clock): LaggingInstanceList {
  const shown = new Map<string, ListedInstance>();
  let pending: PendingChange[] = [];

  function add(id: string, entry: ListedInstance | undefined): void {
    pending.push({madeAtMs: clock.nowMs(), id, entry});
  }

  function show(change: PendingChange): void {
    if (change.entry === undefined) shown.delete(change.id);
    else shown.set(change.id, change.entry);
  }

  return {
    set: add,
    remove: id => add(id, undefined),
    visible: lagMs => {
      const limitMs = clock.nowMs() - lagMs;
      const due = pending.filter(change => change.madeAtMs <= limitMs);
      pending = pending.filter(change => change.madeAtMs > limitMs);
      due.forEach(show);
      return [...shown.values()];
    },
  };
}
