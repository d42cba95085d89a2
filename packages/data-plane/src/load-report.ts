/**
 * Load reports between gateways (§4.4, §5.2): schedules the publication of this gateway's load, and passes the loads of
 * the others, received by the load exchange or by dissemination (§3.5), to admission.
 */
import type { GatewayMembership } from './gateway-membership.js';
import type { Rpc } from '@thornsail/rpc';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Admission, GatewayLoad } from './admission.js';
import { gatewayPeers } from './gateway-peers.js';
import { loadExchange, type LoadExchange, type ReceivedLoad } from './load-exchange.js';
import { maxDirectGateways } from './load-paths.js';
import { loadPublisher } from './load-publisher.js';

/** One gateway's side of the load reports. */
export type LoadReport = {
  /** This gateway's load has changed: it is published soon. */
  changed: () => void;
  /** Publishes the load if it has changed, and re-evaluates the others' loads, since they expire. */
  tick: () => void;
  /** A program was taken over from another gateway: the load lists it, so that the other one drops its state. */
  recordTakeover: (program: string) => void;
  /** Passes the newest loads of the other gateways to admission at once. */
  applyPeerLoads: () => void;
  /** A load of version `mark` has arrived by dissemination: applied soon, unless the exchange delivered it before. */
  disseminatedLoadReceived: (gateway: string, mark: number) => void;
  /** When a load of another gateway last arrived, by the local clock; -Infinity if never. */
  lastReceivedAt: (gateway: string) => Microseconds;
};
/** What the load reports need from their gateway. */
export type LoadReportOptions = {
  clock: Clock;
  rpc: Rpc;
  membership: GatewayMembership;
  self: string;
  admission: () => Admission;
  /** Version of the configuration in use. */
  configInUse: () => number;
};

/** Minimum time between two loads; shorter while turns wait at any gateway, since slots are scarce then. */
const pauseWithoutWaiting = duration.ms(200);
const pauseWhileWaiting = duration.ms(100);
/** Loads that arrive within this time are applied together. */
const batchTime = duration.ms(25);
/** The same for many gateways, whose loads arrive in bundles: longer, since applying them iterates over all loads. */
const largeBatchTime = duration.ms(50);
/** Interval at which loads are applied again, so that expired ones are dropped. */
const expiryInterval = duration.ms(200);
/** A load expires when nothing newer has arrived for this long, or when the membership removes its gateway. */
const loadLifetime = duration.s(5);
/** Before the start, loads count as applied this long ago. */
const initialAge = duration.ms(700);

const loadPrefix = 'load/';
const hasWaitingTurns = ({ load }: GatewayLoad): boolean => Object.keys(load.waiting).length > 0;

type Peers = {
  dissemination: GatewayMembership['dissemination'];
  received: LoadExchange['received'];
  liveIds: () => Set<string>;
  self: string;
};
/** The newest load of each other gateway, from either channel; drops loads of gateways that are dead or silent. */
const newestLoads = (
  { dissemination, received, liveIds, self }: Peers,
  now: Microseconds,
): Map<string, ReceivedLoad> => {
  const newest = new Map<string, ReceivedLoad>();
  for (const { name, item } of dissemination.withPrefix(loadPrefix))
    newest.set(name.slice(loadPrefix.length), {
      mark: item.version,
      at: item.receivedAt,
      load: item.value as GatewayLoad,
    });
  const live = liveIds();
  for (const [id, load] of received)
    if (!live.has(id) || now - load.at > loadLifetime) received.delete(id);
    else if (load.mark >= (newest.get(id)?.mark ?? -1)) newest.set(id, load);
  newest.delete(self);
  return newest;
};

/** Passes the others' loads to admission; `applySoon` batches loads that arrive within a short time. */
const openPeerLoads = (
  { clock, admission }: LoadReportOptions,
  peers: () => Peers,
): { apply: () => void; applySoon: () => void; lastApplied: () => Microseconds } => {
  let lastApplied = -initialAge;
  let isScheduled = false;
  const apply = (): void => {
    const now = clock.now();
    lastApplied = now;
    const fresh = [...newestLoads(peers(), now)].filter(([, { at }]) => now - at < loadLifetime);
    admission().setPeerLoads(fresh.map(([id, { load }]) => ({ ...load, id })));
  };
  const applySoon = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    clock.schedule(peers().liveIds().size > maxDirectGateways ? largeBatchTime : batchTime, () => {
      isScheduled = false;
      apply();
    });
  };
  return { apply, applySoon, lastApplied: () => lastApplied };
};

/** Opens the load reports. */
export const loadReport = {
  open: (options: LoadReportOptions): LoadReport => {
    const { clock, rpc, membership, self, admission, configInUse } = options;
    const { dissemination } = membership;
    const gateways = gatewayPeers.open(membership, self);
    const liveIds = (): Set<string> => new Set(gateways().live.map(({ id }) => id));
    const pause = (): Microseconds => {
      const areTurnsWaiting =
        admission().hasWaitingTurns() || [...exchange.received.values()].some(({ load }) => hasWaitingTurns(load));
      return areTurnsWaiting ? pauseWhileWaiting : pauseWithoutWaiting;
    };
    const peerLoads = openPeerLoads(options, () => ({ dissemination, received: exchange.received, liveIds, self }));
    const paths = (): ReturnType<typeof gateways>['paths'] => gateways().paths;
    const exchange = loadExchange.open({ clock, rpc, self, paths, pause, onReceived: peerLoads.applySoon });
    const firstPause = pauseWithoutWaiting;
    const publisher = loadPublisher.open({
      clock,
      dissemination,
      exchange,
      self,
      admission,
      configInUse,
      pause,
      firstPause,
    });
    return {
      changed: publisher.changed,
      recordTakeover: publisher.recordTakeover,
      applyPeerLoads: peerLoads.apply,
      disseminatedLoadReceived: (gateway, mark) => {
        if (gateway !== self && (exchange.received.get(gateway)?.mark ?? -1) < mark) peerLoads.applySoon();
      },
      lastReceivedAt: (gateway) =>
        Math.max(
          exchange.received.get(gateway)?.at ?? -Infinity,
          dissemination.get(`${loadPrefix}${gateway}`)?.receivedAt ?? -Infinity,
        ),
      tick: () => {
        // New loads are applied as they arrive; this drops expired ones.
        if (clock.now() - peerLoads.lastApplied() >= expiryInterval) peerLoads.apply();
        publisher.publish();
      },
    };
  },
};
