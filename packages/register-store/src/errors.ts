/**
 * The errors of this package. A store also fails with the errors of its disk (runtime): `full` and `failed`; they reach
 * a proposer as refusals of the connection (rpc).
 */
import { errorCatalogue } from '@thornsail/runtime';

/** Errors of the register store, by code. */
export const registerErrors = errorCatalogue('register-store', {
  // A change may have taken effect all the same.
  'no-majority': { message: 'no majority of the stores answered in time', retryable: false },
  busy: { message: 'too much waits for the disk', retryable: true },
  'no-replica': { message: 'a store gave no replica', retryable: true },
  'invalid-grace': { message: 'the grace period is too short', retryable: false },
});
