// What must never happen, caused (§9.4): each scenario brings one kind of failure over a deployment in fog and says
// what was breached. Figures are simulated time and counts.
import { us, type Place, type Us } from '@thornsail/runtime';
import { root } from '@thornsail/admin-api';
import { fleet } from './fleet.js';
import {
  edges,
  finish,
  frontAt,
  fronts,
  keepers,
  ofLive,
  oneToLeave,
  patch,
  pause,
  replaceWorker,
  run,
  serving,
  settleLoad,
  sum,
  towers,
  type Scenario,
} from './scene.js';
import { trials } from './trials.js';

export type { Outcome, Scenario } from './scene.js';
export const scenarios: Record<string, Scenario> = {
  ...trials,

  budget: {
    rule: 'never more tokens than the budget plus one turn',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log, config: patch({ '*model': { budgetTokens: 900 } }) });
      const r = f.w.rand;
      const cls = Object.entries(
        f.shape.config['classes'] as Record<string, { kind: string; keepSeconds?: number }>,
      ).find(([, c]) => c.kind === 'model')![0];
      // A few programs, each driven from several edges at once, over and over.
      let busy = 0;
      const drive = async (program: string): Promise<void> => {
        busy += 1;
        for (let i = 0; i < 14; i++) {
          await f
            .http(
              frontAt(f, r.int(7)),
              'POST',
              '/v1/chat/completions',
              { messages: [{ role: 'user', content: `${program} ${i} ${'y'.repeat(60)}` }], max_tokens: 40 },
              { 'x-thornsail-program': program, 'x-thornsail-class': cls },
            )
            .catch(() => undefined);
          await pause(f, us.ms(r.int(300)));
        }
        busy -= 1;
      };
      for (let p = 0; p < 6; p++) for (let k = 0; k < 3; k++) void drive(`p-${p}`);
      const bring = async (): Promise<void> => {
        for (let i = 0; i < 6; i++) {
          await pause(f, us.ms(400 + r.int(500)));
          const e = fronts[r.int(7)]!;
          const k = r.int(4);
          if (k === 0 && f.proc(e).host.alive) {
            f.kill(e);
            f.w.at(f.w.now() + us.ms(300 + r.int(1500)), () => f.start(e));
          } else if (k === 1 && f.proc(e).host.alive && !f.proc(e).host.frozen) f.freeze(e, us.ms(800 + r.int(3000)));
          else if (k === 2) {
            const n = keepers[r.int(3)]!;
            if (f.proc(n).host.alive && ofLive(f, 'keeper').length === 3) {
              f.kill(n, 'power');
              f.w.at(f.w.now() + us.ms(500 + r.int(1500)), () => f.start(n));
            }
          } else f.models[r.int(f.models.length)]!.faults.dieMidStream = 0.5;
        }
      };
      void bring();
      await f.until('the drivers to end', () => busy === 0, us.s(120));
      await run(f, us.s(3));
      return finish(f, { budget_rejected: sum(f, 'budget_rejected') });
    },
  },

  hold: {
    rule: 'a held turn is released before two seconds of silence',
    run: async (seed, shape, log) => {
      const f = await fleet.open({
        seed,
        shape,
        log,
        capacity: 900,
        gap: us.ms(700),
        // On even seeds the workers are slow to their first token: a hold must leave room for it.
        ...(seed % 2 === 0 ? { firstToken: us.ms(500) } : {}),
        config: (c) => ({ ...c, scheduler: { intervalSeconds: 2 }, slots: { model: 64, app: 16 } }),
      });
      const l = f.load({ chats: 150, kept: 20, jobs: 20, over: us.s(12) });
      // On every third seed the keepers' disks are slow, and one keeper is lost on top of that.
      if (seed % 3 === 0) {
        for (const k of keepers) f.proc(k).host.disk.slow = 25;
        f.w.at(f.w.now() + us.s(5), () => f.kill(keepers[f.w.rand.int(3)]!, 'power'));
      }
      // The news between edges goes missing for a while.
      f.w.at(f.w.now() + us.s(3), () => {
        const heal = f.cut(fronts, ['pilot-edge1', 'pilot-edge2', 'pilot-edge3']);
        f.w.at(f.w.now() + us.s(4), heal);
      });
      await settleLoad(f, l);
      const out = finish(f, { paused: sum(f, 'paused'), marked: sum(f, 'marked') });
      if (out.figures['held'] === 0) out.breaches.push('no turn was held: the scenario shows nothing');
      return out;
    },
  },

  uncut: {
    rule: 'a turn at a worker is never paused or cut off',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log, capacity: 1500, perToken: us.ms(40) });
      const l = f.load({ chats: 60, kept: 8, jobs: 20, over: us.s(8) });
      const r = f.w.rand;
      const later = (at: Us, fn: () => void): void => f.w.at(f.w.now() + at, fn);
      later(us.s(2), () => f.platform.leave(f.layout.workers[r.int(3)]!.id));
      later(
        us.s(3),
        () =>
          void f
            .push({ ...f.shape.config, scheduler: { pauseThreshold: 0.5, pauseTarget: 0.3 } }, 1, 'two')
            .catch(() => undefined),
      );
      // Two fronts leave as on SIGTERM: they drain, then close.
      for (const [i, at] of [
        [r.int(3), us.s(4)],
        [3 + r.int(4), us.s(5)],
      ] as const)
        later(at, () => {
          const p = f.proc(fronts[i]!);
          const node = p.node;
          if (node)
            void node
              .drain()
              .then(() => node.close())
              .then(() => f.w.kill(p.host, 'process'));
        });
      await settleLoad(f, l);
      const out = finish(f);
      if (f.callers.summary.cut > 0)
        out.breaches.push(`${f.callers.summary.cut} streams were cut though nothing failed`);
      return out;
    },
  },

  once: {
    rule: 'a request that may run only once never runs twice',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const r = f.w.rand;
      for (const a of f.apps) a.faults.loseResult = 0.2;
      let open = 0;
      const one = async (key: string): Promise<void> => {
        open += 1;
        // The same key at two edges at once, and again afterwards.
        await Promise.all([
          f.callers.job({ urgent: true, once: true, key }),
          f.callers.job({ urgent: true, once: true, key }),
        ]);
        await f.callers.job({ urgent: true, once: true, key });
        open -= 1;
      };
      for (let i = 0; i < 60; i++) f.w.at(f.w.now() + r.int(us.s(6)), () => void one(`once-${i}`));
      for (let i = 0; i < 4; i++)
        f.w.at(f.w.now() + us.s(0.5) + r.int(us.s(5)), () => {
          const e = fronts[r.int(7)]!;
          if (!f.proc(e).host.alive || f.proc(e).host.frozen) return;
          if (r.int(2) === 0) {
            f.kill(e);
            f.w.at(f.w.now() + us.s(1), () => f.start(e));
          } else f.freeze(e, us.ms(900 + r.int(2000)));
        });
      await run(f, us.s(8));
      await f.until('the callers to end', () => open === 0, us.s(60));
      return finish(f);
    },
  },

  notrun: {
    rule: 'a refusal that promises "not run" is never followed by the request running',
    run: async (seed, shape, log) => {
      const f = await fleet.open({
        seed,
        shape,
        log,
        config: (c) => ({
          ...patch({ push: { buffer: 6 }, alarm: { buffer: 6 }, lobby: { buffer: 6 }, status: { buffer: 6 } })(c),
          slots: { model: 8, app: 2 },
        }),
      });
      const r = f.w.rand;
      let open = 0;
      const ledgerKeys = (): Set<string> =>
        new Set(f.ledger.entries.map((e) => e.key ?? (JSON.parse(e.body || '{}') as { key?: string }).key ?? ''));
      const said: string[] = [];
      const cls = shape === 'lautoka' ? 'lobby' : 'status';
      const copies = new Set<string>();
      const mixed = new Set<string>();
      /** A copy with the same key at another edge, while the first may still be held. */
      const copy = async (key: string): Promise<void> => {
        copies.add(key);
        open += 1;
        await f.callers.job({ urgent: false, once: true, key });
        open -= 1;
      };
      const one = async (key: string, keyed: boolean): Promise<void> => {
        open += 1;
        const story = f.callers.keys.get(key) ?? { ran: [], ok: false, sent: [], no: [] };
        if (keyed) {
          f.callers.keys.set(key, story);
          story.sent.push(f.w.now());
          if (r.int(3) === 0) void copy(key);
        }
        const res = await f
          .http(
            frontAt(f, r.int(7)),
            'POST',
            '/v1/jobs',
            { key },
            {
              'x-thornsail-class': cls,
              'x-thornsail-time-left-ms': String(300 + r.int(1500)),
              ...(keyed ? { 'idempotency-key': key, 'x-thornsail-once': 'true' } : {}),
            },
          )
          .catch(() => undefined);
        if (res && res.status !== 200 && res.body['ran'] === 'no') {
          said.push(key);
          story.no.push(f.w.now());
          if (copies.has(key)) mixed.add(key);
        }
        story.ran.push(res?.status === 200 ? 'yes' : res?.body['ran'] === 'no' ? 'no' : 'unknown');
        if (res?.status === 200) story.ok = true;
        open -= 1;
      };
      for (let i = 0; i < 900; i++) f.w.at(f.w.now() + r.int(us.s(3)), () => void one(`n-${i}`, i % 2 === 0));
      for (let i = 0; i < 3; i++)
        f.w.at(f.w.now() + r.int(us.s(4)), () => {
          const e = fronts[r.int(7)]!;
          if (!f.proc(e).host.frozen) f.freeze(e, us.ms(700 + r.int(2500)));
        });
      await run(f, us.s(5));
      await f.until('the callers to end', () => open === 0, us.s(30));
      await run(f, us.s(5));
      const out = finish(f, { promised: said.length });
      const ran = ledgerKeys();
      for (const k of said) if (ran.has(k) && !mixed.has(k)) out.breaches.push(`${k} ran after "not run"`);
      if (said.length === 0) out.breaches.push('nothing was refused: the scenario shows nothing');
      return out;
    },
  },

  kept: {
    rule: 'a kept conversation is never reported missing within its keeping time',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const r = f.w.rand;
      const l = f.load({ chats: 5, kept: 16, jobs: 0, over: us.s(4) });
      const later = (at: Us, fn: () => void): void => f.w.at(f.w.now() + at, fn);
      const k = keepers[r.int(3)]!;
      const other = keepers.find((x) => x !== k)!;
      later(us.s(2), () => {
        f.proc(other).host.skew = (r.int(2) === 0 ? 1 : -1) * us.s(400 * 86_400);
      });
      later(us.s(2) + r.int(us.s(2)), () => f.kill(fronts[r.int(7)]!));
      later(us.s(3), () => f.replace(k, 'keeper9', '127.77.2.9'));
      await settleLoad(f, l);
      await f.until(
        'the group to be whole again',
        () => {
          const s = f.proc('pilot-edge1').node?.mooring.state()?.keepers;
          return (
            s !== undefined &&
            s.members.length === 3 &&
            s.swept === s.mark &&
            s.members.some((m) => m.at.startsWith('127.77.2.9'))
          );
        },
        us.s(30),
      );
      // Now the oldest of the remaining keepers goes too: what was kept must be on the newcomer.
      const last = ofLive(f, 'keeper').find((x) => x !== 'keeper9' && x !== other) ?? other;
      f.kill(last, 'disk');
      let open = 0;
      for (const p of new Set(
        f.ledger.entries.map((e) => e.program).filter((x): x is string => x !== null && x.startsWith('k')),
      )) {
        open += 1;
        const alive = f.procs.filter((x) => x.role === 'front' && x.host.alive);
        void f
          .http(alive[r.int(alive.length)]!.options['http'] as Place, 'GET', `/v1/conversations/c-${p}`)
          .then((x) => {
            if (x.status === 404)
              f.expectBreach.push(`conversation c-${p} reported missing after its keepers were replaced`);
          })
          .catch(() => undefined)
          .then(() => {
            open -= 1;
          });
      }
      await f.until('the readers to end', () => open === 0, us.s(20));
      return finish(f, { recalled: f.callers.summary.recalled });
    },
  },

  leaving: {
    rule: 'no new request to a leaving worker after three seconds',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log, capacity: 900, gap: us.ms(300) });
      const r = f.w.rand;
      const l = f.load({ chats: 120, kept: 6, jobs: 60, over: us.s(12) });
      const later = (at: Us, fn: () => void): void => f.w.at(f.w.now() + at, fn);
      const heal: (() => void)[] = [];
      later(us.s(1), () => heal.push(f.cut(towers, [...fronts, ...edges.map((e) => `pilot-${e}`), ...keepers])));
      later(us.s(1.5), () => f.kill(`pilot-edge${1 + r.int(7)}`));
      for (let i = 0; i < 4; i++) later(us.s(2 + i), () => f.platform.leave(f.layout.workers[i * 2]!.id));
      const e = fronts[r.int(7)]!;
      later(us.s(3) - us.ms(r.int(300)), () => f.freeze(e, us.s(4.5)));
      later(us.s(9), () => heal.forEach((h) => h()));
      await settleLoad(f, l);
      return finish(f);
    },
  },

  config: {
    rule: 'a configuration takes effect in two seconds, never slips back; losers and invalid ones never',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const r = f.w.rand;
      const base = f.shape.config;
      const nth = (n: number): Record<string, unknown> => ({ ...base, limits: { onceKeepSeconds: 1000 + n } });
      const acked = new Map<number, { at: Us; n: number }>();
      const losers = new Set<number>();
      const seen = new Map<string, number>();
      const frozenUntil = new Map<string, Us>();
      let n = 0;
      let open = 0;
      const push = async (): Promise<void> => {
        open += 1;
        const mine = ++n;
        const pilots = ofLive(f, 'pilot');
        const at = f.proc(pilots[r.int(pilots.length)]!).options['http'] as Place;
        try {
          const now = await f.http(at, 'GET', `${root}/config`);
          if (now.status === 200) {
            const mark = Number(now.body['mark']);
            const bad = r.int(6) === 0;
            const res = await f.push(
              bad ? { ...nth(mine), limits: { onceKeepSeconds: 1 } } : nth(mine),
              mark,
              `push-${mine}`,
              at,
            );
            if (bad && res.status === 200) f.expectBreach.push('an invalid configuration was acknowledged');
            if (res.status === 200) {
              if (acked.has(res.mark))
                f.expectBreach.push(`two configurations were acknowledged with mark ${res.mark}`);
              acked.set(res.mark, { at: f.w.now(), n: mine });
            } else if (res.status === 409 || res.status === 422) losers.add(mine);
          }
        } catch {
          /* Not known: it may have been taken or not. */
        }
        open -= 1;
      };
      // Two operators at once, and quick succession.
      for (let i = 0; i < 14; i++)
        f.w.at(f.w.now() + r.int(us.s(12)), () => {
          void push();
          if (r.int(2)) void push();
        });
      const later = (at: Us, fn: () => void): void => f.w.at(f.w.now() + at, fn);
      const head = (): string =>
        f.procs.find((p) => p.role === 'tower' && p.node?.counts()['leads'] === 1)?.name ?? 'tower1';
      later(us.s(1) + r.int(us.s(2)), () => {
        const t = head();
        f.kill(t, 'power');
        later(us.s(1) + r.int(us.s(1)), () => f.start(t));
      });
      later(us.s(5) + r.int(us.s(1)), () => {
        const t = head();
        const heal = f.cut([t], [...towers.filter((x) => x !== t)]);
        later(us.s(2), heal);
      });
      later(us.s(4), () => {
        const p = `pilot-edge${1 + r.int(7)}`;
        f.kill(p);
        later(us.s(3), () => f.start(p));
      });
      later(us.s(8), () => {
        const e = fronts[r.int(7)]!;
        f.freeze(e, us.s(2));
        frozenUntil.set(e, f.w.now() + us.s(2));
      });
      const end = f.w.now() + us.s(16);
      let slowest = 0;
      const arrived = new Map<string, Us>();
      while (f.w.now() < end || open > 0) {
        await run(f, us.ms(50));
        if (f.w.now() > end + us.s(30)) {
          f.expectBreach.push('an operator was never answered');
          break;
        }
        for (const name of fronts) {
          const node = f.proc(name).node;
          if (!node || f.proc(name).host.frozen) continue;
          const mark = node.counts()['config_mark'] ?? 0;
          if (mark < (seen.get(name) ?? 0))
            f.expectBreach.push(`${name} slipped back from ${seen.get(name)} to ${mark}`);
          seen.set(name, mark);
          const value = node.mooring.state()?.config.value;
          const v = (value?.limits.onceKeepSeconds ?? 1000) - 1000;
          if (losers.has(v)) f.expectBreach.push(`the losing configuration ${v} took effect at ${name}`);
          for (const [m, a] of acked)
            if (mark < m) {
              const late = f.w.now() - Math.max(a.at, frozenUntil.get(name) ?? 0);
              if (late > us.s(2))
                f.expectBreach.push(`${name} is at ${mark}, ${us.toMs(late)} ms after ${m} was acknowledged`);
            } else if (!arrived.has(`${name}.${m}`)) {
              arrived.set(`${name}.${m}`, f.w.now() - a.at);
              slowest = Math.max(slowest, f.w.now() - a.at);
            }
        }
      }
      if (acked.size < 3) f.expectBreach.push(`only ${acked.size} configurations were acknowledged`);
      return finish(f, { acknowledged: acked.size, losers: losers.size, slowest_spread_ms: us.toMs(slowest) });
    },
  },

  durable: {
    rule: 'an acknowledged configuration survives the loss of any one machine with a disk',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const r = f.w.rand;
      let mark = 1;
      for (let i = 0; i < 3; i++) {
        let res: { status: number; mark: number } | undefined;
        const next = { ...f.shape.config, limits: { onceKeepSeconds: 2000 + i } };
        void f.push(next, mark, `d${i}`, frontAt(f, r.int(7))).then(
          (x) => {
            res = x;
          },
          () => {
            res = { status: 0, mark };
          },
        );
        await f.until('the acknowledgement', () => res !== undefined, us.s(10));
        if (res!.status === 200) mark = res!.mark;
        // Right after the acknowledgement: power or disk of one machine, the head more often than not.
        const head = f.procs.find((p) => p.role === 'tower' && p.node?.counts()['leads'] === 1)?.name;
        const live = ofLive(f, 'tower');
        const t = head && r.int(3) > 0 ? head : live[r.int(live.length)]!;
        if (r.int(2) === 0) {
          f.kill(t, 'power');
          await run(f, us.ms(200 + r.int(1500)));
          f.start(t);
        } else f.replace(t, `tower${9 - i}`, `127.77.3.${9 - i}`);
        await f.until(
          'three towers in the view again',
          () => {
            const p = f.procs.find((x) => x.role === 'tower' && x.node?.counts()['leads'] === 1);
            const v = p?.node?.mooring.marked();
            return (
              v !== undefined &&
              v.members.length === 3 &&
              v.members.every((m) => f.procs.some((x) => x.role === 'tower' && x.host.alive && x.node?.id === m.id))
            );
          },
          us.s(25),
        );
        let got: { status: number; body: Record<string, unknown> } | undefined;
        void f.http(frontAt(f, r.int(7)), 'GET', `${root}/config`).then(
          (x) => {
            got = x;
          },
          () => {
            got = { status: 0, body: {} };
          },
        );
        await f.until('a read of the configuration', () => got !== undefined, us.s(10));
        const value = (got!.body['config'] as { limits?: { onceKeepSeconds?: number } } | undefined)?.limits
          ?.onceKeepSeconds;
        if (got!.status !== 200) f.expectBreach.push(`round ${i}: no agreed configuration (${got!.status})`);
        else if (Number(got!.body['mark']) < mark || (res!.status === 200 && value !== 2000 + i))
          f.expectBreach.push(`round ${i}: acknowledged mark ${mark} is gone, ${String(got!.body['mark'])} is there`);
        else mark = Number(got!.body['mark']);
      }
      return finish(f, { mark });
    },
  },

  streams: {
    rule: 'a stream never skips, repeats or splices, and a cut one never looks complete',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const r = f.w.rand;
      for (const m of f.models) {
        m.faults.dieMidStream = 0.15;
        m.faults.loseResult = 0.05;
      }
      const l = f.load({ chats: 80, kept: 10, jobs: 10, over: us.s(6) });
      for (let i = 0; i < 3; i++)
        f.w.at(f.w.now() + us.s(1) + r.int(us.s(5)), () => {
          const e = fronts[r.int(7)]!;
          if (f.proc(e).host.alive) {
            f.kill(e);
            f.w.at(f.w.now() + us.s(1), () => f.start(e));
          }
        });
      await settleLoad(f, l);
      const out = finish(f);
      if (f.callers.summary.cut === 0) out.breaches.push('no stream was cut: the scenario shows nothing');
      return out;
    },
  },

  urgent: {
    rule: 'urgent work is never starved: borrowed shares are returned first',
    run: async (seed, shape, log) => {
      const extra = {
        kind: 'model',
        weight: 3,
        urgent: true,
        reserve: 0.5,
        timeLeftMs: 2000,
        expectedMs: 300,
        maxTokens: 12,
      };
      const f = await fleet.open({
        seed,
        shape,
        log,
        perToken: us.ms(40),
        gap: us.ms(100),
        config: (c) => ({
          ...c,
          classes: { ...(c['classes'] as object), notice: extra },
          slots: { model: 4, app: 4 },
          scheduler: { holdLimitMs: 1500 },
        }),
      });
      const r = f.w.rand;
      const l = f.load({ chats: 400, kept: 0, jobs: 0, over: us.s(8) });
      const waits: Us[] = [];
      let refused = 0;
      let open = 0;
      const limit = us.ms(shape === 'lautoka' ? 2000 : 1500);
      const one = async (i: number): Promise<void> => {
        open += 1;
        const begun = f.w.now();
        const res = await f
          .http(
            frontAt(f, i),
            'POST',
            '/v1/chat/completions',
            { messages: [{ role: 'user', content: `alarm ${i} [last]` }], max_tokens: 8, stream: false },
            { 'x-thornsail-program': `u-${i}`, 'x-thornsail-class': 'notice', 'x-thornsail-time-left-ms': '2000' },
          )
          .catch(() => undefined);
        if (res?.status === 200) waits.push(f.w.now() - begun);
        else refused += 1;
        open -= 1;
      };
      for (let i = 0; i < 60; i++) f.w.at(f.w.now() + us.s(1) + r.int(us.s(7)), () => void one(i));
      await run(f, us.s(10));
      await f.until('the urgent callers to end', () => open === 0, us.s(20));
      await settleLoad(f, l);
      const sorted = [...waits].sort((a, b) => a - b);
      const out = finish(f, {
        urgent_served: waits.length,
        urgent_refused: refused,
        urgent_p50_ms: us.toMs(sorted[Math.floor(sorted.length / 2)] ?? 0),
        urgent_worst_ms: us.toMs(sorted[sorted.length - 1] ?? 0),
        crowd_rejected: f.callers.summary.rejected['busy'] ?? 0,
      });
      if (refused > 0) out.breaches.push(`${refused} urgent requests were refused under a crowd`);
      if ((sorted[sorted.length - 1] ?? 0) > limit)
        out.breaches.push(`an urgent request took ${us.toMs(sorted[sorted.length - 1]!)} ms`);
      if (out.figures['crowd_rejected'] === 0) out.breaches.push('there was no crowd: the scenario shows nothing');
      return out;
    },
  },

  closing: {
    rule: 'after a closing fault, serving is back within twelve seconds',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const l = f.load({ chats: 70, kept: 10, jobs: 80, over: us.s(26) });
      const figures: Record<string, number> = {};
      const time = async (name: string, fault: () => (() => void) | void, lasts: Us): Promise<void> => {
        const heal = fault();
        await run(f, lasts);
        heal?.();
        figures[`${name}_ms`] = us.toMs(await serving(f, us.s(12)));
      };
      await run(f, us.s(2));
      await time(
        'towers_restarted',
        () => {
          for (const t of towers) f.kill(t);
          return () => towers.forEach((t) => f.start(t));
        },
        us.s(1),
      );
      await time(
        'keepers_power_cycled',
        () => {
          for (const k of keepers) f.kill(k, 'power');
          return () => keepers.forEach((k) => f.start(k));
        },
        us.s(1),
      );
      await time('core_cut_in_two', () => f.cut(['tower1'], ['tower2', 'tower3']), us.s(4));
      await time(
        'core_cut_off',
        () =>
          f.cut(
            towers,
            f.procs.filter((p) => p.role !== 'tower').map((p) => p.name),
          ),
        us.s(5),
      );
      const zone = f.procs.filter((p) => p.host.zone === 'z2');
      await time(
        'zone_lost',
        () => {
          for (const p of zone) f.kill(p.name, 'power');
        },
        us.s(0.1),
      );
      await time(
        'zone_back',
        () => {
          for (const p of zone) f.start(p.name);
        },
        us.s(0.1),
      );
      await time(
        'all_at_once',
        () => {
          for (const p of f.procs) f.kill(p.name, 'power');
          return () => f.procs.forEach((p) => f.start(p.name));
        },
        us.s(1),
      );
      await settleLoad(f, l);
      return finish(f, figures);
    },
  },

  rolling: {
    rule: 'workers replaced one after another, machines added, seeds swapped, a store machine emptied',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const l = f.load({ chats: 60, kept: 8, jobs: 40, over: us.s(16) });
      // The three seed machines go, one by one, and an empty one takes each place at a new address.
      f.kill('pilot-edge1');
      f.kill('front-edge1');
      await run(f, us.s(2));
      f.replace('keeper1', 'keeper8', '127.77.2.8');
      await f.until(
        'the new keeper in the group',
        () => {
          const k = f.proc('pilot-edge2').node?.mooring.state()?.keepers;
          return (
            k !== undefined &&
            k.swept === k.mark &&
            k.members.length === 3 &&
            k.members.some((m) => m.at.startsWith('127.77.2.8'))
          );
        },
        us.s(30),
      );
      for (const p of f.procs)
        p.seeds = [f.proc('pilot-edge2'), f.proc('keeper8'), f.proc('tower1')].map((x) => x.options['place'] as Place);
      f.replace('tower1', 'tower8', '127.77.3.8');
      await f.until(
        'the new tower in the view',
        () => {
          const v = f.proc('pilot-edge2').node?.mooring.marked();
          return v !== undefined && v.members.length === 3 && v.members.some((m) => m.at.startsWith('127.77.3.8'));
        },
        us.s(30),
      );
      // None of the first seeds is left; a node that restarts finds the fleet by the new ones.
      const seeds = [f.proc('pilot-edge2'), f.proc('keeper8'), f.proc('tower8')].map(
        (p) => p.options['place'] as Place,
      );
      for (const p of f.procs) p.seeds = seeds;
      f.kill('pilot-edge5');
      f.start('pilot-edge5');
      f.kill('front-edge5');
      f.start('front-edge5');
      // An edge machine is added, and serves.
      f.addEdge(8);
      await f.until('the added front to serve', () => f.proc('front-edge8').node?.ready().ok === true, us.s(10));
      // A store machine is emptied: with a spare its records move, without one the group shrinks to two.
      let safe = false;
      const ask = async (method: string): Promise<void> => {
        const x = await f.http(frontAt(f, 2), method, `${root}/drain/keeper2`).catch(() => undefined);
        if (x?.body['safe'] === true) safe = true;
      };
      void ask('POST');
      await f.until(
        'keeper2 safe to remove',
        () => {
          void ask('GET');
          return safe;
        },
        us.s(30),
      );
      f.kill('keeper2', 'disk');
      await run(f, us.s(1));
      const unserved = (): number => f.callers.summary.rejected['no_worker'] ?? 0;
      const before = unserved();
      const meanwhile = f.load({ chats: 20, kept: 2, jobs: 30, over: us.s(4) });
      for (let i = 0; i < 3; i++) {
        await replaceWorker(f, oneToLeave(f, true), i);
        await run(f, us.s(1));
      }
      await serving(f, us.s(12));
      await settleLoad(f, l);
      await settleLoad(f, meanwhile);
      const none = unserved() - before;
      const out = finish(f, { no_worker: none, replaced: f.platform.leftAt.size });
      if (out.figures['replaced'] !== 3) out.breaches.push(`${out.figures['replaced']} workers were replaced, not 3`);
      if (none > 0) out.breaches.push(`${none} requests found no worker though there always were some`);
      return out;
    },
  },

  storm: {
    rule: 'many faults of any kind, one after another, under a heavier load and a rough network',
    run: async (seed, shape, log) => {
      const f = await fleet.open({
        seed,
        shape,
        log,
        capacity: shape === 'lautoka' ? 900 : 2000,
        config: patch({ '*model': { budgetTokens: 1500 } }),
      });
      const r = f.w.rand;
      f.w.rough(0.01 + r.next() * 0.04, us.ms(5));
      for (const m of f.models) {
        m.faults.dieMidStream = 0.03;
        m.faults.loseResult = 0.02;
      }
      for (const a of f.apps) a.faults.loseResult = 0.05;
      const l = f.load({ chats: 150, kept: 20, jobs: 150, over: us.s(24) });
      const until = f.w.now() + us.s(24);
      let lostDisk = false;
      while (f.w.now() < until) {
        await run(f, us.ms(300) + r.int(us.ms(1200)));
        const all = f.procs.map((p) => p.name);
        const p = f.proc(all[r.int(all.length)]!);
        const k = r.int(6);
        // One machine with a disk at a time, as promised; edges as they come.
        const core = f.procs.filter((x) => x.role === 'tower' || x.role === 'keeper');
        const calm = core.every((x) => x.host.alive && !x.host.frozen);
        const isCore = p.role === 'tower' || p.role === 'keeper';
        if (isCore && !calm) continue;
        if (k <= 1 && p.host.alive) {
          f.kill(p.name, 'power');
          f.w.at(f.w.now() + r.int(us.s(2)), () => f.start(p.name));
        } else if (k === 2 && p.host.alive && !p.host.frozen) f.freeze(p.name, us.ms(200) + r.int(us.s(3)));
        else if (k === 3) {
          const heal = f.cut(
            [p.name],
            all.filter((x) => x !== p.name && r.int(2) === 0),
          );
          f.w.at(f.w.now() + r.int(us.s(3)), heal);
        } else if (k === 4 && !lostDisk && calm) {
          lostDisk = true;
          const x = core[r.int(core.length)]!;
          f.kill(x.name, 'disk');
          f.w.at(f.w.now() + r.int(us.s(1)), () => f.start(x.name));
        } else if (k === 5)
          void f
            .push(
              { ...f.shape.config, limits: { onceKeepSeconds: 1000 + r.int(9000) } },
              1 + r.int(3),
              `s${f.w.now()}`,
              frontAt(f, r.int(7)),
            )
            .catch(() => undefined);
      }
      f.w.rough(0, 0);
      await run(f, us.s(4));
      const back = await serving(f, us.s(12));
      await settleLoad(f, l);
      return finish(f, { back_ms: us.toMs(back) });
    },
  },

  random: {
    rule: 'two faults of any kind in one run',
    run: async (seed, shape, log) => {
      const f = await fleet.open({ seed, shape, log });
      const r = f.w.rand;
      const l = f.load({ chats: 50, kept: 8, jobs: 50, over: us.s(10) });
      const all = f.procs.map((p) => p.name);
      const some = (): string => all[r.int(all.length)]!;
      const disks = new Set<string>();
      const faults: (() => void)[] = [
        () => {
          const p = some();
          if (f.proc(p).host.alive) {
            f.kill(p, 'power');
            f.w.at(f.w.now() + r.int(us.s(3)), () => f.start(p));
          }
        },
        () => {
          const p = some();
          if (f.proc(p).host.alive && !f.proc(p).host.frozen) f.freeze(p, us.ms(300) + r.int(us.s(4)));
        },
        () => {
          const a = all.filter(() => r.int(2) === 0);
          const b = all.filter((x) => !a.includes(x));
          const heal = f.cut(a, b);
          f.w.at(f.w.now() + r.int(us.s(4)), heal);
        },
        () => {
          const k = [...keepers, ...towers][r.int(6)]!;
          if (disks.size === 0 && f.proc(k).host.alive) {
            disks.add(k);
            f.kill(k, 'disk');
            f.w.at(f.w.now() + r.int(us.s(2)), () => f.start(k));
          }
        },
        () => f.platform.leave(oneToLeave(f).id),
        () => {
          f.w.rough(r.next() * 0.2, r.int(us.ms(30)));
          f.w.at(f.w.now() + us.s(3), () => f.w.rough(0, 0));
        },
        () => {
          f.proc(some()).host.skew = (r.int(2) === 0 ? 1 : -1) * us.s(r.int(10_000_000));
        },
        () => {
          f.w.slow(us.ms(r.int(60)));
          f.w.at(f.w.now() + us.s(3), () => f.w.slow(0));
        },
        () =>
          void f
            .push({ ...f.shape.config, slots: { model: 8 + r.int(8), app: 16 } }, 1, 'r', frontAt(f, r.int(7)))
            .catch(() => undefined),
      ];
      const n = 2 + r.int(2);
      for (let i = 0; i < n; i++) f.w.at(f.w.now() + r.int(us.s(8)), faults[r.int(faults.length)]!);
      await run(f, us.s(13));
      const back = await serving(f, us.s(12));
      await settleLoad(f, l);
      return finish(f, { back_ms: us.toMs(back) });
    },
  },
};
