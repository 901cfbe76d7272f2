import type {WatchEvent} from '@toucanrouter/common';

/** Collects watch events, and can wait for a number of them. */
export function createEventLog() {
  const seen: string[] = [];
  let check = () => {};
  return {
    seen,
    add: (events: readonly WatchEvent[]) => {
      for (const {key, entry} of events) {
        seen.push(entry ? `${key}=${Buffer.from(entry.value)}` : `${key} gone`);
      }
      check();
    },
    waitFor: (count: number) =>
      new Promise<void>(resolve => {
        check = () => {
          if (seen.length >= count) resolve();
        };
        check();
      }),
  };
}
