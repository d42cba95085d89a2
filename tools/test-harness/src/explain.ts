/**
 * Latency by stage (§5.11): parses the lines that gateways log for each request, and summarizes the requests by class
 * and stage.
 */
import { stages } from '@thornsail/data-plane';

/** A request as logged; times are in milliseconds. */
export type LoggedRequest = {
  className: string;
  outcome: string;
  total: number;
  /** Time spent in each stage that the request passed through. */
  byStage: Map<string, number>;
  /** Whether the turn was sent to the worker with the context of the previous turn; null: no previous turn. */
  atContext: boolean | null;
};
/** Summary of the requests of one class; times are in milliseconds. */
export type ClassSummary = {
  className: string;
  requests: number;
  /** Requests by outcome. */
  outcomes: Map<string, number>;
  /** Turns with a previous turn, and those of them that were sent to the worker with its context. */
  continued: number;
  atContext: number;
  /** Sorted times by stage; `total` is one of them. */
  times: Map<string, number[]>;
};

const requestPattern = /\brequests:? (class=.*)$/;
const fieldsOf = (text: string): Map<string, string> =>
  new Map(
    text
      .trim()
      .split(' ')
      .map((field) => [field.slice(0, field.indexOf('=')), field.slice(field.indexOf('=') + 1)]),
  );

/** Parses a log line; undefined if it is not a request line. */
export const parseLine = (line: string): LoggedRequest | undefined => {
  const match = requestPattern.exec(line);
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
  for (const [stage, duration] of [...byStage, ['total', total] as const])
    summary.times.set(stage, [...(summary.times.get(stage) ?? []), duration]);
};

/** Summarizes requests by class, sorted by class name. */
export const summarize = (requests: Iterable<LoggedRequest>): ClassSummary[] => {
  const byClass = new Map<string, ClassSummary>();
  for (const request of requests) {
    const summary = byClass.get(request.className) ?? emptySummary(request.className);
    byClass.set(request.className, summary);
    add(summary, request);
  }
  for (const { times } of byClass.values()) for (const values of times.values()) values.sort((a, b) => a - b);
  return [...byClass.values()].sort((a, b) => (a.className < b.className ? -1 : 1));
};

const quantile = (sorted: number[], fraction: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
const formatCell = (value: number): string => value.toFixed(1).padStart(9);
const formatRow = (stage: string, sorted: number[]): string => {
  const mean = sorted.reduce((sum, value) => sum + value, 0) / sorted.length;
  const figures = [mean, quantile(sorted, 0.5), quantile(sorted, 0.95), sorted[sorted.length - 1]!];
  return `  ${stage.padEnd(12)}${String(sorted.length).padStart(8)}${figures.map(formatCell).join('')}`;
};

/** Formats the summary of a class as a table with a row for each stage, in milliseconds. */
export const tableOf = ({ className, requests, outcomes, continued, atContext, times }: ClassSummary): string => {
  const outcomeCounts = [...outcomes].sort(([, a], [, b]) => b - a).map(([outcome, count]) => `${outcome} ${count}`);
  const context = continued === 0 ? '' : `; ${atContext} of ${continued} at the worker with their context`;
  const rows = [...stages, 'total']
    .filter((stage) => times.has(stage))
    .map((stage) => formatRow(stage, times.get(stage)!));
  const columns = ['mean', 'p50', 'p95', 'worst'].map((name) => name.padStart(9)).join('');
  const header = `  ${'ms'.padEnd(12)}${'requests'.padStart(8)}${columns}`;
  return [`${className}: ${requests} (${outcomeCounts.join(', ')})${context}`, header, ...rows].join('\n');
};
