/**
 * What this gateway knows of the cluster (§3.7, §7.2): the configuration in use, the workers, whether it is in contact
 * with the others and with a majority of stores.
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

/** Operations on what is known. Those that take something over pass it on to admission and to the connections. */
export type ClusterView = {
  /** Undefined before the first configuration. */
  config: () => Config | undefined;
  /** 0 before the first configuration. */
  configVersion: () => number;
  takeConfig: () => void;
  takeWorkers: () => void;
  hasWorkers: () => boolean;
  /** How many gateways are live, at least 1. */
  gatewayCount: () => number;
  /**
   * Whether a configuration that the control plane has acknowledged is sure to be in use here (§7.2): the leader was
   * heard of lately, or more than half of the gateways, without which it acknowledges nothing.
   */
  inContact: () => boolean;
  /** After a freeze nothing is dispatched on an old membership (§3.7). False: it could not be refreshed. */
  refreshIfStale: () => Promise<boolean>;
  /** Finds out whether a majority of stores answers. */
  checkStores: () => Promise<void>;
  storesReachable: () => boolean;
};

/** A gateway that has heard neither of the leader nor of most gateways for so long takes nothing new (§7.2). */
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
  const isHeard = (id: string): boolean => id === membership.id || now - reports.lastHeardOf(id) < contactTimeout;
  return gateways.filter((node) => isHeard(node.id)).length * 2 > gateways.length;
};

const open = (options: Options): ClusterView => {
  const { membership, registers, admission, reports } = options;
  const { clock } = options.runtime;
  const log = options.runtime.log('data-plane');
  let config: Config | undefined;
  let configVersion = 0;
  let storesReachable = false;
  let changesBefore = 0;

  const takeConfig = (): void => {
    const state = membership.state();
    if (!state || state.config.value === null || state.config.mark <= configVersion) return;
    invariant.hold(state.config.mark > configVersion, 'the configuration slipped back');
    configVersion = state.config.mark;
    config = state.config.value;
    admission.setConfig(config);
    log(`configuration ${configVersion} is in use.`);
    reports.changed();
  };
  const takeWorkers = (): void => {
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
    takeConfig,
    takeWorkers,
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
        takeConfig();
        takeWorkers();
        reports.takeIn();
      }
      return refreshed;
    },
    checkStores: async () => {
      // Changes that a majority took are proof enough.
      const { done } = registers.counts();
      storesReachable = done > changesBefore || (await registers.reachable());
      changesBefore = done;
    },
    storesReachable: () => storesReachable,
  };
};

/** Opens the view of one gateway. */
export const clusterView = { open };
