/**
 * Finds workers that fail more of their requests than the others of their service do, while they claim to be well
 * (§5.2). One gateway of many sends a worker a request now and then, so the evidence is pooled: each gateway reports
 * what became of its own exchanges with workers under suspicion. A worker that stands out is ejected: passed by for a
 * time that doubles, never more than a part of a service at once. Then it is given work again little by little: one
 * request, and more as none fails.
 */
import { duration, type Microseconds } from '@thornsail/runtime';

/** What became of one gateway's exchanges with a worker lately, in the form that it is reported in. */
export type ExchangeCounts = [succeeded: number, failed: number];
/** By worker. */
export type ExchangeReport = Record<string, ExchangeCounts>;

/** Judges workers by what became of the exchanges with them. */
export type OutlierDetector = {
  /** Takes in the outcome of one exchange of this gateway. */
  record: (worker: string, succeeded: boolean) => void;
  /** Replaces what the other gateways report. */
  setPeerReports: (reports: ExchangeReport[]) => void;
  /** This gateway's counts of the workers that have failed a request anywhere lately. */
  report: () => ExchangeReport;
  /** Whether a worker is passed by. */
  isEjected: (worker: string) => boolean;
  /** The part of its slots that a worker may be given: below 1 for a while after it was ejected. */
  usableShare: (worker: string) => number;
  /** Forgets all workers but these; they are those of all services, by service. */
  setServices: (workersByService: ReadonlyMap<string, readonly string[]>) => void;
};

/** Outcomes are counted for so long. */
const window = duration.s(3);
const bucketWidth = duration.ms(500);
/**
 * So many failures at least make an outlier, with a rate that is by so much above the others' median, and with more
 * failures than that median makes likely: by so many standard deviations of a binomial distribution.
 */
const leastFailures = 3;
const excessRate = 0.1;
const deviations = 3;
/** Any worker may fail that much, whatever the others do. */
const leastExpectedRate = 0.02;
/** With fewer failures than `leastFailures` a worker is an outlier only if so large a part of all has failed. */
const fewFailures = 2;
const fewFailuresRate = 0.5;
/**
 * Short, since a worker that is well again is missed while many come; each failure right after it doubles it. What the
 * trials cost is one request at a time.
 */
const firstEjection = duration.s(1);
const longestEjection = duration.s(8);
/** A worker that has worked well for so long starts again at the first ejection time. */
const forgivenAfter = duration.s(10);
/** A worker is given its slots again over this time. */
const slowStart = duration.s(2);
/** Of a service's workers at most this part is ejected at once; one where it has two or more. */
const largestEjectedPart = 1 / 3;

type Bucket = { startedAt: Microseconds; succeeded: number; failed: number };
type Ejection = { until: Microseconds; length: Microseconds };
type DetectorState = {
  now: () => Microseconds;
  own: Map<string, Bucket[]>;
  peers: Map<string, ExchangeCounts>;
  ejections: Map<string, Ejection>;
  services: ReadonlyMap<string, readonly string[]>;
};

const recent = ({ own, now }: DetectorState, worker: string): Bucket[] => {
  const buckets = (own.get(worker) ?? []).filter(({ startedAt }) => now() - startedAt < window);
  if (buckets.length === 0) own.delete(worker);
  else own.set(worker, buckets);
  return buckets;
};
const ownCounts = (state: DetectorState, worker: string): ExchangeCounts => {
  const buckets = recent(state, worker);
  const sum = (field: 'succeeded' | 'failed'): number => buckets.reduce((total, bucket) => total + bucket[field], 0);
  return [sum('succeeded'), sum('failed')];
};
const pooledCounts = (state: DetectorState, worker: string): ExchangeCounts => {
  const [succeeded, failed] = ownCounts(state, worker);
  const [peersSucceeded, peersFailed] = state.peers.get(worker) ?? [0, 0];
  return [succeeded + peersSucceeded, failed + peersFailed];
};
const rateOf = ([succeeded, failed]: ExchangeCounts): number => (failed === 0 ? 0 : failed / (succeeded + failed));

const medianRate = (state: DetectorState, workers: readonly string[]): number => {
  const rates = workers.map((worker) => rateOf(pooledCounts(state, worker))).sort((a, b) => a - b);
  return rates[Math.floor(rates.length / 2)] ?? 0;
};

const isEjected = ({ ejections, now }: DetectorState, worker: string): boolean =>
  (ejections.get(worker)?.until ?? -Infinity) > now();

const mayEject = (state: DetectorState, workers: readonly string[]): boolean => {
  const most = workers.length < 2 ? 0 : Math.max(1, Math.floor(workers.length * largestEjectedPart));
  return workers.filter((worker) => isEjected(state, worker)).length < most;
};

const usableShare = ({ ejections, now }: DetectorState, worker: string): number => {
  const ejection = ejections.get(worker);
  return ejection ? Math.min(1, Math.max(0, (now() - ejection.until) / slowStart)) : 1;
};

const isOutlier = (state: DetectorState, worker: string, workers: readonly string[]): boolean => {
  const counts = pooledCounts(state, worker);
  const [succeeded, failed] = counts;
  const rate = rateOf(counts);
  if (failed < leastFailures && !(failed >= fewFailures && rate >= fewFailuresRate)) return false;
  const others = workers.filter((other) => other !== worker);
  const expectedRate = Math.max(leastExpectedRate, medianRate(state, others));
  const total = succeeded + failed;
  const deviation = Math.sqrt(total * expectedRate * (1 - expectedRate));
  return rate >= expectedRate + excessRate && failed >= total * expectedRate + deviations * deviation;
};

const eject = ({ own, ejections, now }: DetectorState, worker: string): void => {
  const last = ejections.get(worker);
  const isForgiven = !last || now() - last.until > forgivenAfter;
  const length = isForgiven ? firstEjection : Math.min(longestEjection, 2 * last.length);
  ejections.set(worker, { until: now() + length, length });
  own.delete(worker);
};

/** To be called when a worker has failed a request. While its slots come back, that is enough to eject it again. */
const judge = (state: DetectorState, worker: string): void => {
  if (isEjected(state, worker)) return;
  const service = [...state.services.values()].find((workers) => workers.includes(worker));
  if (!service || !mayEject(state, service)) return;
  if (usableShare(state, worker) < 1 || isOutlier(state, worker, service)) eject(state, worker);
};

const record = (state: DetectorState, worker: string, succeeded: boolean): void => {
  const buckets = recent(state, worker);
  let bucket = buckets[buckets.length - 1];
  if (!bucket || state.now() - bucket.startedAt >= bucketWidth) {
    bucket = { startedAt: state.now(), succeeded: 0, failed: 0 };
    state.own.set(worker, [...buckets, bucket]);
  }
  bucket[succeeded ? 'succeeded' : 'failed'] += 1;
  if (!succeeded) judge(state, worker);
};

const setPeerReports = (state: DetectorState, reports: ExchangeReport[]): void => {
  const former = state.peers;
  state.peers = new Map();
  for (const report of reports)
    for (const [worker, [succeeded, failed]] of Object.entries(report)) {
      const before = state.peers.get(worker) ?? [0, 0];
      state.peers.set(worker, [before[0] + succeeded, before[1] + failed]);
    }
  for (const [worker, [, failed]] of state.peers) if (failed > (former.get(worker)?.[1] ?? 0)) judge(state, worker);
};

/** Opens detectors of outliers. */
export const outlierDetection = {
  /** `now` is the monotonic clock, microseconds. */
  open: (now: () => Microseconds): OutlierDetector => {
    const state: DetectorState = { now, own: new Map(), peers: new Map(), ejections: new Map(), services: new Map() };
    return {
      record: (worker, succeeded) => record(state, worker, succeeded),
      setPeerReports: (reports) => setPeerReports(state, reports),
      report: () =>
        Object.fromEntries(
          [...state.own.keys()]
            .map((worker): [string, ExchangeCounts] => [worker, ownCounts(state, worker)])
            .filter(([worker, [, failed]]) => failed > 0 || (state.peers.get(worker)?.[1] ?? 0) > 0),
        ),
      isEjected: (worker) => isEjected(state, worker),
      usableShare: (worker) => usableShare(state, worker),
      setServices: (workersByService) => {
        state.services = workersByService;
        const known = new Set([...workersByService.values()].flat());
        for (const worker of [...state.own.keys(), ...state.ejections.keys()]) {
          if (known.has(worker)) continue;
          state.own.delete(worker);
          state.ejections.delete(worker);
        }
      },
    };
  },
};
