// Processor time and heap of a piece of code in this process; other programs share the machine.
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

export const cpu = (): number => {
  const c = process.cpuUsage();
  return c.user + c.system;
};

/** Processor time of one call in microseconds: the least mean of a few runs, since others share the machine. */
export const cpuOf = (fn: () => void, calls: number, runs = 3): number => {
  fn();
  const all = Array.from({ length: runs }, () => {
    const begun = cpu();
    for (let i = 0; i < calls; i++) fn();
    return (cpu() - begun) / calls;
  });
  return Math.min(...all);
};

setFlagsFromString('--expose-gc');

const collect = runInNewContext('gc') as () => void;

export const heap = (collections = 2): number => {
  for (let i = 0; i < collections; i++) collect();
  return process.memoryUsage().heapUsed;
};

/** Bytes of heap that what `make` gives takes, from several of them together. */
export const heapOf = (make: () => unknown, copies: number): number => {
  const once = (): number => {
    const all: unknown[] = [make()];
    const before = heap(copies === 1 ? 1 : 2);
    for (let i = 0; i < copies; i++) all.push(make());
    const after = heap(copies === 1 ? 1 : 2);
    // Looked at afterwards, so that none is collected before.
    return (after - before) / all.filter((x) => x !== undefined).slice(1).length;
  };
  if (copies === 1) return once();
  return [once(), once(), once()].sort((a, b) => a - b)[1]!;
};
