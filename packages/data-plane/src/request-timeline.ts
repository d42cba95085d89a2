/**
 * Records how one request spends its time (§5.11): the duration of its stages, the workers that it was sent to, and its
 * outcome. The interfaces mark the stages; a closed timeline is passed to an observer.
 */
import type { Clock, Microseconds } from '@thornsail/runtime';

/**
 * The stages in their usual order. `first_event` begins when a request is written to its connection and ends with the
 * first byte that is relayed; `record` is the time of the writes to the stores before the answer ends.
 */
export const stages = ['claim', 'context', 'charge', 'hold', 'slot', 'first_event', 'stream', 'record'] as const;
/** One stage. */
export type Stage = (typeof stages)[number];

/** Summary of a finished request. */
export type TimelineSummary = {
  /** The class of the request. */
  className: string;
  /** The program and, in the forwarding interface, its session; null for a request that is not a turn. */
  program: string | null;
  /** Time spent in each stage that the request entered. */
  byStage: ReadonlyMap<Stage, Microseconds>;
  total: Microseconds;
  /** `served`, the code of the error that the caller got, or another outcome that the interface sets. */
  outcome: string;
  /** IDs of the workers that it was sent to, in order. */
  workers: readonly string[];
  /** Whether the last of them has the context of the previous turn; null if there was no previous turn. */
  reachedContext: boolean | null;
  /** Tokens of the prompt and of the relayed output. */
  tokens: { prompt: number; output: number };
};
/** The timeline of a request that is being served. */
export type Timeline = {
  /** Ends the current stage and begins `stage`. Entering a stage again adds to its time. */
  enter: (stage: Stage) => void;
  /** Records that the request was sent to a worker. */
  sentTo: (worker: string, reachedContext: boolean | null) => void;
  /** Sets the outcome; the last call counts. */
  setOutcome: (outcome: string) => void;
  setTokens: (tokens: { prompt: number; output: number }) => void;
  /** Passes the summary to the observer; later calls do nothing. */
  close: () => void;
};
/** Called with the summary of each finished request. */
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
    setOutcome: (newOutcome) => {
      outcome = newOutcome;
    },
    setTokens: (counts) => {
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
