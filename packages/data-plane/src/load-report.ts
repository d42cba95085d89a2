/**
 * The load reports between gateways (§4.4, §5.2): when this one publishes its load, and when it takes in what the
 * others have published, by the load exchange or by the news (§3.5).
 */
import type { GatewayMembership } from './gateway-membership.js';
import type { Rpc } from '@thornsail/rpc';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Admission, EdgeLoad } from './admission.js';
import { gatewayPeers } from './gateway-peers.js';
import { loadExchange, type LoadExchange, type ReceivedLoad } from './load-exchange.js';
import { directUpTo } from './load-paths.js';
import { loadPublisher } from './load-publisher.js';

/** One gateway's side of the load reports. */
export type LoadReport = {
  /** Something has changed here: the other gateways are told soon. */
  changed: () => void;
  /** Publishes what is new, and takes in what has aged. */
  tick: () => void;
  /** A program was taken over from another gateway; the others forget it. */
  tookOver: (program: string) => void;
  /** Takes in at once what the others have published. */
  takeIn: () => void;
  /** A load has come by the news: it is taken in soon, unless the gateway itself has sent it. */
  newsArrived: (gateway: string, mark: number) => void;
  /** When another gateway was heard of last, by the local clock; -Infinity if never. */
  lastHeardOf: (gateway: string) => Microseconds;
};
/** What the reports need of their gateway. */
export type LoadReportOptions = {
  clock: Clock;
  rpc: Rpc;
  membership: GatewayMembership;
  self: string;
  admission: () => Admission;
  /** The mark of the configuration in use. */
  configInUse: () => number;
};

/** Time between two loads; shorter while turns wait anywhere, since slots are scarce then. */
const pauseWhilePlenty = duration.ms(200);
const pauseWhileScarce = duration.ms(100);
/** What several gateways publish within this time is taken in together. */
const gatherTime = duration.ms(25);
/** The same where load comes in bundles, from many gateways: taking it in looks at all of them. */
const gatherTimeOfMany = duration.ms(50);
/** What has aged is taken in this often. */
const ageInterval = duration.ms(200);
/** Loads age out with their gateway: by the membership, or when nothing was heard of it for so long. */
const forgetAfter = duration.s(5);
/** Before the start, for the time of the first report. */
const longAgo = duration.ms(700);

const newsPrefix = 'load/';
const hasWaitingTurns = ({ load }: EdgeLoad): boolean => Object.keys(load.waiting).length > 0;

type Peers = {
  dissemination: GatewayMembership['dissemination'];
  received: LoadExchange['received'];
  liveIds: () => Set<string>;
  self: string;
};
/** The newest load of each other gateway, by whichever way it came; drops those of gateways that are gone or silent. */
const newestLoads = (
  { dissemination, received, liveIds, self }: Peers,
  now: Microseconds,
): Map<string, ReceivedLoad> => {
  const newest = new Map<string, ReceivedLoad>();
  for (const { name, item } of dissemination.withPrefix(newsPrefix))
    newest.set(name.slice(newsPrefix.length), {
      mark: item.version,
      at: item.receivedAt,
      load: item.value as EdgeLoad,
    });
  const live = liveIds();
  for (const [id, one] of received)
    if (!live.has(id) || now - one.at > forgetAfter) received.delete(id);
    else if (one.mark >= (newest.get(id)?.mark ?? -1)) newest.set(id, one);
  newest.delete(self);
  return newest;
};

/** Takes in the others' loads; `soon` gathers what comes within a short time. */
const openIntake = (
  { clock, admission }: LoadReportOptions,
  peers: () => Peers,
): { takeIn: () => void; soon: () => void; lastTakenIn: () => Microseconds } => {
  let lastTakenIn = -longAgo;
  let isGathering = false;
  const takeIn = (): void => {
    const now = clock.now();
    lastTakenIn = now;
    const fresh = [...newestLoads(peers(), now)].filter(([, { at }]) => now - at < forgetAfter);
    admission().setPeerLoads(fresh.map(([id, { load }]) => ({ ...load, id })));
  };
  const soon = (): void => {
    if (isGathering) return;
    isGathering = true;
    clock.schedule(peers().liveIds().size > directUpTo ? gatherTimeOfMany : gatherTime, () => {
      isGathering = false;
      takeIn();
    });
  };
  return { takeIn, soon, lastTakenIn: () => lastTakenIn };
};

/** Opens the load reports. */
export const loadReport = {
  open: (options: LoadReportOptions): LoadReport => {
    const { clock, rpc, membership, self, admission, configInUse } = options;
    const { dissemination } = membership;
    const gateways = gatewayPeers.open(membership, self);
    const liveIds = (): Set<string> => new Set(gateways().live.map(({ id }) => id));
    const pause = (): Microseconds => {
      const isScarce =
        admission().hasWaitingTurns() || [...exchange.received.values()].some(({ load }) => hasWaitingTurns(load));
      return isScarce ? pauseWhileScarce : pauseWhilePlenty;
    };
    const intake = openIntake(options, () => ({ dissemination, received: exchange.received, liveIds, self }));
    const paths = (): ReturnType<typeof gateways>['paths'] => gateways().paths;
    const exchange = loadExchange.open({ clock, rpc, me: self, paths, pause, onReceived: intake.soon });
    const firstPause = pauseWhilePlenty;
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
      tookOver: publisher.tookOver,
      takeIn: intake.takeIn,
      newsArrived: (gateway, mark) => {
        if (gateway !== self && (exchange.received.get(gateway)?.mark ?? -1) < mark) intake.soon();
      },
      lastHeardOf: (gateway) =>
        Math.max(
          exchange.received.get(gateway)?.at ?? -Infinity,
          dissemination.get(`${newsPrefix}${gateway}`)?.receivedAt ?? -Infinity,
        ),
      tick: () => {
        // What is gathered is taken in by itself; this is for what has aged.
        if (clock.now() - intake.lastTakenIn() >= ageInterval) intake.takeIn();
        publisher.publish();
      },
    };
  },
};
