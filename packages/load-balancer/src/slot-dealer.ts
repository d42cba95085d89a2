/**
 * A gateway's part of a worker's free slots (§5.2). What the other gateways run is known from reports that are a
 * quarter of a second old, so seven gateways that each saw the same free slots could fill them seven times over. The
 * free slots are dealt out instead, one after another over the gateways; what a gateway has acquired lately, and the
 * others cannot know of yet, counts against its part.
 */
import type { Microseconds } from '@thornsail/runtime';

/** What one gateway has acquired lately, and its part of what is free. */
export type SlotDealer = {
  acquired: (worker: string, className: string) => void;
  released: (worker: string, className: string) => void;
  /** Turns of this gateway at a worker that the others may not have heard of. */
  recentlyAcquired: (worker: string) => number;
  /** This gateway's part of `free` slots that are dealt out over `gateways`, beginning at the one at `offset`. */
  partOf: (free: number, gateways: string[], offset: number) => number;
};

/** Deals out free slots. */
export const slotDealer = {
  /** `reportDelay` is how old a gateway's knowledge of another one's turns may be. */
  open: (options: { self: string; now: () => Microseconds; reportDelay: Microseconds }): SlotDealer => {
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
        // Which one it was does not matter much: the oldest is taken off, so that too few are acquired, not too many.
        const i = atWorker.findIndex((acquisition) => acquisition.className === className);
        if (i >= 0) atWorker.splice(i, 1);
        if (atWorker.length === 0) acquisitions.delete(worker);
      },
      recentlyAcquired: (worker) =>
        (acquisitions.get(worker) ?? []).filter(({ acquiredAt }) => now() - acquiredAt < reportDelay).length,
      partOf: (free, gateways, offset) => {
        const n = gateways.length;
        const rank = (gateways.indexOf(self) + offset) % n;
        return Math.floor(free / n) + (rank < free % n ? 1 : 0);
      },
    };
  },
};
