/** Limits on the number and size of the record files of a folder (§6.1). */
import { durableErrors } from './errors.js';

/** Limits of the record files of one folder; all are positive integers. */
export type Limits = {
  /** Maximum number of batch files; beyond it the older half is compacted. At least 4. */
  batchFiles: number;
  /** Maximum bytes of one batch; a single record may be larger. */
  batchBytes: number;
  /** Maximum bytes of live records copied by one compaction; a single record may be larger. */
  pieceBytes: number;
  /** Bytes allowed on disk in addition to twice the live bytes; beyond them files are compacted. */
  slackBytes: number;
  /**
   * Batch files reserved with one sync of the folder. Must not be lowered between releases: recovery takes a batch file
   * further ahead than this as evidence that earlier files were lost.
   */
  reservedFiles: number;
};

/** The limits used where none are given. */
export const defaultLimits: Limits = {
  batchFiles: 256,
  batchBytes: 1 << 20,
  pieceBytes: 512 << 10,
  slackBytes: 16 << 20,
  reservedFiles: 32,
};
const minBatchFiles = 4;

/** Returns the default limits, overridden by `given`. Throws `invalid-limits`. */
export const checkedLimits = (given: Partial<Limits> = {}): Limits => {
  const limits = { ...defaultLimits, ...given };
  const areValid = Object.values(limits).every((limit) => Number.isSafeInteger(limit) && limit > 0);
  if (areValid && limits.batchFiles >= minBatchFiles) return limits;
  const message = `limits of the data folder out of range: ${JSON.stringify(limits)}`;
  throw durableErrors.create('invalid-limits', { step: 'records.open', message });
};
