/**
 * The errors of requests between nodes (§2.4). None is retryable by itself: after a timeout, a lost connection or a
 * remote error the request may have taken effect, and only its caller knows whether it is idempotent.
 */
import { errorCatalogue } from '@thornsail/runtime';

/**
 * - `timeout`: no response within the time given; the outcome is unknown.
 * - `connection-lost`: the connection broke or did not come up; the outcome is unknown.
 * - `remote`: the peer answered with an error, and the message is the peer's.
 * - `malformed`: the body of a message has not the form that its handler expects; the handler has not seen it.
 * - `unknown-method`: this node has no handler for a request to itself. A peer answers the same as a `remote` error.
 */
export const rpcErrors = errorCatalogue('rpc', {
  'timeout': { message: 'no result in time', retryable: false },
  'connection-lost': { message: 'the connection broke', retryable: false },
  'remote': { message: 'the peer answered with an error', retryable: false },
  'malformed': { message: 'a message of another shape', retryable: false },
  'unknown-method': { message: 'no such message', retryable: false },
});
