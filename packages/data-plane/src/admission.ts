/**
 * Admission of this gateway (§4.4, §5.2): the program scheduler decides when a turn goes, the load balancer which
 * worker has a slot for it; this part gives both what they need to know and carries out what they say.
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
import type { Admission, EdgeLoad } from './admission/types.js';

export type { Admission, EdgeLoad, Released, Slot, SlotOptions } from './admission/types.js';
export { optionsOf } from './admission/scheduler-options.js';

/** How long a worker that failed is passed by. */
const unhealthyFor = duration.s(1);

/** Without the scheduler every turn is released at once, to the least loaded worker. */
const admitAtOnce: Admission['admitTurn'] = () => ({
  released: Promise.resolve({ type: 'released', worker: null, reason: 'ordinary', waited: 0 }),
  abandon: () => undefined,
});

/** Tells the scheduler what the other gateways report (§4.4). */
const takePeerLoads = (turns: ProgramTurns, peers: EdgeLoad[]): void => {
  const tokensByWorker = new Map<string, number>();
  for (const peer of peers)
    for (const [worker, tokens] of Object.entries(peer.tokens))
      tokensByWorker.set(worker, (tokensByWorker.get(worker) ?? 0) + tokens);
  for (const peer of peers) for (const program of peer.took ?? []) turns.step({ type: 'program-moved', program });
  const gatewaysWithPaused = peers.filter((peer) => peer.paused > 0).length;
  const smallestPausedTokens = Math.min(Infinity, ...peers.map((peer) => peer.smallest ?? Infinity));
  turns.step({ type: 'peers-changed', peers: { tokensByWorker, gatewaysWithPaused, smallestPausedTokens } });
};

/** This gateway's load in the form of the load update. */
const loadOf = (turns: ProgramTurns, balancer: LoadBalancer): Omit<EdgeLoad, 'took' | 'uses'> => {
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

/** What a gateway's admission is opened with. */
export type AdmissionOptions = {
  runtime: Runtime;
  /** This gateway's id. */
  self: string;
  /** Called when what runs or waits at this gateway has changed. */
  onChange: () => void;
  /** Leaves the scheduler out, to measure against: every turn is released at once. */
  withoutScheduler?: boolean;
  /** This gateway's zone; empty if it has none. */
  zone?: string;
};

/** The parts of admission; `config` gives the configuration in use. */
const openParts = (options: AdmissionOptions, config: () => Config | undefined) => {
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

/** What turns call: admission proper, and what is learnt from each turn. */
const turnCalls = ({ turns, slots, times }: ReturnType<typeof openParts>, withoutScheduler: boolean) => ({
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
  likelyDelay: times.likelyDelay,
  observeCharge: times.observeCharge,
  observeFirstToken: times.observeFirstToken,
});

/** Opens admission. */
export const admission = {
  open: (options: AdmissionOptions): Admission => {
    const { clock } = options.runtime;
    let config: Config | undefined;
    let workers: WorkerEntry[] = [];
    const parts = openParts(options, () => config);
    const { balancer, turns, tick, slots } = parts;
    return {
      ...turnCalls(parts, options.withoutScheduler ?? false),
      markUnhealthy: (worker) => balancer.markUnhealthy(worker, clock.now() + unhealthyFor),
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
        takePeerLoads(turns, peers);
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
