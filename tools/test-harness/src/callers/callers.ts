// Simulated callers (§9.3): the kinds of load, and the checks that a caller itself can make.
import { openCallerState, type CallerOptions } from './caller-state.js';
import { runChat, type Chat } from './chat.js';
import { submitJob, type Job } from './job.js';
import type { KeyHistory, Summary } from './summary.js';

/** The callers of one run, with the results that they have recorded so far. */
export type Callers = {
  summary: Summary;
  keys: Map<string, KeyHistory>;
  chat: (chat: Chat) => Promise<void>;
  job: (job: Job) => Promise<void>;
};

/** Opens the callers of a run. */
export const callers = {
  open: (options: CallerOptions): Callers => {
    const state = openCallerState(options);
    return {
      summary: state.summary,
      keys: state.keys,
      chat: (chat) => runChat(state, chat),
      job: (job) => submitJob(state, job),
    };
  },
};
