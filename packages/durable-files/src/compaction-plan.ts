/**
 * Selects the record files to compact next (§6.1): a small amount at a time, so that compaction never occupies the disk
 * for long.
 */
import type { Limits } from './limits.js';
import type { RecordFile } from './record-table.js';

/** The live record files of a folder, each kind in ascending order of file numbers. */
export type LiveRecordFiles = { batches: RecordFile[]; bases: RecordFile[] };

/** Small base files are compacted into one once there are this many. */
const minSmallFiles = 8;

const sumOf = (files: RecordFile[], size: 'bytes' | 'liveBytes'): number =>
  files.reduce((total, file) => total + file[size], 0);

/** Returns the longest prefix of `files` whose live records fit into `pieceBytes`; at least one file. */
const takePiece = (files: RecordFile[], pieceBytes: number): RecordFile[] => {
  let liveBytes = 0;
  const end = files.findIndex((file, i) => {
    liveBytes += file.liveBytes;
    return liveBytes > pieceBytes && i > 0;
  });
  return end < 0 ? files : files.slice(0, end);
};

const liveShare = ({ liveBytes, bytes }: RecordFile): number => liveBytes / bytes;

/**
 * Returns the files to compact into one base file; undefined if no compaction is due. Checks, in this order: too many
 * batches (takes files of their older half), too much space in obsolete records (takes base files that are less than
 * half live, else older batches), and many small base files. Batches are always taken oldest first.
 */
export const planCompaction = ({ batches, bases }: LiveRecordFiles, limits: Limits): RecordFile[] | undefined => {
  const { batchFiles, pieceBytes, slackBytes } = limits;
  const olderHalf = (): RecordFile[] => takePiece(batches.slice(0, Math.max(1, batchFiles >> 1)), pieceBytes);
  if (batches.length > batchFiles) return olderHalf();
  const all = [...batches, ...bases];
  if (sumOf(all, 'bytes') > 2 * sumOf(all, 'liveBytes') + slackBytes) {
    const sparse = bases.filter((file) => file.liveBytes * 2 < file.bytes).sort((a, b) => liveShare(a) - liveShare(b));
    return sparse.length > 0 ? takePiece(sparse, pieceBytes) : olderHalf();
  }
  const small = bases.filter((file) => file.bytes * 4 < pieceBytes);
  return small.length >= minSmallFiles ? takePiece(small, pieceBytes) : undefined;
};
