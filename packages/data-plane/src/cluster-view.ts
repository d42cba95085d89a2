/**
 * A gateway's view of the cluster (§3.7, §7.2): the configuration in use, the workers, and whether the gateway is in
 * contact with the other nodes and with a majority of stores.
 */
import type { Config } from '@thornsail/config-schema';
import type { GatewayMembership } from './gateway-membership.js';
import type { Registers } from '@thornsail/register-store';
import { duration, invariant, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Admission } from './admission.js';
import type { Connections } from './forward/connections.js';
import type { LoadReport } from './load-report.js';
import type { RequestMetrics } from './request-metrics.js';
import { workersOf } from './workers.js';

/** Reads and updates the view. Updates are passed on to admission and to the connection pools. */
export type ClusterView = {
  /** Undefined before the first configuration. */
  config: () => Config | undefined;
  /** 0 before the first configuration. */
  configVersion: () => number;
  /** Applies the configuration of the agreed state if it is newer than the one in use. */
  applyConfig: () => void;
  /** Applies the current list of workers. */
  applyWorkers: () => void;
  /** Whether any worker accepts requests. */
  hasWorkers: () => boolean;
  /** How many gateways are live, at least 1. */
  gatewayCount: () => number;
  /**
   * Whether every configuration that the control plane has acknowledged is certain to be in use here (§7.2). True if
   * the leader or more than half of the gateways were heard from recently: the control plane acknowledges nothing
   * without a majority of gateways.
   */
  inContact: () => boolean;
  /**
   * Refreshes the membership if it is stale because the process was suspended: nothing is dispatched on a stale
   * membership (§3.7). False if it could not be refreshed.
   */
  refreshIfStale: () => Promise<boolean>;
  /** Updates `storesReachable`. */
  checkStores: () => Promise<void>;
  /** Whether a majority of stores answered the last check. */
  storesReachable: () => boolean;
};

/** A gateway that heard neither from the leader nor from most gateways for this long accepts no new requests (§7.2). */
const contactTimeout = duration.s(2);

type Options = {
  runtime: Runtime;
  membership: GatewayMembership;
  registers: Registers;
  admission: Admission;
  connections: Connections;
  reports: LoadReport;
  metrics: RequestMetrics;
  count: (counter: string) => void;
};
type MembershipState = NonNullable<ReturnType<GatewayMembership['state']>>;
const liveGateways = ({ nodes }: MembershipState): { id: string }[] =>
  Object.values(nodes).filter((node) => node.role === 'gateway' && node.status === 'live');
const isInContact = (now: Microseconds, membership: GatewayMembership, reports: LoadReport): boolean => {
  const state = membership.state();
  if (!state || now - (membership.dissemination.get('core')?.receivedAt ?? -contactTimeout) < contactTimeout)
    return true;
  const gateways = liveGateways(state);
  const isReachable = (id: string): boolean =>
    id === membership.id || now - reports.lastReceivedAt(id) < contactTimeout;
  return gateways.filter((node) => isReachable(node.id)).length * 2 > gateways.length;
};

const open = (options: Options): ClusterView => {
  const { membership, registers, admission, reports } = options;
  const { clock } = options.runtime;
  const log = options.runtime.log('data-plane');
  let config: Config | undefined;
  let configVersion = 0;
  let storesReachable = false;
  let previousChanges = 0;

  const applyConfig = (): void => {
    const state = membership.state();
    if (!state || state.config.value === null || state.config.mark <= configVersion) return;
    invariant.hold(state.config.mark > configVersion, 'the configuration version decreased');
    configVersion = state.config.mark;
    config = state.config.value;
    admission.setConfig(config);
    log(`configuration ${configVersion} is in use.`);
    reports.changed();
  };
  const applyWorkers = (): void => {
    const list = workersOf(membership.dissemination, clock.now());
    admission.setWorkers(list);
    const ids = new Set(list.map((worker) => worker.id));
    options.connections.retain(ids);
    options.metrics.retainWorkers(ids);
  };
  const inContact = (): boolean => isInContact(clock.now(), membership, reports);
  return {
    config: () => config,
    configVersion: () => configVersion,
    applyConfig,
    applyWorkers,
    hasWorkers: () => workersOf(membership.dissemination, clock.now()).some((worker) => !worker.leaving),
    gatewayCount: () => {
      const state = membership.state();
      return Math.max(1, state ? liveGateways(state).length : 1);
    },
    inContact,
    refreshIfStale: async () => {
      if (!membership.stale()) return true;
      options.count('refreshed');
      const refreshed = await membership.refresh();
      if (refreshed) {
        applyConfig();
        applyWorkers();
        reports.applyPeerLoads();
      }
      return refreshed;
    },
    checkStores: async () => {
      // A completed change proves that a majority answers.
      const { done } = registers.counts();
      storesReachable = done > previousChanges || (await registers.reachable());
      previousChanges = done;
    },
    storesReachable: () => storesReachable,
  };
};

/** Opens the cluster view of one gateway. */
export const clusterView = { open };
