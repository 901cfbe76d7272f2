/**
 * The time by which all instances assign events to windows. The wall clocks of
 * instances differ little, but one may jump by seconds and back. A jump against
 * the monotonic clock is followed only once it has lasted. Load pattern: clocks of
 * a third of the instances that step by seconds for a while, which would move
 * their counts to other windows.
 */
import type {Clock} from '@toucanrouter/common';

/** A wall clock without short jumps. */
export interface FleetTime {
  nowMs(): number;
}

/** Smaller differences come from clock synchronization and are followed. */
const maxSlewMs = 200;
/** A jump that lasts this long is a correction, or the process was suspended. */
const lastingJumpMs = 10_000;

/** Creates a time that agrees with the wall clock. */
export function createFleetTime(clock: Clock): FleetTime {
  const wallOffsetMs = () => clock.wallMs() - clock.nowMs();
  let offsetMs = wallOffsetMs();
  let jumpedAtMs: number | undefined;

  function follow(): void {
    const nextMs = wallOffsetMs();
    if (Math.abs(nextMs - offsetMs) <= maxSlewMs) {
      offsetMs = nextMs;
      jumpedAtMs = undefined;
      return;
    }
    jumpedAtMs ??= clock.nowMs();
    if (clock.nowMs() - jumpedAtMs < lastingJumpMs) return;
    offsetMs = nextMs;
    jumpedAtMs = undefined;
  }

  return {
    nowMs: () => {
      follow();
      return clock.nowMs() + offsetMs;
    },
  };
}
