/**
 * The errors of requests between nodes (§2.4). None is marked as retryable: after a timeout, a lost connection or a
 * remote error the request may have taken effect, and only the caller knows whether it is idempotent.
 */
import { errorCatalogue } from '@thornsail/runtime';

/**
 * - `timeout`: no response arrived within the timeout; the outcome is unknown.
 * - `connection-lost`: the connection broke or could not be established; the outcome is unknown.
 * - `remote`: the peer responded with an error; the error text is the peer's.
 * - `malformed`: the body failed validation; the handler did not run.
 * - `unknown-method`: this node has no handler for a request to itself. The same failure at a peer is a `remote` error.
 *
 * The texts of `malformed` and `unknown-method` are sent to peers in error frames, as in the previous release.
 */
export const rpcErrors = errorCatalogue('rpc', {
  'timeout': { message: 'no response within the timeout', retryable: false },
  'connection-lost': { message: 'connection lost', retryable: false },
  'remote': { message: 'the peer responded with an error', retryable: false },
  'malformed': { message: 'a message of another shape', retryable: false },
  'unknown-method': { message: 'no such message', retryable: false },
});
