/** Assembles the data plane of a gateway (§5): components, timers, readiness and counters. */
import type { Config } from '@thornsail/config-schema';
import type { GatewayMembership } from './gateway-membership.js';
import { registers as registerStore, type Registers } from '@thornsail/register-store';
import { validate, type Rpc } from '@thornsail/rpc';
import { duration, time, type Cancel, type HttpHandler, type Runtime } from '@thornsail/runtime';
import { admission as admissions, type Admission } from './admission.js';
import { clusterView, type ClusterView } from './cluster-view.js';
import { connections as connectionPools, type Connections } from './forward/connections.js';
import type { Dialect } from './forward/dialect.js';
import { forwardEntry } from './forward/entry.js';
import type { Forwarding } from './forward/forward.js';
import { storedTurns } from './forward/stored-turns.js';
import type { Gateway } from './gateway.js';
import { requestMetrics, type RequestMetrics } from './request-metrics.js';
import { lifecycle as lifecycles, type DrainOptions, type Lifecycle } from './lifecycle.js';
import { productEntry } from './product-entry.js';
import { budgetAccounts } from './records/budget-accounts.js';
import { conversations } from './records/conversations.js';
import { idempotencyKeys } from './records/idempotency-keys.js';
import { loadReport, type LoadReport } from './load-report.js';
import { responses } from './responses.js';

/** Options of a data plane. */
export type DataPlaneOptions = {
  runtime: Runtime;
  rpc: Rpc;
  membership: GatewayMembership;
  /** Disables the admission scheduler, as a baseline for comparisons. */
  plain?: boolean;
  /** This gateway's zone. */
  zone?: string;
};
/** An open data plane. */
export type DataPlane = {
  /** Serves requests of the product API (§5.1). */
  handle: HttpHandler;
  /** Serves requests of the forwarding interface, whose headers and errors a dialect defines (§5.7). */
  forward: (dialect: Dialect) => HttpHandler;
  /** Whether the gateway should receive requests, and the reasons if not. */
  ready: () => { ok: boolean; why: string[] };
  /** Shuts down gracefully: accepts requests for `acceptFor` more, and resolves when all are answered. */
  drain: (options?: DrainOptions) => Promise<void>;
  /** Limits on requests in the configuration in use; undefined before the first configuration. */
  limits: () => Config['limits'] | undefined;
  /** Counters and gauges by name. */
  counts: () => Record<string, number>;
  /** Metrics of requests and workers in the Prometheus text format (§5.11). */
  metrics: () => Promise<string>;
  admission: Admission;
  registers: Registers;
  close: () => void;
};

/** Retry budget of the gateway, refilled at one retry per second (§5.4). */
const maxRetries = 10;
/** Interval of applying the configuration, publishing the load and refilling the retry budget. */
const updateInterval = duration.ms(250);
const retriesPerUpdate = 0.25;
/** Interval of checking the stores and applying the list of workers. */
const storesCheckInterval = duration.ms(500);
/** Timeout of the query on whether a turn is open at another gateway. */
const turnOpenTimeout = duration.ms(300);

type Counters = { values: Record<string, number>; count: (counter: string) => void };
const openCounters = (): Counters => {
  const values: Record<string, number> = {
    requests: 0,
    turns: 0,
    jobs: 0,
    results: 0,
    rejected: 0,
    lost: 0,
    cut: 0,
    replayed: 0,
    budget_rejected: 0,
    retried: 0,
    orphaned: 0,
    refreshed: 0,
    slow_cut: 0,
    bad_requests: 0,
  };
  const count = (counter: string): void => {
    values[counter] = (values[counter] ?? 0) + 1;
  };
  return { values, count };
};
type RetryBudget = { take: () => boolean; refill: () => void };
const openRetries = (): RetryBudget => {
  let left = maxRetries;
  return {
    take: () => {
      if (left < 1) return false;
      left -= 1;
      return true;
    },
    refill: () => {
      left = Math.min(maxRetries, left + retriesPerUpdate);
    },
  };
};
const prefixed = (prefix: string, counts: Record<string, number>): Record<string, number> =>
  Object.fromEntries(Object.entries(counts).map(([name, value]) => [`${prefix}_${name}`, value]));

const openRegisters = ({ runtime, rpc, membership }: DataPlaneOptions): Registers =>
  registerStore.open({
    runtime,
    rpc,
    clientId: membership.id,
    group: () => {
      const stores = membership.state()?.storeGroup;
      return stores && stores.mark > 0 ? { version: stores.mark, members: stores.members } : undefined;
    },
  });

type Components = {
  options: DataPlaneOptions;
  view: ClusterView;
  admission: Admission;
  registers: Registers;
  reports: LoadReport;
  retries: RetryBudget;
  inFlight: Set<string>;
  count: (counter: string) => void;
  metrics: RequestMetrics;
};
const openGateway = ({
  options,
  view,
  admission,
  registers,
  reports,
  retries,
  inFlight,
  count,
  metrics,
}: Components): Gateway => {
  const { runtime, rpc, membership } = options;
  const { id } = membership;
  const limits = (): Config['limits'] => view.config()!.limits;
  const deadFor: GatewayMembership['deadFor'] = (node) => membership.deadFor(node);
  return {
    runtime,
    id,
    membership,
    admission,
    keys: idempotencyKeys.open({ runtime, registers, id, limits }),
    budgets: budgetAccounts.open({ registers, id, limits, inFlight, deadFor }),
    conversations: conversations.open({ registers }),
    responses: responses.open({ rand: runtime.rand, count }),
    config: () => view.config()!,
    count,
    log: runtime.log('data-plane'),
    requestEnded: metrics.observe,
    workerOutcome: metrics.workerOutcome,
    exchangeEnded: (worker, outcome) => {
      admission.recordExchange(worker, outcome === 'answered');
      metrics.workerOutcome(worker, outcome);
    },
    inFlight,
    takeRetry: retries.take,
    refreshIfStale: view.refreshIfStale,
    reportTakeover: reports.recordTakeover,
    isTurnOpenAt: (address, turn) => rpc.request<boolean>(address, 'turn.open', { turn }, turnOpenTimeout),
  };
};

/** Applies updates of the cluster, as they arrive and periodically. Returns the timers. */
const followCluster = (
  { runtime, membership }: DataPlaneOptions,
  view: ClusterView,
  reports: LoadReport,
  retries: RetryBudget,
): Cancel[] => {
  membership.onState(view.applyConfig);
  membership.dissemination.onUpdate(({ name, version }) => {
    if (name.startsWith('workers/')) view.applyWorkers();
    if (name.startsWith('load/')) reports.disseminatedLoadReceived(name.slice('load/'.length), version);
  });
  return [
    time.every(runtime.clock, updateInterval, () => {
      view.applyConfig();
      reports.tick();
      retries.refill();
    }),
    time.every(runtime.clock, storesCheckInterval, async () => {
      await view.checkStores();
      view.applyWorkers();
    }),
  ];
};

const readiness = (view: ClusterView, lifecycle: Lifecycle): { ok: boolean; why: string[] } => {
  const why: string[] = [];
  if (lifecycle.phase() !== 'serving') why.push('leaving');
  if (!view.config()) why.push('no configuration');
  if (!view.hasWorkers()) why.push('no workers');
  if (!view.storesReachable()) why.push('no store majority');
  if (!view.inContact()) why.push('cut off from most others');
  return { ok: why.length === 0, why };
};

const open = (options: DataPlaneOptions): DataPlane => {
  const { runtime, rpc, membership, plain, zone } = options;
  const { clock } = runtime;
  const { id } = membership;
  const { values, count } = openCounters();
  const inFlight = new Set<string>();
  const retries = openRetries();
  const configInUse = (): number => view.configVersion();
  const reports = loadReport.open({ clock, rpc, membership, self: id, admission: () => admission, configInUse });
  const admission: Admission = admissions.open({
    runtime,
    self: id,
    onChange: reports.changed,
    withoutScheduler: plain ?? false,
    zone: zone ?? '',
  });
  const registers = openRegisters(options);
  const connections: Connections = connectionPools.open({ clock, net: runtime.net });
  const metrics = requestMetrics.open(runtime.log('requests'));
  const view = clusterView.open({ runtime, membership, registers, admission, connections, reports, metrics, count });
  rpc.on<{ turn: string }>('turn.open', validate.object({ turn: validate.string }), ({ turn }) => inFlight.has(turn));
  const timers = followCluster(options, view, reports, retries);
  const gateway = openGateway({ options, view, admission, registers, reports, retries, inFlight, count, metrics });
  const lifecycle = lifecycles.open(runtime, inFlight);
  const turns = storedTurns.open({ clock, registers });
  const serveForwarded = forwardEntry.open(gateway, view, lifecycle, registers.isGroupKnown);
  const { gatewayCount } = view;
  return {
    forward: (dialect) => {
      const forwarding: Forwarding = { gateway, dialect, connections, turns, gatewayCount };
      return lifecycle.tracked((request, response) => serveForwarded(forwarding, request, response));
    },
    handle: lifecycle.tracked(productEntry.open(gateway, view, lifecycle)),
    ready: () => readiness(view, lifecycle),
    drain: lifecycle.drain,
    limits: () => view.config()?.limits,
    counts: () => ({
      ...values,
      ...prefixed('connections', connections.counts()),
      ...admission.counts(),
      in_flight: inFlight.size,
      holding: admission.heldTurns(),
      config_mark: view.configVersion(),
      ...prefixed('register', registers.counts()),
    }),
    metrics: metrics.text,
    admission,
    registers,
    close: () => {
      lifecycle.close();
      for (const stopTimer of timers) stopTimer();
      admission.close();
      connections.close();
    },
  };
};

/** Opens data planes. */
export const dataPlane = { open };
