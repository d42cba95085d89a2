// npm run measure [-- part ...]: the figures of docs/MEASUREMENTS.md, all in simulated time or counts.
import { beam, type Beam } from '@thornsail/dissemination';
import { us, type Us } from '@thornsail/runtime';
import { lookout } from '@thornsail/failure-detector';
import { pipe } from '@thornsail/rpc';
import type { ShapeName } from '@thornsail/test-harness';
import { watch, type Duty } from '@thornsail/leases';
import { capacity } from './capacity.js';
import { fleet, type Fleet } from './fleet.js';
import { measure } from './measure-capacity.js';
import { scenarios } from './scenarios/index.js';
import { world } from './world.js';

const out = (t: string): void => void process.stdout.write(`${t}\n`);
const seeds = [1, 2, 3, 4];
const mean = (v: number[]): number => (v.length ? v.reduce((a, b) => a + b, 0) / v.length : 0);
const pct = (v: number[], p: number): number => {
  const s = [...v].sort((a, b) => a - b);
  return s.length ? s[Math.min(s.length - 1, Math.floor(s.length * p))]! : 0;
};
const row = (...c: (string | number)[]): void => out(`| ${c.join(' | ')} |`);
const head = (...c: string[]): void => {
  row(...c);
  row(...c.map(() => '---'));
};
const sum = (f: Fleet, k: string): number =>
  f.procs.filter((p) => p.role === 'front').reduce((a, p) => a + (p.node?.counts()[k] ?? 0), 0);

type Day = {
  turns: number;
  prompt: number;
  reprefilled: number;
  held: number;
  resumed: number;
  forced: number;
  rejected: number;
  gaveUp: number;
  over: number;
  worst: number;
  waits: number[];
};
const day = async (
  seed: number,
  shape: ShapeName,
  o: { plain?: boolean; scheduler?: Record<string, unknown>; callAt?: number; capacity: number; chats: number },
): Promise<Day> => {
  const f = await fleet.open({
    seed,
    shape,
    capacity: o.capacity,
    gap: us.ms(900),
    ...(o.plain ? { plain: true } : {}),
    ...(o.callAt ? { callAt: o.callAt } : {}),
    config: (c) => ({ ...c, slots: { model: 64, app: 16 }, scheduler: { ...o.scheduler } }),
  });
  const l = f.load({ chats: o.chats, kept: Math.round(o.chats / 8), jobs: 0, over: us.s(20) });
  let over = 0;
  let samples = 0;
  let worst = 0;
  while (!l.done() && f.w.now() < us.s(120)) {
    await f.w.run(f.w.now() + us.ms(250));
    // Each program once: for a moment after it moved, two edges count it.
    const last = new Map<string, { worker: string; tokens: number; touched: number }>();
    for (const p of f.procs)
      for (const x of p.node?.fairway?.admission.state().programs.values() ?? []) {
        if (x.standing !== 'active' || x.worker === null || (last.get(x.id)?.touched ?? -1) >= x.touched) continue;
        last.set(x.id, { worker: x.worker, tokens: x.tokens, touched: x.touched });
      }
    const per = new Map<string, number>();
    for (const x of last.values()) per.set(x.worker, (per.get(x.worker) ?? 0) + x.tokens);
    for (const m of f.models) {
      const u = (per.get(m.id) ?? 0) / o.capacity;
      samples += 1;
      if (u > 1) over += 1;
      worst = Math.max(worst, u);
    }
  }
  const e = f.ledger.entries.filter((x) => x.program !== null);
  return {
    turns: f.callers.summary.turns,
    prompt: e.reduce((a, x) => a + x.prompt, 0),
    reprefilled: e.reduce((a, x) => a + x.reprefilled, 0),
    held: sum(f, 'held'),
    resumed: sum(f, 'resumed'),
    forced: sum(f, 'forced'),
    rejected: Object.values(f.callers.summary.rejected).reduce((a, b) => a + b, 0),
    gaveUp: f.callers.summary.gaveUp,
    over: over / Math.max(1, samples),
    worst,
    waits: f.callers.summary.chatWaits,
  };
};
const days = async (shape: ShapeName, o: Parameters<typeof day>[2]): Promise<Day> => {
  const all = await Promise.all(seeds.map((s) => day(s, shape, o)));
  const add = (k: Exclude<keyof Day, 'waits'>): number => all.reduce((a, d) => a + d[k], 0);
  return {
    turns: add('turns'),
    prompt: add('prompt'),
    reprefilled: add('reprefilled'),
    held: add('held'),
    resumed: add('resumed'),
    forced: add('forced'),
    rejected: add('rejected'),
    gaveUp: add('gaveUp'),
    over: add('over') / all.length,
    worst: Math.max(...all.map((d) => d.worst)),
    waits: all.flatMap((d) => d.waits),
  };
};
const moderate: Record<ShapeName, { capacity: number; chats: number }> = {
  lautoka: { capacity: 1500, chats: 260 },
  granite: { capacity: 3400, chats: 260 },
};
const load: Record<ShapeName, { capacity: number; chats: number }> = {
  lautoka: { capacity: 700, chats: 260 },
  granite: { capacity: 1500, chats: 260 },
};

const parts: Record<string, () => Promise<void>> = {
  ...Object.fromEntries(
    (['lautoka', 'granite'] as const).map((shape) => [
      `scheduler-${shape}`,
      async () => {
        out(`\n### Scheduler against a plain least-loaded lane, ${shape} (simulated, ${seeds.length} seeds)\n`);
        head(
          'load',
          'lane',
          'turns',
          'prompt tokens re-prefilled',
          'of all',
          'held',
          'resumed',
          'forced',
          'rejected',
          'gave up',
          'first piece p50 ms',
          'p95 ms',
          'worker-samples over capacity',
        );
        for (const [level, at] of [
          ['moderate', moderate[shape]],
          ['heavy', load[shape]],
        ] as const)
          for (const [name, o] of [
            ['least loaded', { plain: true }],
            [
              'programs, affinity only (no pause)',
              { scheduler: { pauseThreshold: 1, pauseTarget: 1, resumeHysteresis: 0, intervalSeconds: 600 } },
            ],
            ['programs, tick 5 s only', { scheduler: { resumeOnRoom: false } }],
            ['programs, tick 5 s and resume on room', {}],
            ['programs, tick 1 s only', { scheduler: { intervalSeconds: 1, resumeOnRoom: false } }],
          ] as const) {
            const d = await days(shape, { ...at, ...o });
            row(
              level,
              name,
              d.turns,
              d.reprefilled,
              `${((100 * d.reprefilled) / d.prompt).toFixed(1)}%`,
              d.held,
              d.resumed,
              d.forced,
              d.rejected,
              d.gaveUp,
              us.toMs(pct(d.waits, 0.5)),
              us.toMs(pct(d.waits, 0.95)),
              'plain' in o ? 'not counted' : `${(100 * d.over).toFixed(2)}%`,
            );
          }
      },
    ]),
  ),
  ...Object.fromEntries(
    (['lautoka', 'granite'] as const).map((shape) => [
      `edges-${shape}`,
      async () => {
        out(`\n### Several edges on the same workers against one edge, ${shape} (simulated, ${seeds.length} seeds)\n`);
        head(
          'load',
          'edges taking calls',
          'turns',
          'held',
          'forced',
          'worker-samples over capacity',
          'worst utilization',
        );
        for (const [name, o] of [
          ['1', { callAt: 1 }],
          ['3', { callAt: 3 }],
          ['7', { callAt: 7 }],
        ] as const)
          for (const [level, at] of [
            ['moderate', moderate[shape]],
            ['heavy', load[shape]],
          ] as const) {
            const d = await days(shape, { ...at, ...o });
            row(level, name, d.turns, d.held, d.forced, `${(100 * d.over).toFixed(2)}%`, d.worst.toFixed(2));
          }
      },
    ]),
  ),
  turns: async () => {
    out('\n### What a turn costs (simulated; an idle fleet of the same length is subtracted)\n');
    head(
      'shape',
      'load',
      'turns',
      'syncs per turn',
      'frames per turn',
      'full ballots per turn',
      'quick ballots per turn',
    );
    for (const shape of ['lautoka', 'granite'] as const)
      for (const [name, o] of [
        ['short chats', { chats: 60, kept: 0, jobs: 0 }],
        ['kept sessions', { chats: 0, kept: 20, jobs: 0 }],
        ['jobs, half of them once', { chats: 0, kept: 0, jobs: 200 }],
      ] as const) {
        const f = await fleet.open({ seed: 1, shape });
        const idle = await fleet.open({ seed: 1, shape });
        const l = f.load({ ...o, over: us.s(5) });
        const [s0, fr0] = [f.w.syncs(), f.w.frames()];
        await f.until('the load', l.done, us.s(60));
        const span = f.w.now();
        const [si, fi] = [idle.w.syncs(), idle.w.frames()];
        await idle.w.run(span);
        const n = f.callers.summary.turns + f.callers.summary.jobs;
        row(
          shape,
          name,
          n,
          ((f.w.syncs() - s0 - (idle.w.syncs() - si)) / n).toFixed(1),
          ((f.w.frames() - fr0 - (idle.w.frames() - fi)) / n).toFixed(1),
          (sum(f, 'register_rounds') / n).toFixed(2),
          (sum(f, 'register_quick') / n).toFixed(2),
        );
      }
  },
  detection: async () => {
    out('\n### Failure detection against false suspicion (simulated; 20 nodes, 10 seeds, 40 freezes each)\n');
    head(
      'silence limit',
      'watchers',
      'killed node suspected by two after, mean ms',
      'worst ms',
      'frozen nodes wrongly suspected by two, of 400',
    );
    for (const silent of [300, 600, 1000, 2000])
      for (const watchers of [2, 3]) {
        const took: number[] = [];
        let wrong = 0;
        for (let seed = 1; seed <= 10; seed++) {
          const w = world.open({ seed, zoneDelay: us.ms(1.5), clientDelay: us.ms(1), clientIp: '127.0.9.9' });
          const all = Array.from({ length: 20 }, (_, i) => ({
            id: `n${i}`,
            place: `127.0.0.${i + 1}:1`,
            inc: 1,
            host: w.host(`127.0.0.${i + 1}`, `z${i % 3}`),
          }));
          const accused = new Map<string, Map<string, Us>>();
          const two = new Set<string>();
          for (const x of all)
            void pipe.open(w.lens(x.host), x.place).then((p) =>
              lookout.open({
                lens: w.lens(x.host),
                pipe: p,
                self: () => x,
                roster: () => all,
                times: { silent: us.ms(silent), watchers },
                report: (list) => {
                  for (const s of list) {
                    const by = accused.get(s.id) ?? new Map<string, Us>();
                    accused.set(s.id, by.set(x.id, w.now()));
                    if ([...by.values()].filter((t) => w.now() - t < us.ms(1500)).length >= 2) two.add(s.id);
                  }
                },
              }),
            );
          await w.run(us.s(2));
          for (let i = 0; i < 40; i++) {
            const x = all[w.rand.int(20)]!;
            two.clear();
            accused.clear();
            w.freeze(x.host);
            await w.run(w.now() + us.ms(200 + w.rand.int(700)));
            w.wake(x.host);
            await w.run(w.now() + us.s(1));
            if (two.has(x.id)) wrong += 1;
          }
          const victim = all[w.rand.int(20)]!;
          two.clear();
          accused.clear();
          const begun = w.now();
          w.kill(victim.host, 'power');
          while (!two.has(victim.id) && w.now() - begun < us.s(10)) await w.run(w.now() + us.ms(10));
          took.push(us.toMs(w.now() - begun));
        }
        row(`${silent} ms`, watchers, Math.round(mean(took)), Math.max(...took), wrong);
      }
  },
  relays: async () => {
    out('\n### Relay tree (simulated, 20 relays, 10 seeds, 10 changes each)\n');
    head(
      'children',
      'frames for one change',
      'reached all after, mean ms',
      'worst ms',
      'with one relay dead, worst ms',
    );
    for (const arity of [1, 2, 3, 5, 19]) {
      const took: number[] = [];
      const dead: number[] = [];
      let frames = 0;
      for (let seed = 1; seed <= 10; seed++)
        for (const kill of [false, true]) {
          const w = world.open({ seed, zoneDelay: us.ms(1.5), clientDelay: us.ms(1), clientIp: '127.0.9.9' });
          const list = Array.from({ length: 20 }, (_, i) => ({
            id: `n${i}`,
            place: `127.0.0.${i + 1}:1`,
            host: w.host(`127.0.0.${i + 1}`, `z${i % 3}`),
          }));
          const bs: { b: Beam; host: (typeof list)[number]['host'] }[] = [];
          for (const x of list) {
            const lens = w.lens(x.host);
            void pipe.open(lens, x.place).then((p) =>
              bs.push({
                host: x.host,
                b: beam.open({
                  lens,
                  pipe: p,
                  self: x.id,
                  leaf: false,
                  relays: () => list,
                  attachTo: () => undefined,
                  others: () => [],
                  admits: () => true,
                  times: { arity },
                }),
              }),
            );
          }
          await w.run(us.s(1));
          if (kill) w.kill(list[1 + w.rand.int(6)]!.host, 'power');
          const live = bs.filter((x) => x.host.alive);
          for (let m = 1; m <= 10; m++) {
            const begun = w.now();
            const before = live.reduce((a, x) => a + x.b.counts().relayed, 0);
            live[w.rand.int(live.length)]!.b.put('order', m, m);
            while (live.some((x) => (x.b.get('order')?.mark ?? 0) < m) && w.now() - begun < us.s(10))
              await w.run(w.now() + 200);
            (kill ? dead : took).push((w.now() - begun) / 1000);
            if (!kill) frames += live.reduce((a, x) => a + x.b.counts().relayed, 0) - before;
            await w.run(w.now() + us.ms(300));
          }
        }
      row(
        arity,
        (frames / 100).toFixed(1),
        mean(took).toFixed(1),
        Math.max(...took).toFixed(1),
        Math.max(...dead).toFixed(0),
      );
    }
  },
  spread: async () => {
    out(
      '\n### Configuration: from the acknowledgement to its use at every front (simulated, 20 pushes for each shape)\n',
    );
    head(
      'shape',
      'push acknowledged after, p50 ms',
      'in use at all fronts after, p50 ms',
      'worst ms',
      'worst with a relay dead, ms',
    );
    for (const shape of ['lautoka', 'granite'] as const) {
      const acks: number[] = [];
      const used: number[] = [];
      const dead: number[] = [];
      for (const kill of [false, true]) {
        const f = await fleet.open({ seed: 7, shape });
        let mark = 1;
        for (let i = 0; i < 20; i++) {
          const begun = f.w.now();
          let got = -1;
          if (kill && i % 5 === 0) {
            const p = `pilot-edge${1 + i / 5}`;
            f.kill(p);
          }
          void f
            .push(
              { ...f.shape.config, limits: { onceKeepSeconds: 1000 + i } },
              mark,
              `m${i}`,
              f.proc('front-edge7').options['http'] as string,
            )
            .then(
              (r) => {
                got = r.mark;
              },
              () => {
                got = 0;
              },
            );
          while (got < 0) await f.w.run(f.w.now() + us.ms(1));
          const at = f.w.now();
          acks.push(us.toMs(at - begun));
          mark = got;
          while (f.procs.some((p) => p.role === 'front' && (p.node?.counts()['config_mark'] ?? 0) < mark))
            await f.w.run(f.w.now() + us.ms(1));
          (kill ? dead : used).push(us.toMs(f.w.now() - at));
          await f.w.run(f.w.now() + us.ms(400));
        }
      }
      row(shape, pct(acks, 0.5), pct(used, 0.5), Math.max(...used), Math.max(...dead));
    }
  },
};
parts['headloss'] = async () => {
  out('\n### A push just after the head of the towers was killed (simulated, 20 seeds)\n');
  head('shape', 'acknowledged after, mean ms', 'worst ms');
  for (const shape of ['lautoka', 'granite'] as const) {
    const took: number[] = [];
    for (let seed = 1; seed <= 20; seed++) {
      const f = await fleet.open({ seed, shape });
      await f.w.run(f.w.now() + us.ms(w100(f)));
      f.kill(f.procs.find((p) => p.role === 'tower' && p.node?.counts()['leads'] === 1)!.name, 'power');
      const begun = f.w.now();
      let got = -1;
      void f.push({ ...f.shape.config, limits: { onceKeepSeconds: 1001 } }, 1, 'x').then(
        (r) => {
          got = r.status;
        },
        () => {
          got = 0;
        },
      );
      while (got < 0) await f.w.run(f.w.now() + us.ms(5));
      if (got === 200) took.push(us.toMs(f.w.now() - begun));
      else out(`seed ${seed}: ${got}`);
    }
    row(shape, Math.round(mean(took)), Math.max(...took));
  }
};
const w100 = (f: Fleet): number => f.w.rand.int(100);
parts['duties'] = async () => {
  out('\n### Vacancy of a duty (simulated, 3 voters, 4 candidates, 20 seeds, 5 losses each)\n');
  head('how the holder goes', 'vacant, mean ms', 'worst ms');
  for (const how of ['it is killed', 'it is frozen', 'it leaves']) {
    const took: number[] = [];
    for (let seed = 1; seed <= 20; seed++) {
      const w = world.open({ seed, zoneDelay: us.ms(1.5), clientDelay: us.ms(1), clientIp: '127.0.9.9' });
      const voters = [1, 2, 3].map((i) => `127.0.3.${i}:1`);
      for (const [i, at] of voters.entries()) {
        const lens = w.lens(w.host(`127.0.3.${i + 1}`, `z${i}`));
        void pipe.open(lens, at).then((p) => watch.voter({ lens, pipe: p }));
      }
      const hosts = [1, 2, 3, 4].map((i) => w.host(`127.0.1.${i}`, 'z1'));
      const duties = new Map<number, Duty>();
      let gen = 0;
      const boot = (i: number): void => {
        const lens = w.lens(hosts[i]!);
        void pipe
          .open(lens, `127.0.1.${i + 1}:1`)
          .then((p) =>
            duties.set(i, watch.duty({ lens, pipe: p, name: 'sweep', by: `n${i}.${gen++}`, voters: () => voters })),
          );
      };
      for (let i = 0; i < 4; i++) boot(i);
      const holder = (): number =>
        [...duties].find(([i, d]) => d.holds() && hosts[i]!.alive && !hosts[i]!.frozen)?.[0] ?? -1;
      for (let k = 0; k < 5; k++) {
        while (holder() < 0) await w.run(w.now() + us.ms(10));
        await w.run(w.now() + us.s(1) + w.rand.int(us.s(1)));
        const h = holder();
        const begun = w.now();
        if (how === 'it is killed') {
          w.kill(hosts[h]!, 'process');
          duties.delete(h);
        } else if (how === 'it is frozen') w.freeze(hosts[h]!);
        else {
          duties.get(h)!.close();
          duties.delete(h);
        }
        await w.run(w.now() + us.ms(10));
        while (holder() < 0 && w.now() - begun < us.s(20)) await w.run(w.now() + us.ms(10));
        took.push(us.toMs(w.now() - begun));
        if (how === 'it is killed') {
          w.start(hosts[h]!);
          boot(h);
        } else if (how === 'it is frozen') w.wake(hosts[h]!);
        else {
          w.kill(hosts[h]!, 'process');
          w.start(hosts[h]!);
          boot(h);
        }
      }
    }
    row(how, Math.round(mean(took)), Math.max(...took));
  }
};
parts['recovery'] = async () => {
  out('\n### Serving again at every front after a closing fault (simulated, 10 seeds; in steps of 250 ms)\n');
  head('fault', 'lautoka, worst ms', 'granite, worst ms');
  const worst = new Map<string, Record<string, number>>();
  for (const shape of ['lautoka', 'granite'] as const)
    for (let seed = 1; seed <= 10; seed++) {
      const o = await scenarios['closing']!.run(seed, shape);
      for (const b of o.breaches) out(`breach, ${shape} seed ${seed}: ${b}`);
      for (const [k, v] of Object.entries(o.figures))
        if (k.endsWith('_ms') && k !== 'slowest_ms') {
          const r = worst.get(k) ?? {};
          r[shape] = Math.max(r[shape] ?? 0, v);
          worst.set(k, r);
        }
    }
  for (const [k, r] of worst) row(k.replace(/_ms$/, '').replaceAll('_', ' '), r['lautoka'] ?? 0, r['granite'] ?? 0);
};
parts['capacity'] = async () => {
  out('\n### Capacity: slopes, and the size to design for (docs/CAPACITY.md)');
  capacity.print(await measure('whole'), out);
};
const only = process.argv.slice(2);
for (const o of only)
  if (!Object.hasOwn(parts, o)) {
    process.stderr.write(`measure: no part ${o}; there are ${Object.keys(parts).join(', ')}\n`);
    process.exit(2);
  }
for (const [k, fn] of Object.entries(parts)) if (only.length === 0 || only.includes(k)) await fn();
