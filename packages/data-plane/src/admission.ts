// Admission of this edge: admission scheduler decides for programs, load balancer for slots; this part carries out
// what they say
// (§4.4, §5.2).
import {
  loadBalancer,
  formats,
  emptyLoad,
  reportDelay,
  serviceOfWorker,
  type LoadBalancer,
  type Load,
  type WorkerEntry,
} from '@thornsail/load-balancer';
import { serviceOf, type Config } from '@thornsail/config-schema';
import { time, duration, readText, type Runtime, type Cancel, type Microseconds } from '@thornsail/runtime';
import { likely, type Likely } from './likely.js';
import {
  admissionScheduler,
  type RejectionReason,
  type ReleaseReason,
  type SchedulerCounts,
  type SchedulerEffect,
  type SchedulerEvent,
  type SchedulerOptions,
  type SchedulerState,
  type TurnArrival,
  type TurnCompletion,
} from '@thornsail/admission-scheduler';

export type EdgeLoad = {
  load: Load;
  tokens: Record<string, number>;
  paused: number;
  smallest: number | null;
  took: string[];
  /** The mark of the configuration in use here. */
  uses: number;
};
export type Released =
  | { ok: true; worker: string | null; why: ReleaseReason; waited: Microseconds }
  | { ok: false; why: RejectionReason | 'gone' };
export type Slot = { ok: true; worker: WorkerEntry } | { ok: false; why: 'full' | 'late' | 'gone' | 'none' };
type Wait = {
  hint: string | null;
  warm: boolean;
  not: ReadonlySet<string>;
  service?: string;
  done: (s: Slot) => void;
  until: Microseconds;
};

export type Admission = {
  turn: (e: TurnArrival, onHold: () => void) => { released: Promise<Released>; gone: () => void };
  knows: (program: string) => boolean;
  grow: (program: string, tokens: number) => void;
  end: (turn: string, e: TurnCompletion) => void;
  slot: (
    cls: string,
    o: {
      hint: string | null;
      /** The hint has the turn's context (§5.2). */
      warm?: boolean;
      not: ReadonlySet<string>;
      force: boolean;
      limit: Microseconds;
      service?: string;
    },
  ) => { got: Promise<Slot>; gone: () => void };
  leave: (worker: string, cls: string, took: Microseconds | null) => void;
  expected: (cls: string) => Microseconds;
  /** What charging and a class's first token are likely to take: a mean and four times its spread (§4.3). */
  ahead: (cls: string, forced?: boolean) => Microseconds;
  sawCharge: (took: Microseconds) => void;
  sawFirst: (cls: string, took: Microseconds, forced: boolean) => void;
  bad: (worker: string) => void;
  worker: (id: string) => WorkerEntry | undefined;
  workers: (list: WorkerEntry[]) => void;
  /** Whether any worker takes requests. */
  hasWorkers: () => boolean;
  siblings: (l: (EdgeLoad & { id: string })[]) => void;
  config: (c: Config) => void;
  /** Turns that run at a worker, at all edges as far as this one has heard. */
  runningAt: (worker: string) => number;
  load: () => Omit<EdgeLoad, 'took' | 'uses'>;
  held: () => number;
  /** Whether any turn waits for a slot here. */
  waits: () => boolean;
  counts: () => SchedulerCounts & { slotWaits: number; slotRejects: number };
  state: () => SchedulerState;
  close: () => void;
};

export const optionsOf = (c: Config): SchedulerOptions => {
  const s = c.scheduler;
  return {
    pauseThreshold: s.pauseThreshold,
    pauseTarget: s.pauseTarget,
    resumeHysteresis: s.resumeHysteresis,
    resumeTimeout: duration.s(s.resumeTimeoutSeconds),
    idleRetention: duration.s(s.retentionSeconds),
    tickInterval: duration.s(s.intervalSeconds),
    actingTokenWeight: s.actingTokenWeight,
    actingHalfLife: duration.s(s.actingDecaySeconds),
    headroomTokens: s.headroomTokens,
    maxTurns: s.maxTurns,
    maxPrograms: s.maxPrograms,
    holdLimit: duration.ms(s.holdLimitMs),
    resumeOnRoom: s.resumeOnRoom,
    localPreference: s.localPreference,
  };
};

export const admission = {
  /** `plain` leaves admission scheduler out, to measure against: every turn goes to the least loaded worker at once. */
  /** `changed` is told when what runs or waits at this edge has changed. */
  open: (runtime: Runtime, me: string, changed: () => void, plain = false, zone = ''): Admission => {
    const { clock } = runtime;
    const log = runtime.log('admission');
    const st = admissionScheduler.open(admissionScheduler.defaults());
    const balancer: LoadBalancer = loadBalancer.open({
      now: clock.now,
      self: me,
      rotation: () => Math.floor(clock.wall() / reportDelay),
    });
    const take = (worker: string, cls: string): void => {
      balancer.acquire(worker, cls);
      changed();
    };
    const wait = (cls: string, by: 1 | -1): void => {
      if (by > 0) balancer.enqueue(cls);
      else balancer.dequeue(cls);
      changed();
    };
    const waiting = new Map<string, (r: Released) => void>();
    const capacity = new Map<string, number>();
    let config: Config | undefined;
    let list: WorkerEntry[] = [];
    let closed = false;
    const c = { slotWaits: 0, slotRejects: 0 };

    const apply = (effects: SchedulerEffect[]): void => {
      for (const e of effects) {
        if (e.type === 'turn-released') {
          if (e.reason !== 'ordinary') log(`${e.reason} ${e.program} after ${duration.toMs(e.waited)} ms.`);
          waiting.get(e.turn)?.({ ok: true, worker: e.worker, why: e.reason, waited: e.waited });
          waiting.delete(e.turn);
        } else if (e.type === 'turn-rejected') {
          waiting.get(e.turn)?.({ ok: false, why: e.reason });
          waiting.delete(e.turn);
        } else if (e.type === 'program-paused') log(`paused ${e.program} at ${e.worker}.`);
        else if (e.type === 'program-marked') log(`marked ${e.program} at ${e.worker}.`);
      }
      arm();
    };
    const step = (e: SchedulerEvent): void => apply(admissionScheduler.step(st, e, clock.now()).effects);
    let armedAt = Infinity;
    let disarm: Cancel = () => undefined;
    const arm = (): void => {
      const at = admissionScheduler.nextForcedRelease(st);
      if (at === undefined || closed || at >= armedAt) return;
      disarm();
      armedAt = at;
      disarm = clock.schedule(Math.max(0, at - clock.now()), () => {
        armedAt = Infinity;
        step({ type: 'forced-release-due' });
      });
    };

    const giveWorkers = (): void =>
      step({
        type: 'workers-changed',
        workers: list
          .filter((w) => w.kind === 'model')
          .map((w) => ({
            id: w.id,
            capacity: w.cacheTokens ?? capacity.get(w.id) ?? 0,
            eligible: !w.leaving,
            near: zone !== '' && w.zone === zone,
          })),
      });
    const measure = async (some: WorkerEntry[]): Promise<void> => {
      await Promise.all(
        some
          .filter((w) => w.kind === 'model' && w.cacheTokens === undefined)
          .map(async (w) => {
            try {
              const r = await runtime.net.call({
                at: w.at,
                method: 'GET',
                path: formats.report.path,
                timeLeft: duration.ms(800),
                silence: duration.ms(800),
              });
              const n = formats.report.capacity(await readText(r.body));
              if (n !== undefined) capacity.set(w.id, n);
            } catch {
              /* The last known capacity stands. */
            }
          }),
      );
    };
    const tick = async (): Promise<void> => {
      await measure(list);
      if (closed) return;
      giveWorkers();
      step({ type: 'tick' });
    };
    let stopTick: Cancel = () => undefined;
    let interval = 0;

    const buffers = new Map<string, Wait[]>();
    /** Since when turns of a class have been waiting here. */
    const hungrySince = new Map<string, Microseconds>();
    const emptied = (cls: string): void => {
      buffers.delete(cls);
      hungrySince.delete(cls);
    };
    const service = new Map<string, Microseconds>();
    const firsts = new Map<string, Likely>();
    const forcedFirsts = new Map<string, Likely>();
    const firstGuess = likely.open(duration.ms(150));
    const charges = likely.open(duration.ms(10));
    const expected = (cls: string): Microseconds =>
      service.get(cls) ?? duration.ms(config?.classes[cls]?.expectedMs ?? 300);
    const pump = (): void => {
      const now = clock.now();
      // Urgent classes first, then in the order of configuration.
      const order = [...buffers.keys()].sort(
        (a, b) => Number(config?.classes[b]?.urgent ?? false) - Number(config?.classes[a]?.urgent ?? false),
      );
      for (const cls of order) {
        const q = buffers.get(cls)!;
        while (q.length) {
          const w = q[0]!;
          const late = w.until <= now;
          const hungry = now - (hungrySince.get(cls) ?? now);
          const of = w.service === undefined ? {} : { service: w.service };
          const got = late
            ? null
            : balancer.select(cls, {
                preferred: w.hint,
                preferredHasContext: w.warm,
                excluded: w.not,
                waitedFor: hungry,
                ...of,
              });
          if (!late && !got) break;
          q.shift();
          wait(cls, -1);
          if (got) {
            take(got.id, cls);
            w.done({ ok: true, worker: got });
          } else {
            c.slotRejects += 1;
            w.done({ ok: false, why: 'late' });
          }
        }
        if (q.length === 0) emptied(cls);
      }
    };
    let pumping = false;
    /** While turns wait, they are looked at again and again; nothing ticks while none do. */
    const keepPumping = (): void => {
      if (pumping || closed) return;
      pumping = true;
      clock.schedule(duration.ms(20), () => {
        pumping = false;
        if (closed || buffers.size === 0) return;
        pump();
        if (buffers.size) keepPumping();
      });
    };

    return {
      turn: (e, onHold) => {
        if (plain)
          return {
            released: Promise.resolve<Released>({ ok: true, worker: null, why: 'ordinary', waited: 0 }),
            gone: () => undefined,
          };
        let done: (r: Released) => void = () => undefined;
        const released = new Promise<Released>((fin) => {
          done = fin;
        });
        waiting.set(e.turn, done);
        step({ type: 'turn-arrived', ...e });
        if (waiting.has(e.turn)) onHold();
        return {
          released,
          gone: () => {
            if (!waiting.delete(e.turn)) return;
            step({ type: 'turn-abandoned', turn: e.turn });
            done({ ok: false, why: 'gone' });
          },
        };
      },
      knows: (program) => st.programs.has(program),
      grow: (program, tokens) => step({ type: 'context-grew', program, tokens }),
      end: (turn, e) => step({ type: 'turn-ended', turn, ...e }),
      slot: (cls, o) => {
        const of = o.service === undefined ? {} : { service: o.service };
        const warm = o.warm ?? false;
        const got = balancer.select(cls, {
          preferred: o.hint,
          preferredHasContext: warm,
          excluded: o.not,
          force: o.force,
          ...of,
        });
        const none = { gone: () => undefined };
        const q = buffers.get(cls) ?? [];
        if (got && (o.force || q.length === 0)) {
          take(got.id, cls);
          return { got: Promise.resolve<Slot>({ ok: true, worker: got }), ...none };
        }
        const own = config?.classes[cls];
        const service = o.service ?? (own && serviceOf(own));
        if (!balancer.workers().some((w) => serviceOfWorker(w) === service && !w.leaving && !o.not.has(w.id)))
          return { got: Promise.resolve<Slot>({ ok: false, why: 'none' }), ...none };
        // Early rejection: what cannot be had in time is said at once, not at the end of the wait (§4.3).
        // What waits at the other edges wants the same slots.
        const ahead = (balancer.waiting(cls) + 1) / Math.max(1, balancer.fairShare(cls));
        if (q.length >= (config?.classes[cls]?.buffer ?? 0) || o.limit <= 0 || ahead * expected(cls) > o.limit) {
          c.slotRejects += 1;
          return { got: Promise.resolve<Slot>({ ok: false, why: 'full' }), ...none };
        }
        c.slotWaits += 1;
        let done: (s: Slot) => void = () => undefined;
        const p = new Promise<Slot>((fin) => {
          done = fin;
        });
        const w: Wait = { hint: o.hint, warm, not: o.not, ...of, done, until: clock.now() + o.limit };
        buffers.set(cls, [...q, w]);
        keepPumping();
        if (!hungrySince.has(cls)) hungrySince.set(cls, clock.now());
        wait(cls, 1);
        return {
          got: p,
          gone: () => {
            const all = buffers.get(cls);
            const i = all?.indexOf(w) ?? -1;
            if (!all || i < 0) return;
            all.splice(i, 1);
            if (all.length === 0) emptied(cls);
            wait(cls, -1);
            done({ ok: false, why: 'gone' });
          },
        };
      },
      leave: (worker, cls, took) => {
        balancer.release(worker, cls);
        changed();
        if (took !== null) service.set(cls, Math.round(expected(cls) * 0.8 + took * 0.2));
        pump();
      },
      expected,
      ahead: (cls, forced = false) => {
        const usual = (firsts.get(cls) ?? firstGuess).likely();
        // A forced turn goes to a worker that is full: it waits there for about a turn to end.
        const full = forced ? (forcedFirsts.get(cls)?.likely() ?? expected(cls)) : 0;
        return Math.max(usual, full) + charges.likely();
      },
      sawCharge: (took) => charges.saw(took),
      sawFirst: (cls, took, forced) => {
        const all = forced ? forcedFirsts : firsts;
        const f = all.get(cls) ?? likely.open(forced ? expected(cls) : took);
        all.set(cls, f);
        f.saw(took);
      },
      hasWorkers: () => list.some((w) => !w.leaving),
      bad: (worker) => balancer.markUnhealthy(worker, clock.now() + duration.s(1)),
      worker: (id) => balancer.worker(id),
      workers: (l) => {
        const fresh = l.filter((w) => !capacity.has(w.id));
        list = l;
        balancer.setWorkers(l);
        giveWorkers();
        if (fresh.length)
          void measure(fresh).then(() => {
            if (!closed) giveWorkers();
          });
        pump();
      },
      siblings: (l) => {
        const tokens = new Map<string, number>();
        for (const e of l) for (const [w, n] of Object.entries(e.tokens)) tokens.set(w, (tokens.get(w) ?? 0) + n);
        balancer.setPeerLoads(l.map((e) => ({ id: e.id, load: e.load ?? emptyLoad() })));
        for (const e of l) for (const program of e.took ?? []) step({ type: 'program-moved', program });
        step({
          type: 'peers-changed',
          peers: {
            tokensByWorker: tokens,
            gatewaysWithPaused: l.filter((e) => e.paused > 0).length,
            smallestPausedTokens: Math.min(Infinity, ...l.map((e) => e.smallest ?? Infinity)),
          },
        });
        pump();
      },
      config: (cfg) => {
        config = cfg;
        balancer.setConfig(cfg);
        const options = optionsOf(cfg);
        step({ type: 'options-changed', options });
        if (options.tickInterval !== interval) {
          interval = options.tickInterval;
          stopTick();
          stopTick = time.every(clock, interval, tick);
        }
        pump();
      },
      load: () => {
        const { tokensByWorker, pausedPrograms, smallestPausedTokens } = admissionScheduler.load(st);
        return {
          load: balancer.load(),
          tokens: tokensByWorker,
          paused: pausedPrograms,
          smallest: smallestPausedTokens,
        };
      },
      runningAt: balancer.runningAt,
      held: () => st.heldTurns.size,
      waits: () => buffers.size > 0,
      counts: () => ({ ...st.counts, ...c }),
      state: () => st,
      close: () => {
        closed = true;
        disarm();
        stopTick();
      },
    };
  },
};
