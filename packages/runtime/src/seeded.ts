import type { Random } from './index.js';

/** A seeded random source (sfc32). The same seed gives the same run (§9.2). */
export const seeded = (seed: number): Random => {
  let a = 0x9e3779b9 ^ seed,
    b = 0x243f6a88,
    c = 0xb7e15162,
    d = seed | 1;
  const raw = (): number => {
    const t = (((a + b) | 0) + d) | 0;
    d = (d + 1) | 0;
    a = b ^ (b >>> 9);
    b = (c + (c << 3)) | 0;
    c = (c << 21) | (c >>> 11);
    c = (c + t) | 0;
    return t >>> 0;
  };
  for (let i = 0; i < 12; i++) raw();
  const next = (): number => raw() / 4_294_967_296;
  return {
    next,
    int: (below) => Math.floor(next() * below),
    id: () => raw().toString(36).padStart(7, '0') + raw().toString(36).padStart(7, '0'),
  };
};
