// The core (§3.3): serves the operations that change what the coordinators order, and runs the duties of its leader:
// rulings
// on failures, and the repair of both groups.
import { fault, time, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import type { DurableStore } from '@thornsail/durable-files';
import type { Rpc } from '@thornsail/rpc';
import type { Push, PushResult } from './configuration.js';
import { groupDuties } from './group-duties.js';
import { groups } from './groups.js';
import { coreCodec, coreRequestName, type CoreRequest, type CoreResult, type EncodedRequest } from './core-messages.js';
import { order, type NodeEntry, type Ordered } from './order.js';
import { rulings } from './rulings.js';
import { stateCodec } from './state-codec.js';
import { views, type Marked, type Views } from './views.js';

/** The gateways at which a configuration is not yet in use, and whether enough of them could be asked at all. */
export type Confirmed = { ok: true } | { ok: false; gateways: string[] };
/**
 * A configuration is in use when every gateway that the roster has alive says so, and more than half of all that were
 * alive lately: if the core is cut off from most of them, they may be serving on without it (§7.2).
 */
export const confirmed = (s: Ordered, at: Microseconds, mark: number, uses: (id: string) => number): Confirmed => {
  const gateways = Object.values(s.roster).filter((n) => n.role === 'gateway');
  const live = gateways.filter((n) => n.standing === 'live');
  // One whose address a new process has taken is gone for good.
  const behindACut = (n: NodeEntry): boolean =>
    n.standing === 'dead' && at - n.since < goneForGood && !live.some((x) => x.place === n.place);
  const lately = [...live, ...gateways.filter(behindACut)];
  const slow = lately.filter((n) => uses(n.id) < mark);
  const need = slow.filter((n) => n.standing === 'live');
  if (need.length) return { ok: false, gateways: slow.map((n) => n.name).sort() };
  const enough = lately.length === 0 || (lately.length - slow.length) * 2 > lately.length;
  return enough ? { ok: true } : { ok: false, gateways: slow.map((n) => n.name).sort() };
};
/** One dead for so long is not waited for: it is not serving on behind a cut. */
const goneForGood = duration.s(600);
/**
 * Shorter than a node waits for a coordinator's answer; whoever asked repeats the same push until its own time is out.
 */
const confirmWithin = duration.ms(300);

export type Core = { views: Views<Ordered>; close: () => void };
/** `stores` and `coordinators` are the sizes of the groups; a drain never leaves fewer than `leastKeepers`. */
export type CoreTimes = {
  suspectFor: Microseconds;
  replaceAfter: Microseconds;
  keepers: number;
  towers: number;
  leastStores: number;
};

export const core = {
  open: async (o: {
    runtime: Runtime;
    rpc: Rpc;
    durable: DurableStore;
    founders: Address[];
    onDone: (v: Marked<Ordered>) => void;
    news?: () => unknown;
    /** The mark of the configuration that a gateway says it uses. */
    uses?: (gateway: string) => number;
    /** Told now and then while a majority confirms this head. */
    onLead?: (mark: number) => void;
    times?: Partial<CoreTimes>;
  }): Promise<Core> => {
    const { runtime, rpc } = o;
    const T: CoreTimes = {
      suspectFor: duration.ms(1500),
      replaceAfter: duration.s(3),
      keepers: 3,
      towers: 3,
      leastStores: 0,
      ...o.times,
    };
    const log = runtime.log('coordinator');
    let onAgreed = (): void => undefined;
    const v = await views.open<Ordered>({
      runtime,
      rpc,
      durable: o.durable,
      founders: o.founders,
      initial: order.initial(),
      onDone: (version) => {
        o.onDone(version);
        onAgreed();
      },
      codec: stateCodec,
    });
    const failures = rulings.open({ clock: runtime.clock, suspectFor: T.suspectFor });

    /**
     * Acknowledged once a majority of coordinators has it and the gateways use it; otherwise its outcome is not known.
     */
    const push = async (p: Push): Promise<{ seq: number; result: PushResult }> => {
      const r = await v.propose<PushResult>((s) => order.push(s, p, runtime.clock.wall()));
      const { result } = r;
      if (!result.ok || !o.uses || v.done()?.state.config.value?.acknowledge === 'agreed') return r;
      const end = runtime.clock.now() + confirmWithin;
      for (;;) {
        const s = v.done()?.state;
        const c = s ? confirmed(s, runtime.clock.wall(), result.mark, o.uses) : { ok: false as const, gateways: [] };
        if (c.ok) return r;
        if (runtime.clock.now() >= end)
          return { seq: r.seq, result: { ok: false, why: 'unconfirmed', mark: result.mark, gateways: c.gateways } };
        await time.sleep(runtime.clock, duration.ms(20));
      }
    };
    const run = async (ask: CoreRequest): Promise<{ seq: number; result: unknown }> => {
      switch (ask.type) {
        case 'push':
          return push(ask.push);
        case 'join':
          return v.propose((s) => order.join(s, ask.node, runtime.clock.wall()));
        case 'sweep-complete':
          return v.propose((s) => groups.swept(s, ask.version));
        case 'drain':
          return v.propose((s) => groups.drain(s, ask.id, ask.on, T.leastStores));
        case 'read': {
          const d = await v.agreed();
          const repaired = duties.storesRepaired(d.state);
          const news = o.news?.() ?? null;
          return { seq: d.seq, result: { state: d.state, term: d.view, members: d.members, news, repaired } };
        }
        case 'suspect': {
          if (v.standing() !== 'lead') throw fault.make({ step: 'suspect', code: 'moved' }, 'not the head');
          failures.hear(ask.suspicions);
          return { seq: v.done()?.seq ?? 0, result: true };
        }
      }
    };
    const serve = async (request: CoreRequest): Promise<CoreResult> => {
      try {
        const r = await run(request);
        return { ok: true, index: r.seq, value: r.result };
      } catch (e) {
        const code = fault.info(e).code;
        if (code !== 'moved' && code !== 'unknown') throw e;
        return {
          ok: false,
          reason: code === 'moved' ? 'not-leader' : 'outcome-unknown',
          leader: v.standing() === 'lead' ? null : (v.head() ?? null),
          members: v.done()?.members.map((m) => m.at) ?? o.founders,
        };
      }
    };
    rpc.on<EncodedRequest>(coreRequestName, coreCodec.isEncodedRequest, async (encoded) => {
      const request = coreCodec.decodeRequest(encoded);
      return coreCodec.encodeResult(request.type, await serve(request));
    });

    const duties = groupDuties.open({
      clock: runtime.clock,
      views: v,
      sizes: T,
      replaceAfter: T.replaceAfter,
      log,
    });
    const rule = async (): Promise<void> => {
      const d = v.done();
      if (v.standing() !== 'lead' || !d) return;
      for (const { entry, watchers } of failures.due(d.state)) {
        log(`${entry.name} is dead: ${watchers} watchers agree.`);
        await v.propose((s) => order.dead(s, entry.id, entry.inc, runtime.clock.wall()));
      }
    };
    const safely = (fn: () => Promise<void>) => async (): Promise<void> => {
      try {
        await fn();
      } catch (e) {
        if (!['moved', 'unknown'].includes(fault.info(e).code ?? '')) log(`a duty failed: ${fault.text(e)}.`);
      }
    };
    const repairNow = safely(duties.act);
    // What is agreed on may make a step due: a loss, a return, a sweep that is complete.
    onAgreed = () => void repairNow();
    let told = 0;
    /** Says that the core is there: a gateway that hears it gets every configuration in time (§7.2). */
    const say = (): void => {
      if (v.led() && o.onLead) o.onLead((v.done()?.view ?? 0) * 1e9 + ++told);
    };
    const stops = [
      time.every(runtime.clock, duration.ms(500), say),
      time.every(runtime.clock, duration.ms(200), safely(rule)),
      time.every(runtime.clock, duration.ms(200), repairNow),
    ];
    return {
      views: v,
      close: () => {
        for (const s of stops) s();
        v.close();
      },
    };
  },
};
