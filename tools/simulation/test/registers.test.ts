import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  registers,
  store,
  sweep,
  type Group,
  type Registers,
  type Store,
  type SweepResult,
} from '@thornsail/register-store';
import { fault, invariant, time, duration } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc, type Rpc } from '@thornsail/rpc';
import { world, type Host } from '@thornsail/simulation';

type Op = {
  id: string;
  key: string;
  from: number;
  to: number;
  saw: string[] | null;
  ok: boolean;
  reads?: boolean;
};

/**
 * Linearizable: every result is a prefix of the last value, in real-time order, each id at most once. A read is a
 * prefix, too: it shows all that ended before it began, and nothing that began after it ended.
 */
const check = (ops: Op[], last: Map<string, string[]>): string[] => {
  const out: string[] = [];
  for (const [key, list] of last) {
    if (new Set(list).size !== list.length) out.push(`${key}: an append took effect twice`);
    const reads = ops.filter((x) => x.key === key && x.ok && x.reads);
    for (const o of reads) {
      const n = o.saw!.length;
      if (o.saw!.join() !== list.slice(0, n).join()) out.push(`${key}: a read saw what never was`);
      for (const p of ops) {
        if (p.key !== key || p === o || !p.ok) continue;
        const at = p.reads ? p.saw!.length - 1 : list.indexOf(p.id);
        if (p.to < o.from && at >= n) out.push(`${key}: a read missed ${p.id}, which ended before it`);
        if (!p.reads && o.to < p.from && at < n) out.push(`${key}: a read saw ${p.id} before it began`);
      }
    }
    for (const o of ops.filter((x) => x.key === key && x.ok && !x.reads)) {
      const at = list.indexOf(o.id);
      if (at < 0) {
        out.push(`${key}: an acknowledged append is lost`);
        continue;
      }
      if (o.saw!.join() !== list.slice(0, at).join()) out.push(`${key}: ${o.id} saw what was never before it`);
      for (const p of ops)
        if (p.key === key && p.ok && !p.reads && p.to < o.from && list.indexOf(p.id) > at)
          out.push(`${key}: ${p.id} ended before ${o.id} began, yet follows it`);
    }
  }
  return out;
};

const history = async (
  seed: number,
  o: { faults: boolean; regroup: boolean; mixed?: boolean; fresh?: boolean },
): Promise<{ problems: string[]; done: number; unknown: number; reads: number; opened: number }> => {
  /** With `fresh`, new keys that two or three edges come upon at about the same time. */
  const keys = o.fresh ? 24 : 3;
  /** Nothing is opened for a while after a store did not answer. */
  const span = duration.s(o.fresh ? 12 : 3);
  invariant.clear();
  // With faults the disk is slower than the network, or a missing sync would never show.
  const w = world.open({
    seed,
    zoneDelay: duration.ms(1.5),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    ...(o.faults ? { diskTime: duration.ms(12) } : {}),
  });
  const places = [1, 2, 3, 4].map((i) => ({
    host: w.host(`127.0.2.${i}`, `z${i}`),
    at: `127.0.2.${i}:7101`,
    id: `k${i}`,
  }));
  const boot = async (h: Host, at: string, id: string): Promise<void> => {
    const runtime = w.runtime(h);
    const p = await rpc.open(runtime, at);
    await store.open({ runtime, rpc: p, durable: await durableStore.open(runtime.disk), freshId: id });
  };
  for (const k of places) void boot(k.host, k.at, k.id);
  const members = (ids: number[]): Group['members'] => ids.map((i) => ({ id: `k${i}`, at: `127.0.2.${i}:7101` }));
  let group: Group = { version: 1, members: members([1, 2, 3]) };
  // An edge hears of a new group late, and meanwhile uses the old one.
  const old = group;
  const lag = [0, 1, 2].map((e) => (e === 0 || !o.regroup ? 0 : w.rand.int(duration.s(3))));
  const edges: Registers[] = [];
  const hosts: Host[] = [];
  const rpcs: Rpc[] = [];
  for (let e = 0; e < 3; e++) {
    const h = w.host(`127.0.1.${e}`, `z${e + 1}`);
    hosts.push(h);
    const runtime = w.runtime(h);
    void rpc.open(runtime, `127.0.1.${e}:7101`).then((p) => {
      rpcs[e] = p;
      const near = (id: string): number => (o.mixed && id === `k${e + 1}` ? 0 : 1);
      edges[e] = registers.open({
        runtime,
        rpc: p,
        clientId: `edge${e}`,
        distance: near,
        group: () => (w.now() < lag[e]! ? old : group),
      });
    });
  }
  await w.run(duration.ms(50));
  const ops: Op[] = [];
  const r = w.rand;
  let open = 0;
  let blackouts = o.faults ? 2 : 0;
  /** All stores lose power right after an acknowledgement. */
  const blackout = (): void => {
    blackouts -= 1;
    for (const k of places.slice(0, 3))
      if (k.host.alive) {
        w.kill(k.host, 'power');
        w.scheduleAt(w.now() + duration.ms(50), () => {
          w.start(k.host);
          void boot(k.host, k.at, k.id);
        });
      }
  };
  if (o.fresh)
    for (const e of edges)
      void e
        .change(
          'warm',
          (_v, x) => ({ stored: { value: 1, expiresAt: x.max + duration.s(9999) }, result: 0 }),
          duration.ms(40),
        )
        .catch(() => undefined);
  const pace = span / keys;
  for (let i = 0; i < 60; i++) {
    const e = r.int(3);
    const no = o.fresh ? i % keys : r.int(3);
    const key = `key${no}`;
    w.scheduleAt(duration.ms(50) + (o.fresh ? no * pace + r.int(duration.ms(8)) : r.int(span)), () => {
      const op: Op = { id: `a${i}`, key, from: w.now(), to: Infinity, saw: null, ok: false };
      ops.push(op);
      open += 1;
      edges[e]!.change(
        key,
        (v, x) => {
          const list = (v as string[] | undefined) ?? [];
          return { stored: { value: [...list, op.id], expiresAt: x.max + duration.s(9999) }, result: list };
        },
        duration.ms(700),
        { expectAbsent: o.fresh === true },
      )
        .then(
          (saw) => {
            op.saw = saw;
            op.ok = true;
            op.to = w.now();
            if (blackouts > 0 && r.int(8) === 0) blackout();
          },
          (err) => {
            assert.is(fault.info(err).code, 'no-majority');
          },
        )
        .finally(() => {
          open -= 1;
        });
    });
  }
  // Reads of several keys, reservations some time before a change, and extensions in between.
  const wall = w.runtime(w.host('127.0.8.8', 'z1')).clock.wallTime;
  const all = Array.from({ length: keys }, (_, k) => `key${k}`);
  const look = (edge: Registers, some: string[]): void => {
    const from = w.now();
    edge.readMany(some, duration.ms(700)).then(
      (lists) => {
        for (const [i, key] of some.entries()) {
          const saw = (lists[i] as string[] | undefined) ?? [];
          ops.push({ id: 'a read', key, from, to: w.now(), saw, ok: true, reads: true });
        }
      },
      () => undefined,
    );
  };
  if (o.mixed)
    for (let i = 0; i < 60; i++) {
      const [e, what, key] = [r.int(3), r.int(4), all[r.int(keys)]!];
      w.scheduleAt(duration.ms(50) + r.int(span), () => {
        const edge = edges[e]!;
        if (what === 0) void edge.reserve(key, duration.ms(500)).catch(() => undefined);
        else if (what === 1)
          void edge.extend(all, wall() + duration.s(9999 + i), duration.ms(500)).catch(() => undefined);
        else look(edge, what === 2 ? all : [key]);
      });
    }
  // Every other history has a network that loses, doubles and reorders.
  if (o.faults && seed % 2 === 0) {
    w.setFrameFaults(0.05, duration.ms(10));
    w.scheduleAt(span + duration.s(2), () => w.setFrameFaults(0, 0));
  }
  if (o.faults)
    for (let i = 0; i < 5; i++)
      w.scheduleAt(r.int(span), () => {
        const k = places[r.int(3)]!;
        if (!k.host.alive) return;
        if (r.int(3) === 0) {
          w.freeze(k.host);
          w.scheduleAt(w.now() + r.int(duration.ms(600)), () => w.thaw(k.host));
          return;
        }
        w.kill(k.host, 'power');
        w.scheduleAt(w.now() + r.int(duration.ms(500)), () => {
          w.start(k.host);
          void boot(k.host, k.at, k.id);
        });
      });
  const { clock } = w.runtime(w.host('127.0.8.9', 'z1'));
  const pass = (all: boolean): Promise<SweepResult> =>
    sweep.pass({
      clock,
      rpc: rpcs[0]!,
      registers: edges[0]!,
      group,
      afterGroupChange: all,
      pause: 0,
      shouldContinue: () => true,
    });
  if (o.fresh) {
    // The group is swept, filled and then changed again: 4 joins, 1 leaves, comes back with its old disk, 2 leaves.
    const groups = o.regroup
      ? [
          [1, 2, 3, 4],
          [2, 3, 4],
          [1, 2, 3, 4],
          [1, 3, 4],
          [1, 3],
          [1, 3, 2],
        ]
      : [];
    const sweeps = async (): Promise<void> => {
      let [mark, swept] = [1, 1];
      for (let i = 0; w.now() < span + duration.s(2); i++) {
        const r = await pass(swept !== mark);
        if (r.complete) swept = mark;
        const next = groups[mark - 1];
        if (r.complete && next && i % 3 === 2) group = { version: ++mark, members: members(next) };
        await time.sleep(clock, duration.ms(60));
      }
    };
    w.scheduleAt(duration.ms(100), () => void sweeps());
    if (o.regroup && seed % 3 > 0) w.setFrameFaults(0.03, duration.ms(8));
    w.scheduleAt(span + duration.s(2), () => w.setFrameFaults(0, 0));
  } else if (o.regroup) {
    // Add k4, settle every key under the new mark, take k1 out, settle again.
    const step = async (): Promise<void> => {
      group = { version: 2, members: members([1, 2, 3, 4]) };
      for (const k of all) await edges[0]!.settleKey(k, duration.s(3));
      group = { version: 3, members: members([2, 3, 4]) };
      for (const k of all) await edges[0]!.settleKey(k, duration.s(3));
      w.kill(places[0]!.host, 'disk');
    };
    w.scheduleAt(duration.ms(900), () => void step());
    // Two edges each miss another store, so that their majorities differ.
    const heal = [w.partition([hosts[1]!], [places[2]!.host]), w.partition([hosts[2]!], [places[1]!.host])];
    w.scheduleAt(duration.s(5), () => heal.forEach((h) => h()));
  }
  await w.run(span + duration.s(3));
  const last = new Map<string, string[]>();
  for (const k of all)
    void edges[r.int(3)]!.read(k, duration.s(4)).then((v) => last.set(k, (v as string[] | undefined) ?? []));
  await w.run(span + duration.s(8));
  assert.is(open, 0);
  assert.is(last.size, keys, 'the registers could not be read at the end');
  return {
    problems: [...check(ops, last), ...invariant.breaches()],
    done: ops.filter((x) => x.ok && !x.reads).length,
    unknown: ops.filter((x) => !x.ok).length,
    reads: ops.filter((x) => x.reads).length,
    opened: edges.reduce((a, e) => a + e.counts().opened, 0),
  };
};

test('the checker itself finds a lost, a doubled and a reordered append', () => {
  const op = (id: string, from: number, to: number, saw: string[]): Op => ({ id, key: 'k', from, to, saw, ok: true });
  assert.is(check([op('a', 0, 1, [])], new Map([['k', []]])).length, 1);
  assert.is(check([op('a', 0, 1, [])], new Map([['k', ['a', 'a']]])).length, 1);
  assert.ok(check([op('a', 0, 1, ['b']), op('b', 2, 3, [])], new Map([['k', ['b', 'a']]])).length > 0);
  assert.is(check([op('a', 0, 1, []), op('b', 2, 3, ['a'])], new Map([['k', ['a', 'b']]])).length, 0);
});
test('register histories are linearizable without faults', async () => {
  for (let s = 1; s <= 10; s++) {
    const h = await history(s, { faults: false, regroup: false });
    assert.equal(h.problems, [], `seed ${s}`);
    assert.is(h.unknown, 0);
  }
});
test('register histories are linearizable with stores losing power and freezing', async () => {
  let done = 0;
  for (let s = 1; s <= 40; s++) {
    const h = await history(s, { faults: true, regroup: false });
    assert.equal(h.problems, [], `seed ${s}`);
    done += h.done;
  }
  assert.ok(done > 40 * 20, `only ${done} appends were acknowledged`);
});
test('register histories are linearizable while the group changes and its old member is lost', async () => {
  for (let s = 1; s <= 30; s++) {
    const h = await history(s, { faults: false, regroup: true });
    assert.equal(h.problems, [], `seed ${s}`);
    assert.ok(h.done > 30);
  }
});
test('with reservations, reads of many keys from the nearest store and extensions in between: the same', async () => {
  for (const [faults, regroup] of [
    [false, false],
    [true, false],
    [false, true],
  ] as const) {
    let reads = 0;
    let done = 0;
    for (let s = 1; s <= 24; s++) {
      const h = await history(s, { faults, regroup, mixed: true });
      assert.equal(h.problems, [], `seed ${s}`);
      reads += h.reads;
      done += h.done;
    }
    assert.ok(reads > 24 * 30 && done > 24 * 20, `${reads} reads, ${done} appends`);
  }
});
test('openings of new keys from several edges at once, with lost power, freezes and changes of the group', async () => {
  for (const [faults, regroup, mixed] of [
    [false, false, false],
    [false, false, true],
    [true, false, true],
    [false, true, true],
  ] as const) {
    let opened = 0;
    let done = 0;
    for (let s = 1; s <= 40; s++) {
      const h = await history(s, { faults, regroup, mixed, fresh: true });
      assert.equal(h.problems, [], `seed ${s}, faults ${faults}, regroup ${regroup}`);
      opened += h.opened;
      done += h.done;
    }
    assert.ok(done > 40 * (faults ? 20 : 30), `${done} changes`);
    assert.ok(opened > 40 * (faults || regroup ? 1 : 5), `${opened} openings`);
  }
});
test('the checker itself finds a read that is behind, ahead, or of what never was', () => {
  const op = (id: string, from: number, to: number, saw: string[], reads = false): Op => ({
    ...{ id, key: 'k', from, to, saw, ok: true },
    ...(reads ? { reads } : {}),
  });
  const [a, b] = [op('a', 0, 1, []), op('b', 4, 5, ['a'])];
  const last = new Map([['k', ['a', 'b']]]);
  assert.equal(check([a, b, op('r', 2, 3, ['a'], true), op('r', 2, 6, ['a', 'b'], true)], last), []);
  assert.is(check([a, b, op('r', 2, 3, [], true)], last).length, 1);
  assert.is(check([a, b, op('r', 2, 3, ['a', 'b'], true)], last).length, 1);
  assert.ok(check([a, b, op('r', 2, 3, ['b'], true)], last).length > 0);
  assert.is(check([a, b, op('r', 4, 5, ['a', 'b'], true), op('r', 6, 7, ['a'], true)], last).length, 2);
});

/** Stores by number, one proposer, and a story told in simulated time. */
const stage = async (
  seed: number,
  tell: (x: {
    w: ReturnType<typeof world.open>;
    regs: Registers;
    boot: (i: number) => Promise<Store>;
    hosts: Host[];
    group: (mark: number, ids: number[]) => void;
    pass: (all: boolean) => Promise<SweepResult>;
    wait: (t: number) => Promise<void>;
  }) => Promise<void>,
): Promise<void> => {
  invariant.clear();
  const w = world.open({ seed, zoneDelay: duration.ms(1), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
  const at = (i: number): string => `127.0.2.${i}:7101`;
  const hosts = [1, 2, 3, 4].map((i) => w.host(`127.0.2.${i}`, 'z1'));
  const boot = async (i: number): Promise<Store> => {
    const runtime = w.runtime(hosts[i - 1]!);
    const p = await rpc.open(runtime, at(i));
    return store.open({ runtime, rpc: p, durable: await durableStore.open(runtime.disk), freshId: `k${i}` });
  };
  let group: Group = { version: 0, members: [] };
  const runtime = w.runtime(w.host('127.0.1.1', 'z1'));
  let done = '';
  const story = async (): Promise<void> => {
    const p = await rpc.open(runtime, '127.0.1.1:7101');
    const regs = registers.open({ runtime, rpc: p, clientId: 'e', group: () => group });
    await tell({
      w,
      regs,
      boot,
      hosts,
      group: (mark, ids) => {
        group = { version: mark, members: ids.map((i) => ({ id: `k${i}`, at: at(i) })) };
      },
      pass: (all) =>
        sweep.pass({
          clock: runtime.clock,
          rpc: p,
          registers: regs,
          group,
          afterGroupChange: all,
          pause: 0,
          shouldContinue: () => true,
        }),
      wait: (t) =>
        new Promise((fin) => {
          w.scheduleAt(w.now() + t, fin);
        }),
    });
    done = 'yes';
  };
  story().catch((e) => {
    done = String(e);
  });
  await w.run(duration.s(5000));
  assert.is(done, 'yes');
  assert.equal(invariant.breaches(), []);
};

test('the sweep brings what a minority of the new group holds onto its majority', () =>
  stage(8, async ({ w, regs, boot, hosts, group, pass }) => {
    // store3 is down while this is written: only 1 and 2 hold it.
    for (const i of [1, 2, 4]) await boot(i);
    group(1, [1, 2, 3]);
    for (let i = 0; i < 300; i++)
      await regs.change(`k${i}`, (_v, x) => ({ stored: { value: i, expiresAt: x.max + duration.s(9999) }, result: 0 }));
    await boot(3);
    group(2, [1, 2, 3, 4]);
    const a = await pass(true);
    group(3, [2, 3, 4]);
    const b = await pass(true);
    // What the first pass brought to all needs no second one.
    assert.ok(a.complete && b.complete && a.seen === 300 && b.seen === 0, JSON.stringify([a, b]));
    w.kill(hosts[0]!, 'disk');
    w.kill(hosts[1]!, 'disk');
    for (let i = 0; i < 300; i++) assert.is(await regs.read(`k${i}`, duration.s(2)), i);
  }));

test('a sweep lists only ranges that differ, mends them, and then finds nothing', () =>
  stage(9, async ({ w, regs, boot, hosts, group, pass, wait }) => {
    for (const i of [1, 2, 3]) await boot(i);
    group(1, [1, 2, 3]);
    const write = (k: string): Promise<number> =>
      regs.change(k, (_v, x) => ({ stored: { value: k, expiresAt: x.max + duration.s(99_999) }, result: 0 }));
    for (let i = 0; i < 200; i++) await write(`k${i}`);
    await wait(duration.s(1));
    assert.equal(await pass(false).then((r) => [r.complete, r.ranges, r.seen]), [true, 0, 0]);
    w.kill(hosts[2]!, 'power');
    for (let i = 0; i < 3; i++) await write(`late${i}`);
    w.start(hosts[2]!);
    await boot(3);
    const r = await pass(false);
    assert.ok(r.complete && r.ranges >= 1 && r.ranges <= 3 && r.repaired === 3, JSON.stringify(r));
    await wait(duration.s(1));
    assert.is((await pass(false)).ranges, 0);
    w.kill(hosts[0]!, 'disk');
    for (let i = 0; i < 3; i++) assert.is(await regs.read(`late${i}`, duration.s(2)), `late${i}`);
  }));

test('an expired register is absent, is dropped only when every store holds the same, and does not come back', () =>
  stage(10, async ({ w, regs, boot, hosts, group, pass, wait }) => {
    for (const i of [1, 2, 3]) await boot(i);
    group(1, [1, 2, 3]);
    const write = (v: string, keep: number): Promise<number> =>
      regs.change('k', (_v, x) => ({ stored: { value: v, expiresAt: x.max + keep }, result: 0 }));
    await write('old', duration.s(3000));
    await wait(duration.s(1));
    // store3 misses the last value, which expires first.
    w.kill(hosts[2]!, 'power');
    await write('new', duration.s(10));
    await wait(duration.s(700));
    assert.is(await regs.read('k'), undefined);
    assert.is((await pass(false)).purged, 0, 'dropped while a store with an older copy was away');
    w.start(hosts[2]!);
    await boot(3);
    assert.is(await regs.read('k', duration.s(2)), undefined);
    await pass(false);
    await wait(duration.s(700));
    assert.is((await pass(false)).purged, 1);
    assert.is(await regs.read('k', duration.s(2)), undefined);
    for (const i of [1, 2, 3]) {
      w.kill(hosts[i - 1]!, 'power');
      w.start(hosts[i - 1]!);
      assert.is((await boot(i)).size(), 0, 'a copy is left on disk');
    }
  }));
test.run();
