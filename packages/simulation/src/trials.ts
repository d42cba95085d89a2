// Further scenarios (§9.4): disks that fail, clocks that jump, workers and a platform that misbehave, a fleet cut in
// two anywhere, bursts at all edges at once.
import { us, type Place, type Us } from '@thornsail/runtime';
import { classNames, type Listed } from '@thornsail/test-harness';
import { root } from '@thornsail/admin-api';
import { fleet, type Fleet } from './fleet.js';
import {
  edges,
  finish,
  frontAt,
  fronts,
  keepers,
  replaceWorker,
  run,
  serving,
  settleLoad,
  towers,
  type Scenario,
} from './scene.js';

const later = (f: Fleet, after: Us, fn: () => void): void => f.w.at(f.w.now() + after, fn);
const headOf = (f: Fleet): string =>
  f.procs.find((p) => p.role === 'tower' && p.node?.counts()['leads'] === 1)?.name ?? 'tower1';

/** Configurations that can be told apart: the n-th has a class `only-n`, by which callers see it in use. */
const nth = (f: Fleet, n: number): Record<string, unknown> => ({
  ...f.shape.config,
  classes: { ...(f.shape.config['classes'] as object), [`only-${n}`]: { kind: 'app', weight: 1 } },
});
type Pushed = { n: number; mark: number; ackedAt: Us };
/** An operator at one node: reads, pushes, and writes down what was acknowledged, and when. */
const operator = (f: Fleet, acked: Pushed[]): ((at: Place) => Promise<void>) => {
  let n = 0;
  return async (at) => {
    const mine = ++n;
    try {
      const now = await f.http(at, 'GET', `${root}/config`);
      if (now.status !== 200) return;
      const r = await f.push(nth(f, mine), Number(now.body['mark']), `op-${mine}`, at);
      if (r.status === 200) acked.push({ n: mine, mark: r.mark, ackedAt: f.w.now() });
    } catch {
      /* Not known: it may have been taken or not. */
    }
  };
};
/** The newest acknowledged configuration is in use, or a newer one, two seconds later, wherever a front serves. */
const inUse = async (f: Fleet, acked: Pushed[], front: string): Promise<void> => {
  const sent = f.w.now();
  const due = acked.filter((a) => sent - a.ackedAt > us.s(2)).sort((a, b) => b.mark - a.mark)[0];
  const older = acked.filter((a) => due && a.mark < due.mark);
  if (!due || older.length === 0) return;
  const old = older[older.length - 1]!;
  const at = f.proc(front).options['http'] as Place;
  const r = await f.http(at, 'POST', '/v1/jobs', {}, { 'x-thornsail-class': `only-${old.n}` }).catch(() => undefined);
  if (r?.status === 200)
    f.expectBreach.push(
      `${front} served by configuration ${old.mark}, ${us.toMs(sent - due.ackedAt)} ms after ${due.mark}`,
    );
};

export const trials: Record<string, Scenario> = {
  disk: {
    rule: 'a failed write is never acknowledged; a full disk refuses; slow ones only slow down',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const r = f.w.rand;
      const l = f.load({ chats: 50, kept: 10, jobs: 60, over: us.s(18) });
      const acked: Pushed[] = [];
      const push = operator(f, acked);
      for (let i = 0; i < 14; i++) later(f, us.ms(300) + r.int(us.s(18)), () => void push(frontAt(f, r.int(7))));
      const disk = (name: string): Fleet['procs'][number]['host']['disk'] => f.proc(name).host.disk;
      const [a, b, c] = r.int(2) ? keepers : [...keepers].reverse();
      disk(c!).slow = 30;
      later(f, us.s(1), () => (disk(a!).full = true));
      later(f, us.s(4), () => (disk(a!).full = false));
      later(f, us.s(5), () => {
        const head = headOf(f);
        disk(head).full = true;
        later(f, us.s(3), () => (disk(head).full = false));
      });
      const stopped: string[] = [];
      const breaks = (name: string, how: 'write' | 'sync' | 'rename'): void => {
        disk(name).fail[how] = 1;
        later(f, us.s(2), () => {
          if (f.proc(name).host.alive) f.expectBreach.push(`${name} goes on with a disk that fails at ${how}`);
          stopped.push(name);
          disk(name).fail[how] = 0;
          // Its first start fails as well: it cannot read what it has.
          disk(name).fail.read = 1;
          f.start(name);
          later(f, us.s(1), () => {
            disk(name).fail.read = 0;
            if (f.proc(name).host.alive) f.expectBreach.push(`${name} runs though it could not read its disk`);
            else f.start(name);
          });
        });
      };
      // A keeper's registers are written in place; a rename that fails there is durable-files/test/batches.test's.
      later(f, us.s(9), () => breaks(b!, (['sync', 'sync', 'write'] as const)[r.int(3)]!));
      // Until the keeper is back no second machine with a disk may be lost.
      later(f, us.s(14), () => {
        const t = headOf(f);
        void push(frontAt(f, 1));
        breaks(t, (['sync', 'rename', 'write'] as const)[r.int(3)]!);
      });
      await run(f, us.s(19));
      const back = await serving(f, us.s(12));
      await settleLoad(f, l);
      const now = await read(f);
      const top = Math.max(0, ...acked.map((x) => x.mark));
      if (now.mark < top) f.expectBreach.push(`acknowledged mark ${top} is gone, ${now.mark} is there`);
      if (stopped.length < 2) f.expectBreach.push('no disk failed: the scenario shows nothing');
      return finish(f, { acknowledged: acked.length, back_ms: us.toMs(back) });
    },
  },

  clocks: {
    rule: 'clocks that jump, forwards and back, change nothing that is promised',
    run: async (seed, shape, log) => {
      const small = { model: 8, app: 1 };
      const f = await fleet.open({ seed, shape, log, config: (c) => ({ ...c, slots: small }) });
      const r = f.w.rand;
      for (const a of f.apps) a.faults.slow = 6;
      const l = f.load({ chats: 60, kept: 14, jobs: 250, over: us.s(14) });
      const day = us.s(86_400);
      const jump = (name: string): void => {
        // Of the keepers one clock at a time is wrong, by up to 400 days either way.
        const role = f.proc(name).role;
        for (const p of f.procs) if (p.role === role && role !== 'front') p.host.skew = 0;
        f.proc(name).host.skew = (r.int(2) ? 1 : -1) * r.int(400) * day;
      };
      const all = [...keepers, ...keepers, ...towers, ...fronts];
      for (let i = 0; i < 24; i++) later(f, r.int(us.s(16)), () => jump(all[r.int(all.length)]!));
      later(f, us.s(3), () => f.kill(keepers[r.int(3)]!, 'power'));
      later(f, us.s(5), () => keepers.forEach((k) => f.proc(k).host.alive || f.start(k)));
      later(f, us.s(6), () => f.kill(fronts[r.int(7)]!));
      const acked: Pushed[] = [];
      const push = operator(f, acked);
      for (let i = 0; i < 8; i++) later(f, r.int(us.s(14)), () => void push(frontAt(f, r.int(7))));
      await run(f, us.s(17));
      const back = await serving(f, us.s(12));
      await settleLoad(f, l);
      const out = finish(f, {
        acknowledged: acked.length,
        recalled: f.callers.summary.recalled,
        back_ms: us.toMs(back),
      });
      if (f.callers.summary.recalled < 10) out.breaches.push('too few conversations were read back');
      return out;
    },
  },

  workers: {
    rule: 'workers replaced one after another, some unmarked, frozen or ill; a platform that is ill',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log, stalls: true });
      const r = f.w.rand;
      const l = f.load({ chats: 110, kept: 14, jobs: 110, over: us.s(22) });
      const replace = async (old: Listed, i: number): Promise<void> => {
        const s = await replaceWorker(f, old, i, r.int(4) === 0 ? 'drop' : 'leave');
        if (r.int(3) === 0) s.faults.report = r.int(2) ? 'rubbish' : 'silent';
      };
      for (const [i, x] of f.layout.workers.entries())
        later(f, us.ms(500) + Math.round((i * us.s(18)) / f.layout.workers.length), () => void replace(x, i));
      // Two workers freeze for a while; another is cut off from the edges.
      for (let i = 0; i < 2; i++)
        later(f, us.s(3) + r.int(us.s(10)), () => {
          const h = f.hostOf(f.layout.workers[r.int(f.layout.workers.length)]!.at.split(':')[0]!);
          f.w.freeze(h);
          later(f, us.s(2), () => f.w.wake(h));
        });
      const moods = ['slow', 'failing', 'silent', 'rubbish', 'empty'] as const;
      for (const [i, m] of moods.entries()) {
        later(f, us.s(2 + i * 4), () => (f.platform.mood.now = m));
        later(f, us.s(4 + i * 4), () => (f.platform.mood.now = 'ok'));
      }
      await run(f, us.s(23));
      const back = await serving(f, us.s(12));
      await settleLoad(f, l);
      const s = f.callers.summary;
      const none = s.rejected['no_worker'] ?? 0;
      const out = finish(f, { no_worker: none, gave_up_of: s.chats + s.kept + s.jobs, back_ms: us.toMs(back) });
      if (none > 0) out.breaches.push(`${none} requests found no worker though there always were some`);
      if (s.gaveUp * 20 > s.chats + s.kept + s.jobs) out.breaches.push(`${s.gaveUp} callers gave up`);
      return out;
    },
  },

  split: {
    rule: 'whatever way the fleet is cut in two, nothing acknowledged is not in use where a front serves',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const r = f.w.rand;
      const l = f.load({ chats: 50, kept: 8, jobs: 50, over: us.s(26) });
      const acked: Pushed[] = [];
      const push = operator(f, acked);
      void push(frontAt(f, 1));
      await run(f, us.s(1));
      let rounds = 0;
      let probing = true;
      const probe = (): void => {
        for (const name of fronts) void inUse(f, acked, name);
        if (probing) later(f, us.ms(200), probe);
      };
      probe();
      for (; rounds < 4; rounds++) {
        // A machine is on one side or the other; an edge's two processes share it.
        const machine = (name: string): string => name.replace(/^(front|pilot)-/, '');
        const side = new Map([...edges, ...keepers, ...towers].map((m) => [m, r.int(2)]));
        if (rounds === 0) for (const t of towers) side.set(t, 1);
        const names = f.procs.map((p) => p.name);
        const [a, b] = [0, 1].map((k) => names.filter((n) => side.get(machine(n)) === k));
        const heal = f.cut(a!, b!);
        for (let i = 0; i < 6; i++)
          later(f, r.int(us.s(3)), () => void push(f.proc(names[r.int(names.length)]!).options['http'] as Place));
        await run(f, us.s(4));
        heal();
        later(f, us.ms(r.int(500)), () => void push(frontAt(f, r.int(7))));
        await run(f, us.s(2));
      }
      probing = false;
      const back = await serving(f, us.s(12));
      await settleLoad(f, l);
      return finish(f, { acknowledged: acked.length, back_ms: us.toMs(back) });
    },
  },

  burst: {
    rule: 'urgent jobs at all edges in one instant, among crowds, with claims behind model turns at slow keepers',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const r = f.w.rand;
      for (const a of f.apps) a.faults.slow = 10;
      for (const k of keepers) f.proc(k).host.disk.slow = 4;
      const names = classNames[shape];
      const limit = shape === 'lautoka' ? 2000 : 1500;
      const l = f.load({ chats: 160, kept: 10, jobs: 0, over: us.s(6) });
      // A crowd of refreshes takes all slots that urgent work lends.
      let crowd = 0;
      for (let i = 0; i < 1800; i++)
        later(f, r.int(us.s(6)), () => {
          const at = frontAt(f, r.int(7));
          const head = { 'x-thornsail-class': names.ping, 'x-thornsail-time-left-ms': '2500' };
          void f.http(at, 'POST', '/v1/jobs', { i }, head).then(
            (x) => void (x.status === 200 && (crowd += 1)),
            () => undefined,
          );
        });
      const waits: Us[] = [];
      let bad = 0;
      let open = 0;
      const urgent = async (edge: number, id: string): Promise<void> => {
        open += 1;
        const begun = f.w.now();
        const head = {
          'x-thornsail-class': names.urgent,
          'x-thornsail-time-left-ms': String(limit),
          'idempotency-key': id,
          'x-thornsail-once': 'true',
        };
        const x = await f.http(frontAt(f, edge), 'POST', '/v1/jobs', { id }, head).catch(() => undefined);
        if (x?.status === 200) waits.push(f.w.now() - begun);
        else bad += 1;
        open -= 1;
      };
      for (const [b, at] of [us.s(1.5), us.s(3), us.s(4.5)].entries())
        later(f, at, () => {
          for (let e = 0; e < 7; e++) for (let i = 0; i < 8; i++) void urgent(e, `u-${b}-${e}-${i}`);
        });
      await run(f, us.s(6));
      await f.until('the urgent callers to end', () => open === 0, us.s(10));
      await settleLoad(f, l);
      const sorted = waits.sort((a, b) => a - b);
      const worst = us.toMs(sorted[sorted.length - 1] ?? 0);
      const lines = Math.max(...f.apps.map((a) => a.peak().line));
      const out = finish(f, {
        urgent_served: waits.length,
        urgent_refused: bad,
        urgent_p50_ms: us.toMs(sorted[Math.floor(sorted.length / 2)] ?? 0),
        urgent_worst_ms: worst,
        crowd_served: crowd,
        worst_app_line: lines,
      });
      if (bad > 0) out.breaches.push(`${bad} urgent jobs were refused in a burst`);
      if (worst > limit) out.breaches.push(`an urgent job took ${worst} ms`);
      return out;
    },
  },
};
const read = async (f: Fleet): Promise<{ mark: number }> => {
  const got: { mark?: number } = {};
  void f.http(frontAt(f, 0), 'GET', `${root}/config`).then(
    (x) => (got.mark = Number(x.body['mark'])),
    () => (got.mark = -1),
  );
  await f.until('a read of the configuration', () => got.mark !== undefined, us.s(10));
  return { mark: got.mark ?? -1 };
};
