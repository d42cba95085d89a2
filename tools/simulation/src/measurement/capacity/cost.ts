// Processor time and heap of code that runs in this process.
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** User and system processor time of this process in microseconds. */
export const cpu = (): number => {
  const usage = process.cpuUsage();
  return usage.user + usage.system;
};

/** Processor time of one call in µs: the lowest mean of a few runs, because other programs share the machine. */
export const cpuOf = (action: () => void, calls: number, runs = 3): number => {
  action();
  const means = Array.from({ length: runs }, () => {
    const cpuBefore = cpu();
    for (let i = 0; i < calls; i++) action();
    return (cpu() - cpuBefore) / calls;
  });
  return Math.min(...means);
};

setFlagsFromString('--expose-gc');

const collect = runInNewContext('gc') as () => void;

/** Bytes of heap in use after a full garbage collection. */
export const heap = (collections = 2): number => {
  for (let i = 0; i < collections; i++) collect();
  return process.memoryUsage().heapUsed;
};

/** Bytes of heap of one value that `make` returns: the mean over several copies, and the median of three such runs. */
export const heapOf = (make: () => unknown, copies: number): number => {
  const sample = (): number => {
    const made: unknown[] = [make()];
    const heapBefore = heap(copies === 1 ? 1 : 2);
    for (let i = 0; i < copies; i++) made.push(make());
    const heapAfter = heap(copies === 1 ? 1 : 2);
    // Reads the values after the collection, so that they are not collected earlier.
    return (heapAfter - heapBefore) / made.filter((item) => item !== undefined).slice(1).length;
  };
  if (copies === 1) return sample();
  return [sample(), sample(), sample()].sort((a, b) => a - b)[1]!;
};
