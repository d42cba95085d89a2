/**
 * The errors of this package. A write also fails with the errors of the disk itself (runtime): `full` if there was no
 * room and nothing has changed, `failed` if nobody knows what the disk holds.
 */
import { errorCatalogue, fault } from '@thornsail/runtime';

/** Errors of durable files, by code. */
export const durableErrors = errorCatalogue('durable-files', {
  'invalid-limits': { message: 'limits of the data folder out of range', retryable: false },
});

/** Whether a disk refused a write for want of room: nothing has changed then, and a later try may succeed. */
export const isDiskFull = (error: unknown): boolean => fault.info(error).code === 'full';
