/**
 * Allocation of a worker's free slots among the gateways (§5.2). The other gateways' running turns are known from
 * reports that are up to 250 ms old, so seven gateways that see the same free slots could fill them seven times over.
 * Therefore the free slots are divided among the gateways round-robin, and the slots that a gateway has acquired too
 * recently for the others to know of count against its share.
 */
import type { Microseconds } from '@thornsail/runtime';

/** Tracks the slots that this gateway has recently acquired and computes its share of free slots. */
export type SlotAllocator = {
  /** Records that a turn of a class has acquired a slot of a worker. */
  acquired: (worker: string, className: string) => void;
  /** Records that a turn of a class has released a slot of a worker. */
  released: (worker: string, className: string) => void;
  /** Number of this gateway's turns on a worker that may not have been reported to the others yet. */
  recentlyAcquired: (worker: string) => number;
  /** This gateway's share of `free` slots divided among `gateways`; `offset` rotates which ones get the remainder. */
  shareOf: (free: number, gateways: string[], offset: number) => number;
};

/** Creates slot allocators. */
export const slotAllocator = {
  /** `reportDelay` is the maximum age of a gateway's view of the other gateways' turns. */
  open: (options: { self: string; now: () => Microseconds; reportDelay: Microseconds }): SlotAllocator => {
    const { self, now, reportDelay } = options;
    /** Acquired slots by worker, oldest first. */
    const acquisitions = new Map<string, { className: string; acquiredAt: Microseconds }[]>();
    return {
      acquired: (worker, className) => {
        const atWorker = acquisitions.get(worker) ?? [];
        atWorker.push({ className, acquiredAt: now() });
        acquisitions.set(worker, atWorker);
      },
      released: (worker, className) => {
        const atWorker = acquisitions.get(worker) ?? [];
        // Slots of a class are interchangeable. Removing the oldest keeps the count of recent acquisitions high, so
        // that the gateway acquires too few slots rather than too many.
        const i = atWorker.findIndex((acquisition) => acquisition.className === className);
        if (i >= 0) atWorker.splice(i, 1);
        if (atWorker.length === 0) acquisitions.delete(worker);
      },
      recentlyAcquired: (worker) =>
        (acquisitions.get(worker) ?? []).filter(({ acquiredAt }) => now() - acquiredAt < reportDelay).length,
      shareOf: (free, gateways, offset) => {
        const n = gateways.length;
        const rank = (gateways.indexOf(self) + offset) % n;
        return Math.floor(free / n) + (rank < free % n ? 1 : 0);
      },
    };
  },
};
