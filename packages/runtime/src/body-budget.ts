/**
 * Memory for request bodies, shared by the requests of a server. A request takes memory for its whole body before any
 * of it is read, and waits, unread, while there is none left: its client is held up by flow control.
 */

/** Memory that a request has taken. */
export type BodyMemory = {
  /** Gives back what is beyond `bytes`, once the size of the body is known. */
  shrinkTo: (bytes: number) => void;
  /** Gives it back, or stops waiting for it. Only the first call has an effect. */
  release: () => void;
};
/** The memory for bodies of one server. */
export type BodyBudget = {
  /** Takes `bytes` and calls `onTaken`: at once, or when earlier requests have given enough back, in their order. */
  take: (bytes: number, onTaken: () => void) => BodyMemory;
  /** Bytes that are taken, and the requests that wait. */
  counts: () => { taken: number; waiting: number };
};

type Waiter = { bytes: number; onTaken: () => void };

/**
 * Opens a budget of `limit` bytes. A body larger than the limit is taken alone. Bodies up to `smallBody` bytes take no
 * memory from the budget: their number is bounded by the requests in progress.
 */
export const openBodyBudget = (limit: number, smallBody: number): BodyBudget => {
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
  const take: BodyBudget['take'] = (bytes, onTaken) => {
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
