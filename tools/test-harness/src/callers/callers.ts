// Stand-in callers (§9.3): the brief's kinds of load, and the checks that a caller can make itself.
import { openAccount, type CallerOptions } from './account.js';
import { holdChat, type Chat } from './chat.js';
import { submitJob, type Job } from './job.js';
import type { KeyStory, Summary } from './summary.js';

/** Callers of one run, with what they saw so far. */
export type Callers = {
  summary: Summary;
  keys: Map<string, KeyStory>;
  chat: (chat: Chat) => Promise<void>;
  job: (job: Job) => Promise<void>;
};

/** Opens the callers of a run. */
export const callers = {
  open: (options: CallerOptions): Callers => {
    const account = openAccount(options);
    return {
      summary: account.summary,
      keys: account.keys,
      chat: (chat) => holdChat(account, chat),
      job: (job) => submitJob(account, job),
    };
  },
};
