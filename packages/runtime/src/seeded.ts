/** A reproducible random source (§9.2). */
import type { Random } from './random.js';

/** Outputs discarded after seeding. */
const warmUpRounds = 12;
const twoToThe32 = 4_294_967_296;

/** The Small Fast Counter generator (sfc32): unsigned 32-bit integers, the same for the same seed. */
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

/** Creates a random source; the same seed gives the same sequence of values. */
export const seeded = (seed: number): Random => {
  const nextUint32 = sfc32(seed);
  for (let i = 0; i < warmUpRounds; i++) nextUint32();
  const next = (): number => nextUint32() / twoToThe32;
  const idPart = (): string => nextUint32().toString(36).padStart(7, '0');
  return {
    next,
    int: (limit) => Math.floor(next() * limit),
    id: () => idPart() + idPart(),
  };
};
