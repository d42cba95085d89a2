/** Which record files are compacted next (§6.1): little at a time, so that the disk is never busy for long. */
import type { Limits } from './limits.js';
import type { RecordFile } from './record-table.js';

/** The files in effect, each kind in the order of its numbers. */
export type FilesInEffect = { batches: RecordFile[]; bases: RecordFile[] };

/** So many small base files are compacted into one. */
const smallFilesTogether = 8;

const sum = (files: RecordFile[], of: 'bytes' | 'liveBytes'): number =>
  files.reduce((total, file) => total + file[of], 0);

/** The first files whose live records make one piece, one file at least. */
const firstPiece = (files: RecordFile[], pieceBytes: number): RecordFile[] => {
  let live = 0;
  const end = files.findIndex((file, i) => {
    live += file.liveBytes;
    return live > pieceBytes && i > 0;
  });
  return end < 0 ? files : files.slice(0, end);
};

const liveShare = ({ liveBytes, bytes }: RecordFile): number => liveBytes / bytes;

/** The files that are compacted into one base file; undefined if none need be. Batches are taken from the oldest on. */
export const planCompaction = ({ batches, bases }: FilesInEffect, limits: Limits): RecordFile[] | undefined => {
  const { batchFiles, pieceBytes, slackBytes } = limits;
  const olderHalf = (): RecordFile[] => firstPiece(batches.slice(0, Math.max(1, batchFiles >> 1)), pieceBytes);
  if (batches.length > batchFiles) return olderHalf();
  const all = [...batches, ...bases];
  if (sum(all, 'bytes') > 2 * sum(all, 'liveBytes') + slackBytes) {
    const poor = bases.filter((file) => file.liveBytes * 2 < file.bytes).sort((a, b) => liveShare(a) - liveShare(b));
    return poor.length > 0 ? firstPiece(poor, pieceBytes) : olderHalf();
  }
  const small = bases.filter((file) => file.bytes * 4 < pieceBytes);
  return small.length >= smallFilesTogether ? firstPiece(small, pieceBytes) : undefined;
};
