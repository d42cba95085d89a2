// The plan of a request that is passed on unread (§5.7): made first, as data, in whatever words its dialect has.
import type { Route } from '@thornsail/config-schema';
import type { Microseconds } from '@thornsail/runtime';
import { errors, type ErrorCode } from '../errors.js';

/** A turn of a program (§4): what its caller says of the program besides the request itself. */
export type Turn = {
  program: string;
  /** The line of turns within the program; the scheduler's unit (§4.3). */
  session: string;
  /** Until the program should be over, from arrival on; null: not told. */
  remaining: Microseconds | null;
  /** Tokens that all turns of the program may put out; null: no budget. */
  budget: number | null;
};
export type ForwardRequest = {
  kind: 'forward';
  route: Route;
  cls: string;
  /** Names this attempt of the caller; every answer of a worker is held against it. */
  attempt: string;
  method: string;
  target: string;
  /** Name, value, ...: what is passed on, without what concerns one connection or is set anew. */
  headers: readonly string[];
  body: Uint8Array;
  /** What the caller will wait, from arrival on. */
  deadline: Microseconds;
  key: string | null;
  /** Tokens of the prompt, and the most that may be put out. */
  usage: { prompt: number; most: number };
  turn: Turn | null;
  /** The earlier turn that this one continues. */
  previous: string | null;
  /** The last event that the caller has seen of this stream. */
  lastEvent: string | null;
  /** Only a worker with this version of its weights may run it; null: any may. */
  expectVersion: string | null;
};
export type Refused = { kind: 'refuse'; status: number; error: ErrorCode; field: string | null; text: string };
export type ForwardPlan = ForwardRequest | Refused;

/** A refusal with the status of its error. `field` names what is wrong in the request, if anything is. */
export const refusal = (error: ErrorCode, field: string | null, text: string): Refused => ({
  kind: 'refuse',
  status: errors.status('unread', error),
  error,
  field,
  text,
});

/**
 * Whether its run is of no use once its client has gone: it is ended then. What may run only once, and is no stream, is
 * let run to its end (§5.7).
 */
export const endsWithClient = (plan: ForwardRequest): boolean =>
  plan.route.semantics === 'idempotent' || plan.route.semantics === 'stream';

/** Whether a request may run more than once (§5.4). */
export const isRepeatable = (p: ForwardRequest): boolean =>
  p.route.semantics === 'idempotent' || (p.route.semantics === 'stream' && p.route.resumable);
