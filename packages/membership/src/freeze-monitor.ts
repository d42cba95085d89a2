/** Detects freezes, in which this process did not run, so that its state may be out of date (§3.7). */
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';

/** A longer time between two ticks counts as a freeze. */
const freezeLimit: Microseconds = duration.ms(700);

/** Detects freezes of this process. */
export type FreezeMonitor = {
  /** Must be called periodically, well within the limit. Returns true if the process has just resumed. */
  tick: () => boolean;
  /** Whether the process was frozen and has not refreshed its state since, even before a tick detects the freeze. */
  isStale: () => boolean;
  /** Whether a tick has detected a freeze and the state has not been refreshed since. */
  needsRefresh: () => boolean;
  /** Records that the state of the process is up to date again. */
  refreshed: () => void;
  /** Returns the number of detected freezes. */
  freezes: () => number;
};

/** Starts a freeze monitor; the first interval begins now. */
export const openFreezeMonitor = (clock: Clock): FreezeMonitor => {
  let lastTick = clock.now();
  let isFrozen = false;
  let freezes = 0;
  const isOverdue = (): boolean => clock.now() - lastTick > freezeLimit;
  return {
    tick: () => {
      const hasResumed = isOverdue();
      if (hasResumed) {
        isFrozen = true;
        freezes += 1;
      }
      lastTick = clock.now();
      return hasResumed;
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
