/** The plan of a forwarded request, whose body the gateway does not read (§5.7): what its dialect parsed from it. */
import type { Route } from '@thornsail/config-schema';
import type { Microseconds } from '@thornsail/runtime';
import { errors, type ErrorCode } from '../errors.js';

/** A turn of a program (§4): what the request states about its program. */
export type Turn = {
  program: string;
  /** A sequence of turns within the program; program and session together are the scheduler's unit (§4.3). */
  session: string;
  /** Time from the request's arrival until the program should end; null: not stated. */
  remaining: Microseconds | null;
  /** Output tokens that all turns of the program together may use; null: no budget. */
  budget: number | null;
};
/** A request to be forwarded to a worker. */
export type ForwardRequest = {
  kind: 'forward';
  route: Route;
  /** The scheduling class of the route. */
  className: string;
  /** The caller's id of this attempt; a worker's response must name the same id. */
  attempt: string;
  method: string;
  /** The request target as received: path and query. */
  target: string;
  /** Headers to pass on, as name, value, ...; without hop-by-hop headers and those that the gateway sets itself. */
  headers: readonly string[];
  body: Uint8Array;
  /** How long the caller waits, from the request's arrival on. */
  deadline: Microseconds;
  /** The idempotency key; null on routes that are not keyed. */
  key: string | null;
  /** In tokens: the length of the prompt, and `most`, the largest output. */
  usage: { prompt: number; most: number };
  /** Null: the request is no turn of a program. */
  turn: Turn | null;
  /** Attempt id of the earlier turn that this one continues; null: none. */
  previous: string | null;
  /** Id of the last event that the caller has of this stream; null: it starts the stream. */
  lastEvent: string | null;
  /** Version of the weights that the worker must have; null: any. */
  expectVersion: string | null;
};
/** A request that is refused before it is served. `field` names the part of the request that is wrong, if any. */
export type Refused = { kind: 'refuse'; status: number; error: ErrorCode; field: string | null; text: string };
/** What is done with a request. */
export type ForwardPlan = ForwardRequest | Refused;

/** A refusal with the HTTP status of its error code. */
export const refusal = (error: ErrorCode, field: string | null, text: string): Refused => ({
  kind: 'refuse',
  status: errors.status('unread', error),
  error,
  field,
  text,
});

/**
 * Whether the run is aborted when the client disconnects, since nobody can use its result. A request that may run only
 * once and is no stream runs to its end (§5.7).
 */
export const endsWithClient = (plan: ForwardRequest): boolean =>
  plan.route.semantics === 'idempotent' || plan.route.semantics === 'stream';

/** Whether a request may run more than once (§5.4). */
export const isRepeatable = (plan: ForwardRequest): boolean =>
  plan.route.semantics === 'idempotent' || (plan.route.semantics === 'stream' && plan.route.resumable);
