/** A random source that can be repeated (§9.2). */
import type { Random } from './random.js';

const warmUpRounds = 12;
const toUnit = 4_294_967_296;

/** Small Fast Counter (sfc32). The same seed gives the same values. */
const sfc32 = (seed: number): (() => number) => {
  const state = { a: 0x9e3779b9 ^ seed, b: 0x243f6a88, chaos: 0xb7e15162, counter: seed | 1 };
  return () => {
    const result = (((state.a + state.b) | 0) + state.counter) | 0;
    state.counter = (state.counter + 1) | 0;
    state.a = state.b ^ (state.b >>> 9);
    state.b = (state.chaos + (state.chaos << 3)) | 0;
    state.chaos = (state.chaos << 21) | (state.chaos >>> 11);
    state.chaos = (state.chaos + result) | 0;
    return result >>> 0;
  };
};

/** A seeded random source. The same seed gives the same run. */
export const seeded = (seed: number): Random => {
  const raw = sfc32(seed);
  for (let i = 0; i < warmUpRounds; i++) raw();
  const next = (): number => raw() / toUnit;
  const word = (): string => raw().toString(36).padStart(7, '0');
  return {
    next,
    int: (below) => Math.floor(next() * below),
    id: () => word() + word(),
  };
};
