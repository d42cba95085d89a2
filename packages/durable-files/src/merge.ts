// Which files of records are merged next (§6.1), as data: little at a time, so that the disk is never held for long.
import type { Extent } from './format.js';

export type Limits = {
  /** Batch files, beyond which the older half is merged. */
  batchFiles: number;
  /** Bytes of one batch and of the live records of one merge; a single record may be larger. */
  batchBytes: number;
  pieceBytes: number;
  /** Bytes on disk beyond twice the live ones. */
  slackBytes: number;
  /** Names of batch files that are made with one sync of the folder; never less than a release before made. */
  reservedFiles: number;
};
export const usualLimits: Limits = {
  batchFiles: 256,
  batchBytes: 1 << 20,
  pieceBytes: 512 << 10,
  slackBytes: 16 << 20,
  reservedFiles: 32,
};
export type Files = { batches: Extent[]; bases: Extent[] };
/** So many small base files are merged into one. */
const smallOnes = 8;

const sum = (list: Extent[], of: 'bytes' | 'live'): number => list.reduce((a, f) => a + f[of], 0);
/** The first files whose live records make one piece, one at least. */
const piece = (list: Extent[], most: number): Extent[] => {
  let live = 0;
  const end = list.findIndex((f, i) => (live += f.live) > most && i > 0);
  return end < 0 ? list : list.slice(0, end);
};

export const merge = {
  checked: (o: Partial<Limits> = {}): Limits => {
    const l = { ...usualLimits, ...o };
    const ok = Object.values(l).every((v) => Number.isSafeInteger(v) && v > 0) && l.batchFiles >= 4;
    if (!ok) throw new RangeError(`limits of the data folder out of range: ${JSON.stringify(l)}`);
    return l;
  },
  /** Files to be merged into one base file: batches only from the oldest on. */
  next: (files: Files, l: Limits): Extent[] | undefined => {
    const { batches, bases } = files;
    const older = (): Extent[] => piece(batches.slice(0, Math.max(1, l.batchFiles >> 1)), l.pieceBytes);
    if (batches.length > l.batchFiles) return older();
    const all = [...batches, ...bases];
    if (sum(all, 'bytes') > 2 * sum(all, 'live') + l.slackBytes) {
      const poor = bases.filter((f) => f.live * 2 < f.bytes).sort((a, b) => a.live / a.bytes - b.live / b.bytes);
      return poor.length > 0 ? piece(poor, l.pieceBytes) : older();
    }
    const small = bases.filter((f) => f.bytes * 4 < l.pieceBytes);
    return small.length >= smallOnes ? piece(small, l.pieceBytes) : undefined;
  },
};
