// What all callers of a run share: their options, their summary, and the stories of the keys that they use.
import {
  duration,
  type Address,
  type HttpClientResponse,
  type Microseconds,
  type Random,
  type Runtime,
} from '@thornsail/runtime';
import { emptySummary, type KeyStory, type Ran, type Summary } from './summary.js';

/** A caller gives up after so long without an event. */
export const patience: Microseconds = duration.s(2);

/** Whom the callers call, and what they bear. Times left are in milliseconds. */
export type CallerOptions = {
  runtime: Runtime;
  rand: Random;
  gateways: () => Address[];
  classes: { chat: string; kept: string; urgent: string; ping: string };
  chatTimeLeft: number;
  pushTimeLeft: number;
  gap: Microseconds;
  /** True if a fault had hold of this gateway since then: what its own callers bore is no breach. */
  excused: (at: Address, since: Microseconds) => boolean;
  /** Workers that stall on purpose. */
  stalls: boolean;
};

/** The body of a rejection. */
export type Rejection = { error: string; ran?: 'no' | 'unknown' };

/** The first of an answer, or the lack of one: at which gateway, since when, and what came. */
export type Wait = { at: Address; begun: Microseconds; what: string; program: string };

/** The callers' shared account. */
export type Account = {
  options: CallerOptions;
  summary: Summary;
  keys: Map<string, KeyStory>;
  storyOf: (key: string) => KeyStory;
  /** A gateway by chance. */
  gateway: () => Address;
  /** Notes how long a caller waited for the first of its answer; a wait over `patience` is a silence. */
  gotFirst: (wait: Wait) => Microseconds;
  /** Counts, times and checks a rejection; gives its Retry-After. */
  rejected: (response: HttpClientResponse, body: Rejection, waited: Microseconds) => Microseconds | null;
  /** Notes what an answer says of its key. */
  answered: (key: string | null, ran: Ran) => void;
  /** No answer: a request that was not sent did not run, and no node has promised it of the key. */
  unanswered: (key: string | null, isSent: boolean) => void;
};

const noteRejection = (
  summary: Summary,
  response: HttpClientResponse,
  { error, ran }: Rejection,
  waited: Microseconds,
): Microseconds | null => {
  summary.rejected[error] = (summary.rejected[error] ?? 0) + 1;
  summary.refusals[error] = Math.max(summary.refusals[error] ?? 0, waited);
  const retryAfter = response.headers['retry-after'];
  const isBusy = response.status === 429 || response.status === 503;
  if (isBusy && (retryAfter === undefined || ran === undefined))
    summary.breaches.push(`${response.status} ${error} without Retry-After or ran`);
  return retryAfter === undefined ? null : duration.s(Number(retryAfter));
};

/** An account before the first call. */
export const openAccount = (options: CallerOptions): Account => {
  const { clock } = options.runtime;
  const summary = emptySummary();
  const keys = new Map<string, KeyStory>();
  const storyOf = (key: string): KeyStory => {
    const story = keys.get(key) ?? { ran: [], ok: false, sent: [], no: [] };
    keys.set(key, story);
    return story;
  };
  return {
    options,
    summary,
    keys,
    storyOf,
    gateway: () => {
      const all = options.gateways();
      return all[options.rand.int(all.length)]!;
    },
    gotFirst: ({ at, begun, what, program }) => {
      const waited = clock.now() - begun;
      summary.slowest = Math.max(summary.slowest, waited);
      if (waited > patience && !options.excused(at, begun)) summary.silences.push({ program, begun, waited, what });
      return waited;
    },
    rejected: (response, body, waited) => noteRejection(summary, response, body, waited),
    answered: (key, ran) => {
      if (key === null) return;
      const story = storyOf(key);
      story.ran.push(ran);
      if (ran === 'yes') story.ok = true;
      if (ran === 'no') story.no.push(clock.now());
    },
    unanswered: (key, isSent) => {
      if (key !== null) storyOf(key).ran.push(isSent ? 'unknown' : 'no');
    },
  };
};
