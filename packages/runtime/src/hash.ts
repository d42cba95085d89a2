/** A stable string hash, for positions on a ring and names of files. */

const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;
const mixer = 0x85ebca6b;

/**
 * FNV-1a with 32 bits, and the mixing steps of MurmurHash3's finalizer. Its values may not change: nodes compare them.
 */
export const hash = {
  /** A whole number from 0 to below 2 to the power of 32. */
  of: (text: string): number => {
    let value = offsetBasis;
    for (let i = 0; i < text.length; i++) value = Math.imul(value ^ text.charCodeAt(i), prime) >>> 0;
    value ^= value >>> 16;
    value = Math.imul(value, mixer) >>> 0;
    value ^= value >>> 13;
    return value >>> 0;
  },
};
