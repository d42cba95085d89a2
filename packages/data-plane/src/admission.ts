/**
 * Admission control of a gateway (§4.4, §5.2): the admission scheduler decides when a turn is released, the load
 * balancer which worker's slot it gets. This module passes updates to both and applies their decisions.
 */
import { admissionScheduler, type TurnCompletion } from '@thornsail/admission-scheduler';
import type { Config } from '@thornsail/config-schema';
import { emptyLoad, loadBalancer, reportDelay, type LoadBalancer, type WorkerEntry } from '@thornsail/load-balancer';
import { duration, type Microseconds, type Runtime } from '@thornsail/runtime';
import { programTurns, type ProgramTurns } from './admission/program-turns.js';
import { optionsOf } from './admission/scheduler-options.js';
import { serviceTimes } from './admission/service-times.js';
import { schedulerTick } from './admission/scheduler-tick.js';
import { slotQueue } from './admission/slot-queue.js';
import type { Admission, GatewayLoad } from './admission/types.js';

export type { Admission, GatewayLoad, AdmissionResult, SlotResult, SlotOptions } from './admission/types.js';
export { optionsOf } from './admission/scheduler-options.js';

/** How long a worker that failed is not selected. */
const unhealthyTime = duration.s(1);

/** Replaces the scheduler: releases every turn at once, to the least loaded worker. */
const admitAtOnce: Admission['admitTurn'] = () => ({
  released: Promise.resolve({ type: 'released', worker: null, reason: 'ordinary', waited: 0 }),
  abandon: () => undefined,
});

/** Passes the load reports of the other gateways to the scheduler (§4.4). */
const updateSchedulerPeers = (turns: ProgramTurns, peers: GatewayLoad[]): void => {
  const tokensByWorker = new Map<string, number>();
  for (const peer of peers)
    for (const [worker, tokens] of Object.entries(peer.tokens))
      tokensByWorker.set(worker, (tokensByWorker.get(worker) ?? 0) + tokens);
  for (const peer of peers) for (const program of peer.took ?? []) turns.step({ type: 'program-moved', program });
  const gatewaysWithPaused = peers.filter((peer) => peer.paused > 0).length;
  const smallestPausedTokens = Math.min(Infinity, ...peers.map((peer) => peer.smallest ?? Infinity));
  turns.step({ type: 'peers-changed', peers: { tokensByWorker, gatewaysWithPaused, smallestPausedTokens } });
};

/** This gateway's load, as in the load message. */
const loadOf = (turns: ProgramTurns, balancer: LoadBalancer): Omit<GatewayLoad, 'took' | 'uses'> => {
  const { tokensByWorker, pausedPrograms, smallestPausedTokens } = admissionScheduler.load(turns.state);
  const exchanges = balancer.exchanges();
  return {
    load: balancer.load(),
    ...(Object.keys(exchanges).length > 0 ? { exchanges } : {}),
    tokens: tokensByWorker,
    paused: pausedPrograms,
    smallest: smallestPausedTokens,
  };
};

/** Options of a gateway's admission. */
export type AdmissionOptions = {
  runtime: Runtime;
  /** This gateway's ID. */
  self: string;
  /** Called when the number of running or waiting turns of this gateway has changed. */
  onChange: () => void;
  /** Disables the scheduler, as a baseline for comparisons: every turn is released at once. */
  withoutScheduler?: boolean;
  /** This gateway's zone; empty if it has none. */
  zone?: string;
};

/** The components of admission; `config` returns the configuration in use. */
const openComponents = (options: AdmissionOptions, config: () => Config | undefined) => {
  const { runtime, self, onChange, zone = '' } = options;
  const { clock } = runtime;
  const rotation = (): number => clock.wallTime() / reportDelay;
  const balancer = loadBalancer.open({ now: clock.now, self, rotation });
  const turns = programTurns.open(runtime);
  const tick = schedulerTick.open(runtime, turns, zone);
  const times = serviceTimes.open(config);
  const { expectedService } = times;
  const slots = slotQueue.open({ clock, balancer, config, expectedService, onChange });
  return { balancer, turns, tick, times, slots };
};

/** The operations that turns call: admission, slots, and observations of each turn. */
const turnCalls = ({ turns, slots, times }: ReturnType<typeof openComponents>, withoutScheduler: boolean) => ({
  admitTurn: withoutScheduler ? admitAtOnce : turns.admitTurn,
  knowsProgram: (program: string) => turns.state.programs.has(program),
  contextGrew: (program: string, tokens: number) => turns.step({ type: 'context-grew', program, tokens }),
  endTurn: (turn: string, completion: TurnCompletion) => turns.step({ type: 'turn-ended', turn, ...completion }),
  acquireSlot: slots.acquire,
  releaseSlot: (worker: string, className: string, took: Microseconds | null) => {
    slots.release(worker, className);
    if (took !== null) times.observeService(className, took);
    slots.serve();
  },
  expectedService: times.expectedService,
  estimatedDelay: times.estimatedDelay,
  observeCharge: times.observeCharge,
  observeFirstToken: times.observeFirstToken,
});

/** Opens the admission of a gateway. */
export const admission = {
  open: (options: AdmissionOptions): Admission => {
    const { clock } = options.runtime;
    let config: Config | undefined;
    let workers: WorkerEntry[] = [];
    const components = openComponents(options, () => config);
    const { balancer, turns, tick, slots } = components;
    return {
      ...turnCalls(components, options.withoutScheduler ?? false),
      markUnhealthy: (worker) => balancer.markUnhealthy(worker, clock.now() + unhealthyTime),
      recordExchange: (worker, succeeded) => {
        balancer.recordExchange(worker, succeeded);
        if (!succeeded) options.onChange();
      },
      ejected: balancer.ejected,
      worker: balancer.worker,
      setWorkers: (list) => {
        workers = list;
        balancer.setWorkers(workers);
        tick.setWorkers(workers);
        slots.serve();
      },
      hasWorkers: () => workers.some((worker) => !worker.leaving),
      setPeerLoads: (peers) => {
        balancer.setPeerLoads(peers.map(({ id, load }) => ({ id, load: load ?? emptyLoad() })));
        balancer.setPeerExchanges(peers.map(({ exchanges }) => exchanges ?? {}));
        updateSchedulerPeers(turns, peers);
        slots.serve();
      },
      setConfig: (next) => {
        config = next;
        balancer.setConfig(next);
        const options = optionsOf(next);
        turns.step({ type: 'options-changed', options });
        tick.setInterval(options.tickInterval);
        slots.serve();
      },
      load: () => loadOf(turns, balancer),
      runningAt: balancer.runningAt,
      heldTurns: () => turns.state.heldTurns.size,
      hasWaitingTurns: slots.hasWaitingTurns,
      counts: () => ({ ...turns.state.counts, ...slots.counts }),
      state: () => turns.state,
      close: () => {
        slots.close();
        turns.close();
        tick.close();
      },
    };
  },
};
