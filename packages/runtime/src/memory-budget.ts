/**
 * Memory for bodies, shared by the requests of a server: one budget for the bodies of requests, one for those of
 * responses. Memory for a whole body is taken before any of it is read. While there is none left, the body waits,
 * unread: its sender is held up by flow control.
 */

/** Memory that was taken, or waits to be. */
export type Reservation = {
  /** Gives back what is beyond `bytes`, once the size of the body is known. */
  shrinkTo: (bytes: number) => void;
  /** Gives it back, or stops waiting for it. Only the first call has an effect. */
  release: () => void;
};
/** The memory for one kind of bodies of a server. */
export type MemoryBudget = {
  /** Takes `bytes` and calls `onTaken`: at once, or when earlier requests have given enough back, in their order. */
  take: (bytes: number, onTaken: () => void) => Reservation;
  /** Bytes that are taken, and the bodies that wait. */
  counts: () => { taken: number; waiting: number };
};

type Waiter = { bytes: number; onTaken: () => void };

/**
 * Opens a budget of `limit` bytes. A body larger than the limit is taken alone. Bodies up to `smallBody` bytes take no
 * memory from the budget: their number is bounded by the requests in progress.
 */
export const openMemoryBudget = (limit: number, smallBody: number): MemoryBudget => {
  const queue: Waiter[] = [];
  let taken = 0;
  const fits = (bytes: number): boolean => taken === 0 || taken + bytes <= limit;
  const admit = (): void => {
    while (queue.length && fits(queue[0]!.bytes)) {
      const { bytes, onTaken } = queue.shift()!;
      taken += bytes;
      onTaken();
    }
  };
  const take: MemoryBudget['take'] = (bytes, onTaken) => {
    if (bytes <= smallBody) {
      onTaken();
      return { shrinkTo: () => undefined, release: () => undefined };
    }
    const waiter: Waiter = { bytes, onTaken };
    let released = false;
    queue.push(waiter);
    admit();
    return {
      shrinkTo: (size) => {
        if (released || queue.includes(waiter) || size >= waiter.bytes) return;
        taken -= waiter.bytes - size;
        waiter.bytes = size;
        admit();
      },
      release: () => {
        if (released) return;
        released = true;
        const i = queue.indexOf(waiter);
        if (i >= 0) queue.splice(i, 1);
        else taken -= waiter.bytes;
        admit();
      },
    };
  };
  return { take, counts: () => ({ taken, waiting: queue.length }) };
};

/** Runs work that takes `bytes` of a budget, once there is memory for it. */
export const withMemory = async <T>(budget: MemoryBudget, bytes: number, work: () => Promise<T>): Promise<T> => {
  if (bytes === 0) return work();
  let onTaken = (): void => undefined;
  const isTaken = new Promise<void>((resolve) => (onTaken = resolve));
  const reservation = budget.take(bytes, onTaken);
  try {
    await isTaken;
    return await work();
  } finally {
    reservation.release();
  }
};
