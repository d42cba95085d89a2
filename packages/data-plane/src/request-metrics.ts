/**
 * Request metrics in the Prometheus text format (§5.11): time by class and stage, outcomes of requests, and outcomes of
 * the exchanges with each worker. Also writes a log line for each request, which `npm run explain` reads.
 */
import type { Log, Microseconds } from '@thornsail/runtime';
import { Counter, Histogram, Registry } from 'prom-client';
import { stages, type TimelineObserver, type TimelineSummary } from './request-timeline.js';

/** Outcomes of exchanges with workers. */
const workerOutcomes = ['answered', 'failed', 'lost', 'cut', 'not_run', 'abandoned'] as const;
/** Outcome of one exchange with a worker. */
export type WorkerOutcome = (typeof workerOutcomes)[number];
/** The metrics of one gateway. */
export type RequestMetrics = {
  observe: TimelineObserver;
  workerOutcome: (worker: string, outcome: WorkerOutcome) => void;
  /** Removes the metrics of all workers except these. */
  retainWorkers: (workers: ReadonlySet<string>) => void;
  /** All metrics in the Prometheus text format. */
  text: () => Promise<string>;
};

/** Upper bounds of the histogram's buckets in seconds: from a cached read to the longest wait of a client. */
const buckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

const inMs = (time: Microseconds): number => Math.round(time / 100) / 10;
/** The log line of a request: `field=value` pairs, with times in milliseconds. */
const lineOf = (summary: TimelineSummary): string => {
  const { className, program, byStage, total, outcome, workers, reachedContext, tokens } = summary;
  const times = stages.filter((stage) => byStage.has(stage)).map((stage) => `${stage}=${inMs(byStage.get(stage)!)}`);
  const fields = [
    `class=${className}`,
    `program=${program ?? '-'}`,
    `outcome=${outcome}`,
    `total=${inMs(total)}`,
    ...times,
    `workers=${workers.join(',') || '-'}`,
    `at_context=${reachedContext === null ? '-' : String(reachedContext)}`,
    `prompt=${tokens.prompt}`,
    `output=${tokens.output}`,
  ];
  return fields.join(' ');
};

/** Opens the metrics of a gateway; a line for each request is written to `log`. */
export const requestMetrics = {
  open: (log: Log): RequestMetrics => {
    const registry = new Registry();
    const registers = [registry];
    const stageSeconds = new Histogram({
      name: 'thornsail_request_stage_seconds',
      help: 'Time of requests by class and stage',
      labelNames: ['class', 'stage'] as const,
      buckets,
      registers,
    });
    const requests = new Counter({
      name: 'thornsail_request_outcomes_total',
      help: 'Requests by class and outcome',
      labelNames: ['class', 'outcome'] as const,
      registers,
    });
    const exchanges = new Counter({
      name: 'thornsail_worker_outcomes_total',
      help: 'Exchanges with workers by worker and outcome',
      labelNames: ['worker', 'outcome'] as const,
      registers,
    });
    /** Workers that have metrics. */
    const workersWithMetrics = new Set<string>();
    return {
      observe: (summary) => {
        const { className, byStage, outcome } = summary;
        for (const [stage, took] of byStage) stageSeconds.observe({ class: className, stage }, took / 1e6);
        requests.inc({ class: className, outcome });
        log(() => lineOf(summary));
      },
      workerOutcome: (worker, outcome) => {
        workersWithMetrics.add(worker);
        exchanges.inc({ worker, outcome });
      },
      retainWorkers: (workers) => {
        for (const worker of [...workersWithMetrics]) {
          if (workers.has(worker)) continue;
          workersWithMetrics.delete(worker);
          for (const outcome of workerOutcomes) exchanges.remove({ worker, outcome });
        }
      },
      text: () => registry.metrics(),
    };
  },
};
