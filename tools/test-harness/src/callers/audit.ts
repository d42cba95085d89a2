// The rules that the workers' log of requests shows, held against what the callers heard (§9.3).
import { duration, type Microseconds } from '@thornsail/runtime';
import type { RequestLog } from '../standins.js';
import { patience } from './account.js';
import type { KeyStory, Summary } from './summary.js';

/** A turn has to be at its worker so long before its first token is due. */
const releaseMargin: Microseconds = duration.ms(50);
/** A worker that leaves may be sent requests for so long. */
const leaveTolerance: Microseconds = duration.s(3);

/**
 * Of the silences, those that are the system's: the turn was not at a worker in time. Where it was, its worker's own
 * queue made its caller wait; the design lets a forced turn through to a full worker: counted, not a breach.
 */
export const silent = (
  log: RequestLog,
  silences: Summary['silences'],
  firstToken: Microseconds,
): { breaches: string[]; atWorkers: number } => {
  // In time for a first token from a worker that is not busy, before the caller gives up (§4.3).
  const releaseBy = patience - firstToken - releaseMargin;
  const ofWorker = silences.filter(({ program, begun }) =>
    log.entries.some((entry) => entry.program === program && entry.at >= begun && entry.at - begun <= releaseBy),
  );
  const rest = silences.filter((one) => !ofWorker.includes(one));
  return {
    atWorkers: ofWorker.length,
    breaches: rest.map(({ program, what, waited }) => `${program}: ${what}, ${duration.toMs(waited)} ms of silence`),
  };
};

/** `leftAt`: when a worker began to leave; `budgets`: the tokens of a program. */
export type AuditOptions = {
  requestLog: RequestLog;
  keys: Map<string, KeyStory>;
  budgets: (program: string) => number;
  leftAt: Map<string, Microseconds>;
};

const sentToLeaving = ({ requestLog, leftAt }: AuditOptions): string[] =>
  requestLog.entries.flatMap(({ worker, at }) => {
    const left = leftAt.get(worker);
    return left !== undefined && at - left > leaveTolerance
      ? [`leaving worker ${worker} was sent a request ${duration.toMs(at - left)} ms after`]
      : [];
  });

/** A program may go over its budget by its largest turn. */
const overBudget = ({ requestLog, budgets }: AuditOptions): string[] => {
  const totals = new Map<string, { sum: number; largest: number }>();
  for (const { program, ran, prompt, completion } of requestLog.entries) {
    if (program === null || !ran) continue;
    const { sum, largest } = totals.get(program) ?? { sum: 0, largest: 0 };
    const tokens = prompt + completion;
    totals.set(program, { sum: sum + tokens, largest: Math.max(largest, tokens) });
  }
  return [...totals]
    .filter(([program, { sum, largest }]) => sum > budgets(program) + largest)
    .map(([program, { sum }]) => `program ${program} received ${sum} tokens of a budget of ${budgets(program)}`);
};

const ranAgain = ({ requestLog, keys }: AuditOptions): string[] => {
  const runs = new Map<string, number>();
  for (const { key, ran } of requestLog.entries) if (key !== null && ran) runs.set(key, (runs.get(key) ?? 0) + 1);
  const problems: string[] = [];
  for (const [key, count] of runs) if (count > 1) problems.push(`once-request ${key} ran ${count} times`);
  for (const { key, at } of requestLog.entries) {
    const story = key === null ? undefined : keys.get(key);
    const notRun = story?.no.find((time) => time < at && !story.sent.some((sent) => sent >= time && sent <= at));
    if (notRun !== undefined)
      problems.push(
        `once-request ${key} ran ${duration.toMs(at - notRun)} ms after "not run", with no copy sent since`,
      );
  }
  for (const [key, { ok, ran }] of keys)
    if (!ok && ran.length && ran.every((one) => one === 'no') && runs.has(key))
      problems.push(`once-request ${key} ran after "not run"`);
  return problems;
};

/** All breaches of the rules that the log shows. */
export const audit = (options: AuditOptions): string[] => [
  ...sentToLeaving(options),
  ...overBudget(options),
  ...ranAgain(options),
];
