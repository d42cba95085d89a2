/** Collects a body from pieces of any size in one block of memory, without keeping the pieces. */

const firstBlockBytes = 4 << 10;
/** Pieces cost time whatever their size: as many are allowed at any length, and one more for so many bytes. */
const minimumPieces = 4096;
const bytesPerPiece = 128;

/** What is known of a body before it is collected, in bytes. */
export type CollectorSize = {
  /** The length that its sender declared. */
  declared?: number | undefined;
  /** No more is pushed than this. */
  max: number;
};
/** A body in the course of being collected. */
export type ByteCollector = {
  push: (bytes: Uint8Array) => void;
  /** Bytes so far. */
  length: () => number;
  /** Whether the body came in more pieces than a sender of its length needs. */
  isFragmented: () => boolean;
  /** All bytes so far. They don't change when more are pushed. */
  bytes: () => Buffer;
  /** Drops all bytes. */
  clear: () => void;
};

const noBytes = Buffer.alloc(0);

/** Opens a collector. Memory is allocated at the first piece. */
export const openByteCollector = ({ declared, max }: CollectorSize): ByteCollector => {
  let block = noBytes;
  let length = 0;
  let pieces = 0;
  const grow = (needed: number): void => {
    const wanted = block.length === 0 ? (declared ?? firstBlockBytes) : 2 * block.length;
    const larger = Buffer.allocUnsafeSlow(Math.max(needed, Math.min(wanted, max)));
    block.copy(larger, 0, 0, length);
    block = larger;
  };
  return {
    push: (bytes) => {
      if (length + bytes.length > block.length) grow(length + bytes.length);
      block.set(bytes, length);
      length += bytes.length;
      pieces += 1;
    },
    length: () => length,
    isFragmented: () => pieces > minimumPieces + length / bytesPerPiece,
    bytes: () => block.subarray(0, length),
    clear: () => {
      block = noBytes;
      length = 0;
    },
  };
};
