/**
 * Where the time of requests went (§5.11): reads the lines that gateways log for each request, and sums them up by
 * class and stage.
 */
import { stages } from '@thornsail/data-plane';

/** One request, as its log line tells it. Times are milliseconds. */
export type LoggedRequest = {
  className: string;
  outcome: string;
  total: number;
  byStage: Map<string, number>;
  /** Null: there was no turn before. */
  atContext: boolean | null;
};
/** The requests of one class. */
export type ClassSummary = {
  className: string;
  requests: number;
  outcomes: Map<string, number>;
  /** Turns that continue another one, and those of them that went to the worker with its context. */
  continued: number;
  atContext: number;
  /** Sorted times by stage; `total` is one of them. */
  times: Map<string, number[]>;
};

const marker = /\brequests:? (class=.*)$/;
const fieldsOf = (text: string): Map<string, string> =>
  new Map(
    text
      .trim()
      .split(' ')
      .map((field) => [field.slice(0, field.indexOf('=')), field.slice(field.indexOf('=') + 1)]),
  );

/** Reads one line of a log; undefined if it is not about a request. */
export const parseLine = (line: string): LoggedRequest | undefined => {
  const match = marker.exec(line);
  if (!match) return undefined;
  const fields = fieldsOf(match[1]!);
  const atContext = fields.get('at_context');
  return {
    className: fields.get('class') ?? '',
    outcome: fields.get('outcome') ?? '',
    total: Number(fields.get('total')),
    byStage: new Map(stages.filter((stage) => fields.has(stage)).map((stage) => [stage, Number(fields.get(stage))])),
    atContext: atContext === 'true' ? true : atContext === 'false' ? false : null,
  };
};

const emptySummary = (className: string): ClassSummary => ({
  className,
  requests: 0,
  outcomes: new Map(),
  continued: 0,
  atContext: 0,
  times: new Map(),
});
const add = (summary: ClassSummary, { outcome, total, byStage, atContext }: LoggedRequest): void => {
  summary.requests += 1;
  summary.outcomes.set(outcome, (summary.outcomes.get(outcome) ?? 0) + 1);
  if (atContext !== null) summary.continued += 1;
  if (atContext === true) summary.atContext += 1;
  for (const [stage, took] of [...byStage, ['total', total] as const])
    summary.times.set(stage, [...(summary.times.get(stage) ?? []), took]);
};

/** Sums requests up by class, in the order of the classes' names. */
export const summarize = (requests: Iterable<LoggedRequest>): ClassSummary[] => {
  const byClass = new Map<string, ClassSummary>();
  for (const request of requests) {
    const summary = byClass.get(request.className) ?? emptySummary(request.className);
    byClass.set(request.className, summary);
    add(summary, request);
  }
  for (const { times } of byClass.values()) for (const list of times.values()) list.sort((a, b) => a - b);
  return [...byClass.values()].sort((a, b) => (a.className < b.className ? -1 : 1));
};

const quantile = (sorted: number[], part: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
const cell = (value: number): string => value.toFixed(1).padStart(9);
const rowOf = (stage: string, sorted: number[]): string => {
  const mean = sorted.reduce((sum, each) => sum + each, 0) / sorted.length;
  const figures = [mean, quantile(sorted, 0.5), quantile(sorted, 0.95), sorted[sorted.length - 1]!];
  return `  ${stage.padEnd(12)}${String(sorted.length).padStart(8)}${figures.map(cell).join('')}`;
};

/** The summary of a class as text: a row for each stage, in milliseconds. */
export const tableOf = ({ className, requests, outcomes, continued, atContext, times }: ClassSummary): string => {
  const ends = [...outcomes].sort(([, a], [, b]) => b - a).map(([outcome, n]) => `${outcome} ${n}`);
  const context = continued === 0 ? '' : `; ${atContext} of ${continued} at the worker with their context`;
  const rows = [...stages, 'total'].filter((stage) => times.has(stage)).map((stage) => rowOf(stage, times.get(stage)!));
  const columns = ['mean', 'p50', 'p95', 'worst'].map((name) => name.padStart(9)).join('');
  const header = `  ${'ms'.padEnd(12)}${'requests'.padStart(8)}${columns}`;
  return [`${className}: ${requests} (${ends.join(', ')})${context}`, header, ...rows].join('\n');
};
