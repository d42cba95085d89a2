/** Notices that this process did not run for a while, so that what it knows may be old (§3.7). */
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';

/** A process that was not seen to run for this long was frozen. */
const freezeLimit: Microseconds = duration.ms(700);

/** Notices freezes of this process. */
export type FreezeMonitor = {
  /** Called regularly, well within the limit. True if the process has just woken from a freeze. */
  tick: () => boolean;
  /** Whether the process was frozen and has not refreshed what it knows since; also before the next tick. */
  isStale: () => boolean;
  /** Whether a tick has noticed a freeze after which nothing was refreshed. */
  needsRefresh: () => boolean;
  /** The process knows the newest state again. */
  refreshed: () => void;
  /** How many freezes were noticed. */
  freezes: () => number;
};

/** Begins now. */
export const openFreezeMonitor = (clock: Clock): FreezeMonitor => {
  let lastTick = clock.now();
  let isFrozen = false;
  let freezes = 0;
  const isOverdue = (): boolean => clock.now() - lastTick > freezeLimit;
  return {
    tick: () => {
      const hasWoken = isOverdue();
      if (hasWoken) {
        isFrozen = true;
        freezes += 1;
      }
      lastTick = clock.now();
      return hasWoken;
    },
    isStale: () => isFrozen || isOverdue(),
    needsRefresh: () => isFrozen,
    refreshed: () => {
      isFrozen = false;
      lastTick = clock.now();
    },
    freezes: () => freezes,
  };
};
