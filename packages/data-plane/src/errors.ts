/**
 * The one table of errors that the data plane answers by itself, with their status at each of its two interfaces (§5.1,
 * §5.7), and the errors that stay inside it. `docs/API.md` says when each of the table is answered.
 */
import { errorCatalogue } from '@thornsail/runtime';

/** `chat` is our own interface; `unread` is that of requests which are forwarded unread, worded by a dialect. */
export type Interface = 'chat' | 'unread';
type Entry = {
  chat: number;
  unread: number;
  /** What the body calls it, where that is not the code itself. */
  name?: string;
};
const both = (status: number): Entry => ({ chat: status, unread: status });

const entries = {
  // The request is malformed, or leads nowhere.
  bad_field: both(400),
  missing_field: both(400),
  bad_json: both(400),
  unknown_class: both(400),
  no_such_path: both(404),
  no_such_route: both(404),
  no_such_conversation: both(404),
  no_such_turn: both(404),
  bad_method: both(405),
  too_large: both(413),
  conversation_full: both(413),
  key_reused: both(422),
  // It is in order, and may not be served (now).
  budget_spent: { chat: 403, unread: 402 },
  in_progress: both(409),
  turn_open: both(429),
  busy: both(429),
  gone: both(499),
  no_worker: both(503),
  no_keepers: both(503),
  stale: both(503),
  late: both(503),
  full: both(503),
  leaving: both(503),
  closed: both(503),
  not_ready: both(503),
  // It may have run: nothing is promised.
  outcome_unknown: { chat: 409, unread: 502 },
  worker_lost: { ...both(502), name: 'outcome_unknown' },
  timed_out: both(504),
} satisfies Record<string, Entry>;

/** Code of an error that the data plane answers by itself. */
export type ErrorCode = keyof typeof entries;

/** Reads the table of errors. */
export const errors = {
  /** HTTP status of an error at an interface. */
  status: (at: Interface, code: ErrorCode): number => entries[code][at],
  /** Its name in the body. */
  name: (code: ErrorCode): string => (entries[code] as Entry).name ?? code,
  /** All codes, in the order of the table. */
  codes: Object.keys(entries) as ErrorCode[],
};

/** Errors inside the data plane. None of them reaches a client by its code: what a client is told stands above. */
export const internalErrors = errorCatalogue('data-plane', {
  'worker-fault': { message: 'the worker reported an error within its stream', retryable: false },
  'stream-incomplete': { message: 'the stream ended without its end marker', retryable: false },
  'result-too-large': { message: 'a result over 4 MiB', retryable: false },
  'append-refused': { message: 'another turn was kept meanwhile, or this one was fenced', retryable: false },
  'chain-incomplete': { message: 'an earlier turn was not found', retryable: true },
});
