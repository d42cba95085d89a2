/**
 * The errors of this package. A store also fails with the disk errors of the runtime, `full` and `failed`, which a
 * proposer receives as refusals of the connection (rpc).
 */
import { errorCatalogue } from '@thornsail/runtime';

/** Errors of the register store, by code. */
export const registerErrors = errorCatalogue('register-store', {
  // The change may have taken effect nevertheless.
  'no-majority': { message: 'no majority of the stores answered in time', retryable: false },
  busy: { message: 'too many messages are waiting for the disk', retryable: true },
  'no-memory': { message: 'the values that are being written take all the memory that they may', retryable: true },
  'no-space': { message: 'the values take all the space on disk that they may', retryable: true },
  'no-replica': { message: 'a store replied without a replica', retryable: true },
  'invalid-grace': { message: 'the grace period is too short', retryable: false },
});
