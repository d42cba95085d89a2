// data plane: the data plane that a gateway embeds (§5): plans a request, then carries the plan out.
import type { Dissemination } from '@thornsail/dissemination';
import type { WorkerEntry } from '@thornsail/load-balancer';
import type { Config } from '@thornsail/config-schema';
import {
  fault,
  invariant,
  time,
  duration,
  type HttpRequest,
  type HttpHandler,
  type HttpResponseWriter,
  type Runtime,
  type Microseconds,
} from '@thornsail/runtime';
import { registers, type Registers } from '@thornsail/register-store';
import type { Membership } from '@thornsail/membership';
import { validate, type Rpc } from '@thornsail/rpc';
import { admission, type Admission } from './admission.js';
import { turnRecords, maxTurn } from './turn-records.js';
import { chat } from './chat.js';
import type { Edge } from './edge.js';
import { errors } from './errors.js';
import { connections } from './forward/connections.js';
import type { Dialect } from './forward/dialect.js';
import { forward, type Forwarding } from './forward/forward.js';
import { kept } from './forward/kept.js';
import { refused } from './forward/plan.js';
import { job } from './job.js';
import { plan as plans } from './plan.js';
import { report } from './report.js';
import { saying } from './say.js';

export type { EdgeLoad } from './admission.js';
export { loadPaths, type EdgePeer, type LoadPaths } from './load-paths.js';
export { optionsOf } from './admission.js';
export { plan, type Plan } from './plan.js';
export { dialect, type Dialect, type HeaderNames } from './forward/dialect.js';
/** What the platform's list looks like in the news: one item for each agent that reads it. */
export type WorkersNews = { list: WorkerEntry[] };

/** How a gateway leaves (§5.10): what it still takes, and when it ends at the latest. */
export type Drain = { acceptFor?: Microseconds; within?: Microseconds };
export type DataPlane = {
  handle: HttpHandler;
  /** Passes on, unread, what comes in a dialect's words (§5.7). */
  forward: (d: Dialect) => HttpHandler;
  ready: () => { ok: boolean; why: string[] };
  /** Takes requests for `acceptFor` more, while callers are led elsewhere; resolves when all are answered. */
  drain: (o?: Drain) => Promise<void>;
  /** What callers may send, by the configuration in use; undefined before the first. */
  limits: () => Config['limits'] | undefined;
  counts: () => Record<string, number>;
  admission: Admission;
  registers: Registers;
  close: () => void;
};

/** A gateway that has heard neither of the core nor of most gateways for so long takes nothing new (§7.2). */
const touchWithin = duration.s(2);
/** How long a request may wait at a gateway that does not know the fleet yet. */
const holdAtStart = duration.ms(1500);
/** It waits for no longer than this part of its client's time, so that another gateway may serve it in the rest. */
const holdAtStartPart = 0.5;
/** Retries within the system: so many at once, one more each second (§5.4). */
const retryBudget = 10;

/** The workers as the news has them: the newest list, and leaving wherever any fresh list says so (§3.8). */
export const workersOf = (dissemination: Dissemination, now: Microseconds): WorkerEntry[] => {
  const items = dissemination
    .all('workers/')
    .map((x) => ({ name: x.name, at: x.item.at, list: (x.item.value as WorkersNews).list }));
  if (items.length === 0) return [];
  const fresh = items.filter((x) => now - x.at < duration.s(4));
  const newest = [...items].sort((a, b) => b.at - a.at)[0]!;
  const leaving = new Set(fresh.flatMap((x) => x.list.filter((w) => w.leaving).map((w) => w.id)));
  return newest.list.map((w) => ({ ...w, leaving: w.leaving || leaving.has(w.id) }));
};

export const dataPlane = {
  open: (o: { runtime: Runtime; rpc: Rpc; membership: Membership; plain?: boolean; zone?: string }): DataPlane => {
    const { runtime, rpc, membership } = o;
    const { clock } = runtime;
    const log = runtime.log('data-plane');
    const me = membership.id;
    const reports = report.open({ clock, rpc, membership, me, adm: () => adm, uses: () => configMark });
    const adm: Admission = admission.open({
      runtime,
      self: me,
      onChange: reports.changed,
      withoutScheduler: o.plain ?? false,
      zone: o.zone ?? '',
    });
    const regs = registers.open({
      runtime,
      rpc,
      by: me,
      group: () => {
        const k = membership.state()?.storeGroup;
        return k && k.mark > 0 ? { version: k.mark, members: k.members } : undefined;
      },
    });
    const c: Record<string, number> = {
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
    const bump = (k: string): void => {
      c[k] = (c[k] ?? 0) + 1;
    };
    const inFlight = new Set<string>();
    let leaving = false;
    let draining = false;
    /** Requests whose handler has not ended yet: not all of them are in flight already, or still. */
    let answering = 0;
    let closed = false;
    let config: Config | undefined;
    let configMark = 0;
    let storesOk = false;
    let doneBefore = 0;
    let retries = retryBudget;
    const out = saying.open({ rand: runtime.rand, bump });
    rpc.on<{ turn: string }>('turn.open', validate.object({ turn: validate.string }), ({ turn }) => inFlight.has(turn));
    const records = turnRecords.open({
      runtime,
      registers: regs,
      me,
      inFlight,
      limits: () => config!.limits,
      deadFor: (id) => membership.deadFor(id),
    });

    const takeState = (): void => {
      const s = membership.state();
      if (!s || s.config.value === null || s.config.mark <= configMark) return;
      invariant.hold(s.config.mark > configMark, 'the configuration slipped back');
      configMark = s.config.mark;
      config = s.config.value;
      adm.setConfig(config);
      log(`configuration ${configMark} is in use.`);
      reports.changed();
    };
    const takeWorkers = (): void => {
      const list = workersOf(membership.dissemination, clock.now());
      adm.setWorkers(list);
      pool.retain(new Set(list.map((w) => w.id)));
    };
    membership.onState(takeState);
    membership.dissemination.onUpdate(({ name, version }) => {
      if (name.startsWith('workers/')) takeWorkers();
      if (name.startsWith('load/')) reports.told(name.slice(5), version);
    });
    const stops = [
      time.every(clock, duration.ms(250), () => {
        takeState();
        reports.tick();
        retries = Math.min(retryBudget, retries + 0.25);
      }),
      time.every(clock, duration.ms(500), async () => {
        // Changes that a majority took are proof enough.
        const done = regs.counts().done;
        storesOk = done > doneBefore || (await regs.reachable());
        doneBefore = done;
        takeWorkers();
      }),
    ];

    const ready = (): { ok: boolean; why: string[] } => {
      const why: string[] = [];
      if (leaving) why.push('leaving');
      if (!config) why.push('no configuration');
      if (!workersOf(membership.dissemination, clock.now()).some((w) => !w.leaving)) why.push('no workers');
      if (!storesOk) why.push('no store majority');
      if (!inTouch()) why.push('cut off from most others');
      return { ok: why.length === 0, why };
    };

    /**
     * Whether a configuration that the core has acknowledged is sure to be in use here (§7.2): the core was heard of
     * lately, or more than half of the gateways, without which the core acknowledges nothing.
     */
    const inTouch = (): boolean => {
      const fresh = (name: string): boolean =>
        clock.now() - (membership.dissemination.get(name)?.at ?? -touchWithin) < touchWithin;
      const s = membership.state();
      if (!s || fresh('core')) return true;
      const gateways = Object.values(s.nodes).filter((n) => n.role === 'gateway' && n.status === 'live');
      const heard = (id: string): boolean => clock.now() - reports.heardOf(id) < touchWithin;
      return gateways.filter((n) => n.id === me || heard(n.id)).length * 2 > gateways.length;
    };
    /** After a freeze nothing is dispatched on old news (§3.7). */
    const freshen = async (): Promise<boolean> => {
      if (!membership.stale()) return true;
      bump('refreshed');
      const ok = await membership.refresh();
      if (ok) {
        takeState();
        takeWorkers();
        reports.heard();
      }
      return ok;
    };

    const edge: Edge = {
      runtime,
      me,
      membership,
      adm,
      say: out,
      bump,
      inFlight,
      freshen,
      turnRecords: records,
      config: () => config!,
      mayRetry: () => {
        if (retries < 1) return false;
        retries -= 1;
        return true;
      },
      tookOver: reports.tookOver,
      askOpen: (at, turn) => rpc.request<boolean>(at, 'turn.open', { turn }, duration.ms(300)),
    };
    const pool = connections.open({ clock, net: runtime.net });
    const turns = kept.open({ clock, registers: regs });
    const gateways = (): number => {
      const s = membership.state();
      return Math.max(
        1,
        s ? Object.values(s.nodes).filter((n) => n.role === 'gateway' && n.status === 'live').length : 1,
      );
    };
    const recall = async (id: string, say: HttpResponseWriter): Promise<void> => {
      try {
        const v = await records.kept(id, duration.ms(1500));
        if (v) out.json(say, 200, { conversation: id, messages: v.messages });
        else
          out.json(say, errors.status('chat', 'no_such_conversation'), {
            error: 'no_such_conversation',
            message: 'nothing is kept under this name',
            ran: 'no',
          });
      } catch {
        out.reject(say, 'no_keepers', 'no majority of stores was reached', 'no', out.backoff());
      }
    };

    const handle = async (ask: HttpRequest, say: HttpResponseWriter): Promise<void> => {
      bump('requests');
      // Of a request with a key, a copy may have run elsewhere: before the claim is seen nobody may say "no" (§5.4).
      const ran = ask.headers['idempotency-key'] === undefined ? 'no' : 'unknown';
      if (!config) return out.reject(say, 'not_ready', 'no configuration yet', ran, 1);
      if (draining && ask.method === 'POST') return out.reject(say, 'leaving', 'this node is leaving', ran, 1);
      if (!inTouch() && (ran === 'unknown' || !(await membership.refresh()) || !inTouch()))
        return out.reject(say, 'stale', 'this node is cut off from most others', ran, 1);
      if (inFlight.size >= config.scheduler.maxTurns)
        return out.reject(say, 'full', 'this node holds as many turns as it may', ran, out.backoff());
      const p = plans.make(ask, config);
      switch (p.kind) {
        case 'reject':
          bump('bad_requests');
          return out.json(
            say,
            p.status,
            { error: p.error, field: p.field, message: p.text, ran },
            { 'x-thornsail-ran': ran },
          );
        case 'recall':
          return recall(p.conversation, say);
        case 'job':
          return job(edge, p, say);
        case 'chat':
          return chat(edge, p, say);
      }
    };

    /** Callers that keep their connection are told to open the next one elsewhere. */
    const whileLeaving = (say: HttpResponseWriter): HttpResponseWriter => ({
      ...say,
      head: (status, headers) =>
        say.head(
          status,
          !leaving
            ? headers
            : Array.isArray(headers)
              ? [...(headers as readonly string[]), 'connection', 'close']
              : { ...(headers as Record<string, string>), 'connection': 'close' },
        ),
    });
    let wasKnown = false;
    /** A gateway that has just started takes requests at once and serves them as soon as it can (§5.10). */
    const untilKnown = async (say: HttpResponseWriter, longest: Microseconds): Promise<void> => {
      const begun = clock.now();
      const end = begun + longest;
      const known = (): boolean => config !== undefined && adm.hasWorkers() && regs.known();
      while (!known() && clock.now() < end && !say.gone() && !closed && !draining)
        await time.sleep(clock, duration.ms(20));
      if (wasKnown || !known()) return;
      wasKnown = true;
      log(`knows the fleet; a first request had waited ${duration.toMs(clock.now() - begun)} ms for that.`);
    };
    /** What may be taken now; else why not. */
    const closedFor = async (say: HttpResponseWriter, patience: Microseconds | null): Promise<string | null> => {
      if (!draining) await untilKnown(say, Math.min(holdAtStart, (patience ?? Infinity) * holdAtStartPart));
      if (draining) return 'this node is leaving';
      if (!config) return 'no configuration yet';
      if (!inTouch() && (!(await membership.refresh()) || !inTouch())) return 'this node is cut off from most others';
      return inFlight.size >= config.scheduler.maxTurns ? 'this node holds as many requests as it may' : null;
    };
    const passOn = async (f: Forwarding, ask: HttpRequest, say: HttpResponseWriter): Promise<void> => {
      bump('requests');
      const arrived = clock.now();
      const d = f.dialect;
      const refuse = (r: Parameters<Dialect['refuse']>[0], after: number | null): void => {
        const w = d.refuse(r, after);
        if (say.gone()) return;
        say.head(w.status, [...w.headers, 'content-length', String(Buffer.byteLength(w.body))]);
        say.end(w.body);
      };
      const why = await closedFor(say, d.patience(ask));
      if (why !== null) return refuse(refused('closed', null, why), 0.2 + 0.3 * runtime.rand.next());
      const p = d.plan(ask, config!);
      if (p.kind === 'refuse') {
        bump('bad_requests');
        return refuse(p, null);
      }
      return forward(f, p, say, arrived);
    };

    return {
      forward: (d) => {
        const f: Forwarding = { edge, dialect: d, connections: pool, kept: turns, edges: gateways };
        return async (ask, say) => {
          answering += 1;
          try {
            await passOn(f, ask, whileLeaving(say));
          } catch (e) {
            log(`a request failed: ${fault.text(e)}.`);
            say.cut();
          } finally {
            answering -= 1;
          }
        };
      },
      handle: async (ask, say) => {
        answering += 1;
        try {
          await handle(ask, whileLeaving(say));
        } catch (e) {
          log(`a request failed: ${fault.text(e)}.`);
          say.cut();
        } finally {
          answering -= 1;
        }
      },
      ready,
      drain: async (d = {}) => {
        leaving = true;
        const end = clock.now() + (d.within ?? maxTurn);
        if (d.acceptFor) await time.sleep(clock, d.acceptFor);
        draining = true;
        while ((inFlight.size || answering) && clock.now() < end && !closed) await time.sleep(clock, duration.ms(50));
      },
      limits: () => config?.limits,
      counts: () => ({
        ...c,
        ...Object.fromEntries(Object.entries(pool.counts()).map(([k, v]) => [`connections_${k}`, v])),
        ...adm.counts(),
        in_flight: inFlight.size,
        holding: adm.heldTurns(),
        config_mark: configMark,
        ...Object.fromEntries(Object.entries(regs.counts()).map(([k, v]) => [`register_${k}`, v])),
      }),
      admission: adm,
      registers: regs,
      close: () => {
        closed = true;
        for (const s of stops) s();
        adm.close();
        pool.close();
      },
    };
  },
};
