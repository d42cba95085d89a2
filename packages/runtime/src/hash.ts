/** A stable string hash, for the order of nodes, digests, key ranges and checksums of files. */

const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;
const mixer = 0x85ebca6b;

/**
 * 32-bit FNV-1a, followed by mixing steps of MurmurHash3's finalizer. The values must not change: nodes compare them.
 */
export const hash = {
  /** Returns an unsigned 32-bit integer. */
  of: (text: string): number => {
    let value = offsetBasis;
    for (let i = 0; i < text.length; i++) value = Math.imul(value ^ text.charCodeAt(i), prime) >>> 0;
    value ^= value >>> 16;
    value = Math.imul(value, mixer) >>> 0;
    value ^= value >>> 13;
    return value >>> 0;
  },
};
