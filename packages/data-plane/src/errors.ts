/**
 * The error codes of responses that the data plane generates itself, with their HTTP status at each of its two
 * interfaces (§5.1, §5.7), and its internal errors. `docs/API.md` describes when each code is returned.
 */
import { errorCatalogue } from '@thornsail/runtime';

/** `chat`: the product API; `unread`: the forwarding interface, whose error bodies a dialect formats. */
export type ApiInterface = 'chat' | 'unread';
type Entry = {
  chat: number;
  unread: number;
  /** Name in the response body, if it differs from the code. */
  name?: string;
};
/** The same status at both interfaces. */
const both = (status: number): Entry => ({ chat: status, unread: status });

const entries = {
  // The request is malformed, or its target does not exist.
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
  // The request is valid but must not, or cannot now, be served.
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
  // The request may have run.
  outcome_unknown: { chat: 409, unread: 502 },
  worker_lost: { ...both(502), name: 'outcome_unknown' },
  timed_out: both(504),
} satisfies Record<string, Entry>;

/** Code of an error response that the data plane generates itself. */
export type ErrorCode = keyof typeof entries;

/** Looks up error codes. */
export const errors = {
  /** HTTP status of an error at an interface. */
  status: (interfaceName: ApiInterface, code: ErrorCode): number => entries[code][interfaceName],
  /** Name of an error in the response body. */
  name: (code: ErrorCode): string => (entries[code] as Entry).name ?? code,
  /** All codes, in the order of the table. */
  codes: Object.keys(entries) as ErrorCode[],
};

/** Errors within the data plane. Clients never see these codes, only those of the table above. */
export const internalErrors = errorCatalogue('data-plane', {
  'worker-fault': { message: 'the worker reported an error within its stream', retryable: false },
  'worker-excess': { message: 'the stream has more events than its request allows', retryable: false },
  'stream-incomplete': { message: 'the stream ended without its end marker', retryable: false },
  'result-too-large': { message: 'a result over 4 MiB', retryable: false },
  'append-refused': { message: 'another turn was appended meanwhile, or this one was fenced', retryable: false },
  'chain-incomplete': { message: 'an earlier turn was not found', retryable: true },
});
