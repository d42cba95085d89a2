/**
 * Where the time of one request goes (§5.11): its stages one after another, the workers that it was sent to, and how it
 * ended. Each interface marks the stages; what is done with a finished timeline is its observer's business.
 */
import type { Clock, Microseconds } from '@thornsail/runtime';

/**
 * The stages in their usual order. `first_event` begins when a request is handed to its connection and ends with the
 * first byte that is passed on; `record` is what is written to the stores before the answer ends.
 */
export const stages = ['claim', 'context', 'charge', 'hold', 'slot', 'first_event', 'stream', 'record'] as const;
/** One stage. */
export type Stage = (typeof stages)[number];

/** A request that has ended. Times are microseconds. */
export type TimelineSummary = {
  /** The class of the request. */
  className: string;
  /** The program and its line of turns; null for a request that is no turn. */
  program: string | null;
  /** Time in each stage that the request has been in. */
  byStage: ReadonlyMap<Stage, Microseconds>;
  total: Microseconds;
  /** How it ended: `served`, or the code of the error that its caller got. */
  outcome: string;
  /** Workers that it was sent to, in this order. */
  workers: readonly string[];
  /** The last of them is the one that has the context of the turn before; null: there was no turn before. */
  reachedContext: boolean | null;
  /** Tokens of the prompt and of what was passed on. */
  tokens: { prompt: number; output: number };
};
/** The timeline of a request that is being served. */
export type Timeline = {
  /** The stage before ends here. Entering the same stage again adds to it. */
  enter: (stage: Stage) => void;
  sentTo: (worker: string, reachedContext: boolean | null) => void;
  /** How the request ends; what is told last counts. */
  ended: (outcome: string) => void;
  counted: (tokens: { prompt: number; output: number }) => void;
  /** Tells the observer; later calls do nothing. */
  close: () => void;
};
/** Is told of each request that has ended. */
export type TimelineObserver = (summary: TimelineSummary) => void;

/** What a timeline is opened with. */
export type TimelineOptions = {
  clock: Clock;
  className: string;
  program: string | null;
  arrivedAt: Microseconds;
  observe: TimelineObserver;
};

const open = ({ clock, className, program, arrivedAt, observe }: TimelineOptions): Timeline => {
  const byStage = new Map<Stage, Microseconds>();
  const workers: string[] = [];
  let current: Stage | null = null;
  let enteredAt = arrivedAt;
  let outcome = 'abandoned';
  let reachedContext: boolean | null = null;
  let tokens = { prompt: 0, output: 0 };
  let closed = false;
  const leaveStage = (now: Microseconds): void => {
    if (current !== null) byStage.set(current, (byStage.get(current) ?? 0) + now - enteredAt);
    enteredAt = now;
  };
  return {
    enter: (stage) => {
      leaveStage(clock.now());
      current = stage;
    },
    sentTo: (worker, reached) => {
      workers.push(worker);
      reachedContext = reached;
    },
    ended: (how) => {
      outcome = how;
    },
    counted: (counts) => {
      tokens = counts;
    },
    close: () => {
      if (closed) return;
      closed = true;
      const now = clock.now();
      leaveStage(now);
      observe({ className, program, byStage, total: now - arrivedAt, outcome, workers, reachedContext, tokens });
    },
  };
};

/** Opens timelines. */
export const requestTimeline = { open };
