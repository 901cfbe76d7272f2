/**
 * Register of the upstream incarnations that were seen leaving. It keeps them
 * while a lagging instance list does not show them as leaving.
 */
import type {UpstreamId, UpstreamInfo} from '@toucanrouter/common';
import {maxLeavingEntries} from './UpstreamTrackerConstants.js';

/** The highest leaving incarnation of each upstream. */
export interface LeavingRegister {
  observe(info: UpstreamInfo): void;
  isLeaving(info: Pick<UpstreamInfo, 'id' | 'incarnation'>): boolean;
}

/** Creates an empty register. */
export function createLeavingRegister(): LeavingRegister {
  const highestLeaving = new Map<UpstreamId, number>();

  function evictOldest(): void {
    for (const id of highestLeaving.keys()) {
      if (highestLeaving.size <= maxLeavingEntries) return;
      highestLeaving.delete(id);
    }
  }

  return {
    observe: info => {
      if (!info.leaving) return;
      const known = highestLeaving.get(info.id) ?? info.incarnation;
      highestLeaving.delete(info.id);
      highestLeaving.set(info.id, Math.max(known, info.incarnation));
      evictOldest();
    },
    isLeaving: info => {
      const incarnation = highestLeaving.get(info.id);
      return incarnation !== undefined && info.incarnation <= incarnation;
    },
  };
}
