// Resources of a stand-in worker that limit what it runs at one time: its concurrency and its KV cache.
import type { HttpResponseWriter } from '@thornsail/runtime';

/**
 * Limits the number of concurrent requests; the others wait in a FIFO queue. The head of the queue also waits until its
 * `fits` is true, unless nothing is running. `acquire` resolves to false if the caller leaves while queued.
 */
export const concurrencyLimiter = (
  maxRunning: number,
): {
  acquire: (fits: () => boolean, response: HttpResponseWriter | null) => Promise<boolean>;
  release: () => void;
  running: () => number;
  peak: () => { queued: number; running: number };
} => {
  const queue: { fits: () => boolean; admit: (isAdmitted: boolean) => void }[] = [];
  const peak = { queued: 0, running: 0 };
  let running = 0;
  const admitWaiting = (): void => {
    while (queue.length && running < maxRunning && (running === 0 || queue[0]!.fits())) {
      running += 1;
      peak.running = Math.max(peak.running, running);
      queue.shift()!.admit(true);
    }
    peak.queued = Math.max(peak.queued, queue.length);
  };
  return {
    acquire: (fits, response) =>
      new Promise((admit) => {
        const waiter = { fits, admit };
        queue.push(waiter);
        // A request whose caller disconnects leaves the queue; one in progress is completed.
        response?.onClose(() => {
          const index = queue.indexOf(waiter);
          if (index >= 0) queue.splice(index, 1);
          if (index >= 0) admit(false);
        });
        admitWaiting();
      }),
    release: () => {
      running -= 1;
      admitWaiting();
    },
    running: () => running,
    peak: () => ({ ...peak }),
  };
};

/** The KV cache of a model worker: LRU eviction by program, except of contexts in use. Sizes are in tokens. */
export const kvCache = (
  capacity: number,
): {
  /** True if a context of this size fits beside those in use. */
  fits: (tokens: number) => boolean;
  /** Adds and pins a context; returns how many of its tokens were cached. */
  admit: (program: string, tokens: number) => number;
  /** Unpins a context, which stays cached until it is evicted. */
  release: (program: string) => void;
} => {
  const cache = new Map<string, number>();
  // Requests in progress by program.
  const pinned = new Map<string, number>();
  const pinnedTokens = (): number => [...pinned.keys()].reduce((sum, program) => sum + (cache.get(program) ?? 0), 0);
  return {
    fits: (tokens) => pinnedTokens() + tokens <= capacity,
    admit: (program, tokens) => {
      const cachedTokens = cache.get(program) ?? 0;
      cache.delete(program);
      cache.set(program, tokens);
      pinned.set(program, (pinned.get(program) ?? 0) + 1);
      let totalTokens = [...cache.values()].reduce((a, b) => a + b, 0);
      for (const [cachedProgram, size] of cache) {
        if (totalTokens <= capacity) break;
        if (pinned.has(cachedProgram)) continue;
        totalTokens -= size;
        cache.delete(cachedProgram);
      }
      return Math.min(cachedTokens, tokens);
    },
    release: (program) => {
      const useCount = (pinned.get(program) ?? 1) - 1;
      if (useCount === 0) pinned.delete(program);
      else pinned.set(program, useCount);
    },
  };
};
