/** How many record files a folder may have, and how large they may be (§6.1). */
import { durableErrors } from './errors.js';

/** Limits of the record files of one folder; all are positive integers. */
export type Limits = {
  /** Batch files, beyond which the older half is compacted; 4 at least. */
  batchFiles: number;
  /** Bytes of one batch; a single record may be larger. */
  batchBytes: number;
  /** Bytes of the live records of one compaction; a single record may be larger. */
  pieceBytes: number;
  /** Bytes on disk beyond twice the live ones. */
  slackBytes: number;
  /** Names of batch files that are made with one sync of the folder; never less than a release before made. */
  reservedFiles: number;
};

/** The limits unless others are given. */
export const defaultLimits: Limits = {
  batchFiles: 256,
  batchBytes: 1 << 20,
  pieceBytes: 512 << 10,
  slackBytes: 16 << 20,
  reservedFiles: 32,
};
const leastBatchFiles = 4;

/** The default limits with others in their place. Throws `invalid-limits`. */
export const checkedLimits = (given: Partial<Limits> = {}): Limits => {
  const limits = { ...defaultLimits, ...given };
  const areValid = Object.values(limits).every((limit) => Number.isSafeInteger(limit) && limit > 0);
  if (areValid && limits.batchFiles >= leastBatchFiles) return limits;
  const message = `limits of the data folder out of range: ${JSON.stringify(limits)}`;
  throw durableErrors.create('invalid-limits', { step: 'records.open', message });
};
