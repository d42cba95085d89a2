/**
 * Outlier detection: finds workers that fail more of their requests than the other workers of their service although
 * they report themselves healthy (§5.2). A single gateway of many sends each worker too few requests to judge it, so
 * the counts are pooled: each gateway reports the outcomes of its own exchanges with workers that have failed requests.
 * An outlier is ejected, that is, not selected, for a time that doubles with each ejection; only a fraction of a
 * service is ejected at once. Afterwards a slow start returns the slots gradually: one request first, and more as long
 * as none fails.
 */
import { duration, type Microseconds } from '@thornsail/runtime';

/** Recent outcomes of one gateway's exchanges with a worker, in the format in which they are reported. */
export type ExchangeCounts = [succeeded: number, failed: number];
/** Recent outcomes of one gateway's exchanges, by worker id. */
export type ExchangeReport = Record<string, ExchangeCounts>;

/** Ejects workers by the outcomes of the exchanges with them. */
export type OutlierDetector = {
  /** Records the outcome of one exchange of this gateway. */
  record: (worker: string, succeeded: boolean) => void;
  /** Replaces the reports of the other gateways. */
  setPeerReports: (reports: ExchangeReport[]) => void;
  /** This gateway's counts for the workers that have recently failed a request of any gateway. */
  report: () => ExchangeReport;
  /** Whether a worker is currently ejected. */
  isEjected: (worker: string) => boolean;
  /** The fraction of its slots that a worker may use: below 1 during the slow start after an ejection. */
  usableShare: (worker: string) => number;
  /** Sets the ids of all workers, by service, and discards the state of all others. */
  setServices: (workersByService: ReadonlyMap<string, readonly string[]>) => void;
};

/** Sliding window over which outcomes are counted. */
const countingWindow = duration.s(3);
const bucketWidth = duration.ms(500);
/**
 * An outlier has at least `minFailures` failures, a failure rate at least `minExcessRate` above the median of the other
 * workers, and at least `minDeviations` standard deviations (binomial distribution) more failures than that median
 * predicts.
 */
const minFailures = 3;
const minExcessRate = 0.1;
const minDeviations = 3;
/** Lower bound of the expected failure rate, also if the other workers fail less. */
const minExpectedRate = 0.02;
/** Fewer failures than `minFailures`, but at least this many, make an outlier only at `highFailureRate` or above. */
const minFailuresAtHighRate = 2;
const highFailureRate = 0.5;
/**
 * Length of a worker's first ejection; each further one soon afterwards is twice as long, up to `maxEjectionTime`. It
 * is short because a recovered worker's capacity is needed under load, and a trial costs only one request at a time.
 */
const minEjectionTime = duration.s(1);
const maxEjectionTime = duration.s(8);
/** A worker that has not been ejected for this long starts again at `minEjectionTime`. */
const backoffResetTime = duration.s(10);
/** Duration of the slow start, over which a worker's slots are returned to it. */
const slowStartTime = duration.s(2);
/** Maximum fraction of a service's workers ejected at once; at least one worker if the service has two or more. */
const maxEjectedFraction = 1 / 3;

type Bucket = { startedAt: Microseconds; succeeded: number; failed: number };
type Ejection = { until: Microseconds; length: Microseconds };
type DetectorState = {
  now: () => Microseconds;
  own: Map<string, Bucket[]>;
  peers: Map<string, ExchangeCounts>;
  ejections: Map<string, Ejection>;
  services: ReadonlyMap<string, readonly string[]>;
};

const recentBuckets = ({ own, now }: DetectorState, worker: string): Bucket[] => {
  const buckets = (own.get(worker) ?? []).filter(({ startedAt }) => now() - startedAt < countingWindow);
  if (buckets.length === 0) own.delete(worker);
  else own.set(worker, buckets);
  return buckets;
};
const ownCounts = (state: DetectorState, worker: string): ExchangeCounts => {
  const buckets = recentBuckets(state, worker);
  const sum = (field: 'succeeded' | 'failed'): number => buckets.reduce((total, bucket) => total + bucket[field], 0);
  return [sum('succeeded'), sum('failed')];
};
const pooledCounts = (state: DetectorState, worker: string): ExchangeCounts => {
  const [succeeded, failed] = ownCounts(state, worker);
  const [peersSucceeded, peersFailed] = state.peers.get(worker) ?? [0, 0];
  return [succeeded + peersSucceeded, failed + peersFailed];
};
const failureRate = ([succeeded, failed]: ExchangeCounts): number => (failed === 0 ? 0 : failed / (succeeded + failed));

const medianRate = (state: DetectorState, workers: readonly string[]): number => {
  const rates = workers.map((worker) => failureRate(pooledCounts(state, worker))).sort((a, b) => a - b);
  return rates[Math.floor(rates.length / 2)] ?? 0;
};

const isEjected = ({ ejections, now }: DetectorState, worker: string): boolean =>
  (ejections.get(worker)?.until ?? -Infinity) > now();

const mayEject = (state: DetectorState, workers: readonly string[]): boolean => {
  const maxEjected = workers.length < 2 ? 0 : Math.max(1, Math.floor(workers.length * maxEjectedFraction));
  return workers.filter((worker) => isEjected(state, worker)).length < maxEjected;
};

const usableShare = ({ ejections, now }: DetectorState, worker: string): number => {
  const ejection = ejections.get(worker);
  return ejection ? Math.min(1, Math.max(0, (now() - ejection.until) / slowStartTime)) : 1;
};

const isOutlier = (state: DetectorState, worker: string, workers: readonly string[]): boolean => {
  const counts = pooledCounts(state, worker);
  const [succeeded, failed] = counts;
  const rate = failureRate(counts);
  if (failed < minFailures && !(failed >= minFailuresAtHighRate && rate >= highFailureRate)) return false;
  const others = workers.filter((other) => other !== worker);
  const expectedRate = Math.max(minExpectedRate, medianRate(state, others));
  const total = succeeded + failed;
  const deviation = Math.sqrt(total * expectedRate * (1 - expectedRate));
  return rate >= expectedRate + minExcessRate && failed >= total * expectedRate + minDeviations * deviation;
};

const eject = ({ own, ejections, now }: DetectorState, worker: string): void => {
  const previous = ejections.get(worker);
  const resetsBackoff = !previous || now() - previous.until > backoffResetTime;
  const length = resetsBackoff ? minEjectionTime : Math.min(maxEjectionTime, 2 * previous.length);
  ejections.set(worker, { until: now() + length, length });
  own.delete(worker);
};

/** Ejects a worker that has just failed a request if it is an outlier; during its slow start one failure is enough. */
const ejectIfFailing = (state: DetectorState, worker: string): void => {
  if (isEjected(state, worker)) return;
  const service = [...state.services.values()].find((workers) => workers.includes(worker));
  if (!service || !mayEject(state, service)) return;
  if (usableShare(state, worker) < 1 || isOutlier(state, worker, service)) eject(state, worker);
};

const record = (state: DetectorState, worker: string, succeeded: boolean): void => {
  const buckets = recentBuckets(state, worker);
  let bucket = buckets[buckets.length - 1];
  if (!bucket || state.now() - bucket.startedAt >= bucketWidth) {
    bucket = { startedAt: state.now(), succeeded: 0, failed: 0 };
    state.own.set(worker, [...buckets, bucket]);
  }
  bucket[succeeded ? 'succeeded' : 'failed'] += 1;
  if (!succeeded) ejectIfFailing(state, worker);
};

const setPeerReports = (state: DetectorState, reports: ExchangeReport[]): void => {
  const previousPeers = state.peers;
  state.peers = new Map();
  for (const report of reports)
    for (const [worker, [succeeded, failed]] of Object.entries(report)) {
      const before = state.peers.get(worker) ?? [0, 0];
      state.peers.set(worker, [before[0] + succeeded, before[1] + failed]);
    }
  for (const [worker, [, failed]] of state.peers)
    if (failed > (previousPeers.get(worker)?.[1] ?? 0)) ejectIfFailing(state, worker);
};

/** Creates outlier detectors. */
export const outlierDetection = {
  /** `now` is the monotonic clock, in microseconds. */
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
