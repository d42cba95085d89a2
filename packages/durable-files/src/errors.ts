/**
 * The errors of this package. Writes also fail with the error codes of the disk (package `runtime`): `full` if the disk
 * is full and nothing has changed, `failed` if the contents of the disk are unknown.
 */
import { errorCatalogue, fault } from '@thornsail/runtime';

/** Errors of durable files, by code. */
export const durableErrors = errorCatalogue('durable-files', {
  'invalid-limits': { message: 'limits of the data folder out of range', retryable: false },
  'damaged-record': { message: 'a record can no longer be read from its file', retryable: false },
});

/** Whether a write failed because the disk is full: nothing has changed, and a retry may succeed. */
export const isDiskFull = (error: unknown): boolean => fault.info(error).code === 'full';
