// Names of batch files, made before they are needed (§6.1): many with one sync of the folder, so that a batch needs
// the sync of its own file alone.
import type { Disk } from '@thornsail/runtime';
import { format } from './format.js';

/** The names of batch files that exist ahead of their use. Batches are numbered from 1. */
export type Reserve = {
  /** Resolves once the name of this batch lasts. Fails as `Disk.reserve` does. */
  upTo: (batch: number) => Promise<void>;
  /** Makes more names while there still are some; one that fails is tried again by `upTo`. */
  ahead: (next: number) => void;
  /** What a start found: all names up to this one last. */
  found: (last: number) => void;
};

/** Opens the reserve of a folder. */
export const reserve = {
  /** `count` names are made at a time, and more when half of them are left. */
  open: (disk: Pick<Disk, 'reserve'>, count: number): Reserve => {
    let last = 0;
    let underWay: Promise<void> | undefined;
    const makeMore = async (next: number): Promise<void> => {
      const first = Math.max(last + 1, next);
      const end = next + count - 1;
      const numbers = Array.from({ length: end - first + 1 }, (_, i) => first + i);
      await disk.reserve(numbers.map((batch) => format.file('b', batch)));
      last = end;
    };
    const more = (next: number): Promise<void> => {
      underWay ??= makeMore(next).finally(() => (underWay = undefined));
      return underWay;
    };
    return {
      upTo: async (batch) => {
        while (last < batch) await more(batch);
      },
      ahead: (next) => {
        if (last - next < count / 2) void more(next).catch(() => undefined);
      },
      found: (batch) => {
        last = batch;
      },
    };
  },
};
