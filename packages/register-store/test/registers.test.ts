// Registers (§6.2 to §6.4): reservations, reads of many keys, extensions, what is sent, and dropping.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { world, type Host, type World } from '@thornsail/simulation';
import {
  ballot,
  registers,
  store,
  sweep,
  type Ballot,
  type Group,
  type Held,
  type Registers,
  type Store,
  type SweepResult,
  type Write,
} from '@thornsail/register-store';
import { fault, invariant, duration, type Microseconds } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc, validate, type Rpc } from '@thornsail/rpc';

type Stage = {
  w: World;
  hosts: Host[];
  stores: Map<number, Store>;
  boot: (i: number) => Promise<void>;
  group: (mark: number, ids: number[]) => void;
  edge: (n: number, near?: (id: string) => number) => Promise<{ regs: Registers; host: Host; rpc: Rpc }>;
  pass: (e: { regs: Registers; rpc: Rpc }, all: boolean) => Promise<SweepResult>;
  wait: (t: Microseconds) => Promise<void>;
};
const at = (i: number): string => `127.0.2.${i}:7101`;
/** Stores by number, edges by number, and a story told in simulated time. A store is in the zone of its number. */
const stage = async (
  seed: number,
  tell: (x: Stage) => Promise<void>,
  o: { grace?: Microseconds; diskTime?: Microseconds } = {},
): Promise<void> => {
  invariant.clear();
  const w = world.open({
    seed,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    ...(o.diskTime ? { diskTime: o.diskTime } : {}),
  });
  const hosts = [1, 2, 3, 4].map((i) => w.host(`127.0.2.${i}`, `z${i}`));
  const stores = new Map<number, Store>();
  let group: Group = { mark: 0, members: [] };
  const s: Stage = {
    w,
    hosts,
    stores,
    boot: async (i) => {
      const runtime = w.runtime(hosts[i - 1]!);
      const p = await rpc.open(runtime, at(i));
      const durable = await durableStore.open(runtime.disk);
      stores.set(
        i,
        await store.open({ runtime, rpc: p, durable, freshId: `k${i}`, ...('grace' in o ? { grace: o.grace! } : {}) }),
      );
    },
    group: (mark, ids) => {
      group = { mark, members: ids.map((i) => ({ id: `k${i}`, at: at(i) })) };
    },
    edge: async (n, near) => {
      const host = w.host(`127.0.1.${n}`, `z${n}`);
      const runtime = w.runtime(host);
      const p = await rpc.open(runtime, `127.0.1.${n}:7101`);
      const regs = registers.open({ runtime, rpc: p, by: `e${n}`, group: () => group, ...(near ? { near } : {}) });
      return { regs, host, rpc: p };
    },
    pass: (e, all) =>
      sweep.pass({
        clock: w.runtime(w.host('127.0.8.8', 'z9')).clock,
        rpc: e.rpc,
        registers: e.regs,
        group,
        all,
        pause: 0,
        still: () => true,
      }),
    wait: (t) =>
      new Promise((fin) => {
        w.scheduleAt(w.now() + t, fin);
      }),
  };
  let done = '';
  const story = async (): Promise<void> => {
    for (const i of [1, 2, 3]) await s.boot(i);
    s.group(1, [1, 2, 3]);
    await tell(s);
    done = 'yes';
  };
  story().catch((e) => {
    done = e instanceof Error ? (e.stack ?? e.message) : String(e);
  });
  await w.run(duration.s(20_000));
  assert.is(done, 'yes');
  assert.equal(invariant.breaches(), []);
};
const put =
  (value: unknown, keep: Microseconds = duration.s(9999)) =>
  (_v: unknown, x: { max: Microseconds }): Write<void> => ({ held: { value, until: x.max + keep }, result: undefined });
const append =
  (id: string) =>
  (v: unknown, x: { max: Microseconds }, was: Microseconds): Write<string[]> => {
    const list = (v as string[] | undefined) ?? [];
    return { held: { value: [...list, id], until: Math.max(was, x.max + duration.s(60)) }, result: list };
  };
const codeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'ok',
    (e) => fault.info(e).code ?? String(e),
  );
/** Frames and time that one thing takes. */
const cost = async (
  w: World,
  work: () => Promise<unknown>,
): Promise<{ frames: number; bytes: number; took: Microseconds }> => {
  const [frames, bytes, from] = [w.frames(), w.zoneBytes(), w.now()];
  await work();
  return { frames: w.frames() - frames, bytes: w.zoneBytes() - bytes, took: w.now() - from };
};
const wallAt = (w: World, after: Microseconds): Microseconds =>
  w.runtime(w.host('127.0.8.7', 'z9')).clock.wall() + after;

test('a reserved key takes one round to change; a new one and one that another edge had', () =>
  stage(1, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.change('warm', put(1));
    for (const key of ['new', 'taken']) {
      if (key === 'taken') await b.regs.change(key, append('b'));
      await a.regs.reserve(key);
      await wait(duration.s(1));
      const rounds = a.regs.counts().rounds;
      let saw: string[] = [];
      const c = await cost(w, async () => (saw = await a.regs.change(key, append('a'))));
      assert.is(a.regs.counts().rounds, rounds, 'a prepare was needed');
      assert.ok(c.took < duration.ms(5), `${key} took ${c.took}`);
      assert.equal(saw, key === 'taken' ? ['b'] : []);
    }
    // The promise is used up and renewed; a second reservation costs nothing.
    assert.is((await cost(w, () => a.regs.reserve('new'))).frames, 0);
  }));
test('a reservation that another edge has come before falls back, and nothing is lost or doubled', async () => {
  for (let seed = 1; seed <= 10; seed++)
    await stage(seed, async ({ edge, wait }) => {
      const [a, b] = [await edge(1), await edge(2)];
      await a.regs.reserve('k');
      await b.regs.reserve('k');
      const saw = await Promise.all([a.regs.change('k', append('a')), b.regs.change('k', append('b'))]);
      await wait(duration.s(1));
      const end = (await a.regs.read('k')) as string[];
      assert.equal([...end].sort(), ['a', 'b']);
      assert.equal(saw[0], end.slice(0, end.indexOf('a')));
      assert.equal(saw[1], end.slice(0, end.indexOf('b')));
      assert.ok(a.regs.counts().conflicts + b.regs.counts().conflicts > 0);
    });
});
test('a reservation without a majority fails in time, and one that stores lost with their disks is tried again', () =>
  stage(2, async ({ w, hosts, edge, boot, group }) => {
    const a = await edge(1);
    await a.regs.reserve('k');
    for (const i of [0, 1]) w.kill(hosts[i]!, 'power');
    const from = w.now();
    assert.is(await codeOf(a.regs.reserve('other', duration.ms(300))), 'no-majority');
    assert.ok(w.now() - from < duration.ms(800));
    for (const i of [0, 1]) {
      w.start(hosts[i]!);
      await boot(i + 1);
    }
    assert.equal(await a.regs.change('k', append('a')), []);
    group(2, [1, 2, 3]);
    assert.equal(await a.regs.change('k', append('b')), ['a'], 'a promise of an older group counted');
  }));

test('many keys are read with one frame to each store, their values from the nearest alone', () =>
  stage(3, async ({ w, edge }) => {
    const writer = await edge(2);
    const big = 'v'.repeat(4000);
    const keys = Array.from({ length: 30 }, (_, i) => `k${i}`);
    for (const key of keys) await writer.regs.change(key, put({ key, big }));
    // The edge of zone 1 reads from the store of zone 1: no value crosses a zone.
    const a = await edge(1, (id) => (id === 'k1' ? 0 : 1));
    await a.regs.reachable();
    let got: unknown[] = [];
    const c = await cost(w, async () => (got = await a.regs.readMany([...keys, 'missing'])));
    assert.equal(got, [...keys.map((key) => ({ key, big })), undefined]);
    assert.is(c.frames, 6);
    assert.ok(c.bytes < 30 * 200, `${c.bytes} bytes between zones for 30 values of 4000`);
    assert.ok(c.took < duration.ms(4));
    const one = await cost(w, () => a.regs.read('k7'));
    assert.ok(one.bytes < 1000 && one.frames === 6, JSON.stringify(one));
    assert.equal(await a.regs.readMany([]), []);
    assert.is(a.regs.counts().fetched, 0);
  }));
test('a nearest store that is down, frozen or behind costs a few milliseconds, never the newest value', () =>
  stage(4, async ({ w, hosts, edge, boot, wait }) => {
    const writer = await edge(2);
    const a = await edge(1, (id) => Number(id.slice(1)));
    const keys = Array.from({ length: 5 }, (_, i) => `k${i}`);
    for (const key of keys) await writer.regs.change(key, append('old'));
    await a.regs.readMany(keys);
    w.kill(hosts[0]!, 'power');
    for (const key of keys) await writer.regs.change(key, append('new'));
    const all = keys.map(() => ['old', 'new']);
    let got: unknown[] = [];
    const down = await cost(w, async () => (got = await a.regs.readMany(keys)));
    assert.equal(got, all);
    assert.ok(down.took < duration.ms(12), `${down.took} with the nearest one down`);
    const next = await cost(w, () => a.regs.readMany(keys));
    assert.ok(next.took < duration.ms(5), `${next.took}: one that was slow just now is not waited for again`);
    w.start(hosts[0]!);
    await boot(1);
    await wait(duration.s(3));
    assert.equal(await a.regs.readMany(keys), all, 'the store that came back is behind');
    await wait(duration.s(1));
    // It was mended by that read: it alone can give the value now, with any other for the majority.
    w.kill(hosts[1]!, 'power');
    assert.equal(await a.regs.readMany(keys), all);
    w.start(hosts[1]!);
    await boot(2);
    await wait(duration.s(3));
    w.freeze(hosts[0]!);
    const frozen = await cost(w, () => a.regs.readMany(keys));
    assert.ok(frozen.took < duration.ms(12), `${frozen.took} with the nearest one frozen`);
    const change = await cost(w, () => writer.regs.change('k1', append('x')));
    assert.ok(change.took < duration.ms(12), `${change.took} for a change`);
    w.thaw(hosts[0]!);
  }));
test('keys of which the stores differ are settled, the others of the same read are not', () =>
  stage(5, async ({ w, hosts, edge }) => {
    const a = await edge(1);
    for (const k of ['x', 'y', 'z']) await a.regs.change(k, append('1'));
    // The accept of a second append reaches store3 alone: the other two lose power before it comes.
    const b = await edge(3);
    await b.regs.reserve('y');
    const heal = w.partition([b.host], [hosts[0]!, hosts[1]!]);
    assert.is(await codeOf(b.regs.change('y', append('2'), duration.ms(200))), 'no-majority');
    heal();
    const rounds = a.regs.counts().rounds;
    const [x, y, z] = (await a.regs.readMany(['x', 'y', 'z'])) as string[][];
    assert.equal([x, z], [['1'], ['1']]);
    assert.equal(y!.slice(0, 1), ['1']);
    assert.equal(await a.regs.read('y'), y, 'a second read sees something else');
    // One prepare that learns of the other's ballot, and one above it.
    assert.ok(a.regs.counts().rounds - rounds <= 2, JSON.stringify(a.regs.counts()));
  }));

test('what is sent back: no value to who has it or did not want it; a group is named by its mark', () =>
  stage(6, async ({ w, edge }) => {
    const a = await edge(1);
    const b = await edge(2);
    const big = 'v'.repeat(20_000);
    await a.regs.change('k', put(big));
    const again = await cost(w, () => a.regs.change('k', put(big)));
    assert.ok(again.bytes > 40_000 && again.bytes < 43_000, `${again.bytes} bytes for two copies of 20 000`);
    // The other edge has never seen it: one value comes, from one store; then it has it.
    await b.regs.reachable();
    const first = await cost(w, () => b.regs.reserve('k'));
    assert.ok(first.bytes < 22_000, `${first.bytes} bytes for one value`);
    await a.regs.change('small', put(1));
    const small = await cost(w, () => a.regs.change('small', put(2)));
    assert.is(small.frames, 6);
    assert.ok(small.bytes < 1100, `${small.bytes} bytes between zones for a change of a small value`);
  }));
test('one store that is slow or cut off does not slow the others, and gets the value all the same', () =>
  stage(7, async ({ w, hosts, edge, wait }) => {
    const a = await edge(1);
    await a.regs.change('k', put(0));
    hosts[2]!.disk.hangsUntil = w.now() + duration.s(3);
    for (let i = 1; i <= 20; i++) {
      const c = await cost(w, () => a.regs.change('k', put(i)));
      assert.ok(c.took < duration.ms(8), `change ${i} took ${c.took}`);
    }
    await wait(duration.s(4));
    w.kill(hosts[0]!, 'power');
    assert.is(await a.regs.read('k'), 20);
    const b = await edge(3);
    assert.is(await b.regs.read('k'), 20);
  }));

test('a store whose disk hangs holds a bounded number of messages, and is brought up to date afterwards', () =>
  stage(17, async ({ w, hosts, stores, edge, wait, pass }) => {
    const a = await edge(1);
    await a.regs.change('warm', put(0));
    hosts[2]!.disk.hangsUntil = w.now() + duration.s(5);
    let most = 0;
    const work: Promise<unknown>[] = [];
    for (let i = 0; i < 2500; i++) {
      work.push(a.regs.change(`k${i}`, put(i)));
      if (i % 10 === 0) await wait(duration.ms(10));
      most = Math.max(most, stores.get(3)!.counts().waiting);
    }
    await Promise.all(work);
    assert.ok(most > 1500 && most <= 2000, `${most} messages waited`);
    assert.ok(stores.get(3)!.counts().refused > 0);
    await wait(duration.s(5));
    assert.is(stores.get(3)!.counts().waiting, 0);
    assert.ok((await pass(a, false)).complete);
    assert.is(stores.get(3)!.size(), 2501);
    w.kill(hosts[0]!, 'power');
    const b = await edge(2);
    const keys = Array.from({ length: 2500 }, (_, i) => `k${i}`);
    assert.equal(await b.regs.readMany(keys, duration.s(5)), [...keys.keys()]);
  }));
test('an extension keeps values for longer with one frame to each store, and says which keys have none', () =>
  stage(8, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    for (const k of ['x', 'y', 'z']) await a.regs.change(k, put(k, duration.s(10)));
    await a.regs.change('long', put('long', duration.s(5000)));
    await a.regs.change('removed', put('r', duration.s(10)));
    await a.regs.change('removed', () => ({ held: null, result: undefined }));
    let missing: string[] = [];
    const c = await cost(w, async () => {
      missing = await a.regs.extend(['x', 'none', 'y', 'long', 'removed'], wallAt(w, duration.s(100)));
    });
    assert.equal(missing, ['none', 'removed']);
    assert.is(c.frames, 6);
    await wait(duration.s(20));
    assert.equal(await b.regs.readMany(['x', 'y', 'z', 'long']), ['x', 'y', undefined, 'long']);
    // Shorter ones change nothing; who has ended is not brought back.
    assert.equal(await b.regs.extend(['x', 'z'], wallAt(w, duration.s(1))), ['z']);
    await wait(duration.s(60));
    assert.equal(await b.regs.readMany(['x', 'y', 'z', 'long']), ['x', 'y', undefined, 'long']);
    await wait(duration.s(30));
    assert.equal(await b.regs.readMany(['x', 'y', 'z', 'long']), [undefined, undefined, undefined, 'long']);
  }));
test('an extension holds through any majority: reads, changes with old knowledge, and a change of the group', () =>
  stage(9, async ({ w, hosts, edge, wait, boot, group, pass }) => {
    const a = await edge(1);
    const b = await edge(2);
    await a.regs.change('k', put('v', duration.s(10)));
    await a.regs.change('gone', put('w', duration.s(10)));
    // Edge 2 remembers the value with its old end; then the extension reaches stores 1 and 2 only.
    await b.regs.change('k', put('v', duration.s(10)));
    const heal = w.partition([a.host], [hosts[2]!]);
    assert.equal(await a.regs.extend(['k', 'gone'], wallAt(w, duration.s(4000))), []);
    await wait(duration.s(30));
    heal();
    // Each majority in turn, by a store without power.
    for (const i of [0, 1, 2]) {
      w.kill(hosts[i]!, 'power');
      assert.is(await a.regs.read('k'), 'v', `without store ${i + 1}`);
      w.start(hosts[i]!);
      await boot(i + 1);
    }
    // What edge 2 remembers says that the value has ended: it must ask before it takes it for absent.
    let saw: unknown = 'not called';
    let until = 0;
    await b.regs.change('k', (v, _x, was) => {
      saw = v;
      until = was;
      return { held: { value: v, until: 1 }, result: undefined };
    });
    assert.is(saw, 'v');
    assert.ok(until > wallAt(w, duration.s(3900)), 'the writer was not told of the extension');
    assert.is(await a.regs.read('k'), 'v', 'a shorter end cut what was promised');
    // Stores 1 and 2 leave one after the other: the extension has to come with what stays.
    await boot(4);
    group(2, [2, 3]);
    assert.ok((await pass(a, true)).complete);
    group(3, [2, 3, 4]);
    assert.ok((await pass(a, true)).complete);
    group(4, [3, 4]);
    assert.ok((await pass(a, true)).complete);
    for (const i of [0, 1]) w.kill(hosts[i]!, 'disk');
    assert.equal(await a.regs.readMany(['k', 'gone'], duration.s(4)), ['v', 'w']);
  }));
test('a writer that remembers an older end asks before it takes the value for absent', () =>
  stage(12, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    await b.regs.change('k', put('v', duration.s(10)));
    assert.equal(await a.regs.extend(['k'], wallAt(w, duration.s(500))), []);
    await wait(duration.s(60));
    const saw: unknown[] = [];
    const write =
      (value: string) =>
      (v: unknown, x: { max: Microseconds }): Write<void> => {
        saw.push(v);
        return { held: { value, until: x.max + duration.s(10) }, result: undefined };
      };
    await b.regs.change('k', write('w'));
    // Its own extensions it remembers: one round is enough.
    assert.equal(await b.regs.extend(['k'], wallAt(w, duration.s(2000))), []);
    await wait(duration.s(1000));
    const quick = b.regs.counts().quick;
    await b.regs.change('k', write('x'));
    assert.equal(saw, ['v', 'w']);
    assert.is(b.regs.counts().quick, quick + 1);
    assert.is(await a.regs.read('k'), 'x');
  }));
test('what is removed stays so, however long it was extended; what is written after it is a value of its own', () =>
  stage(16, async ({ w, edge, wait, pass }) => {
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.change('k', put('v', duration.s(10)));
    assert.equal(await b.regs.extend(['k'], wallAt(w, duration.s(500))), []);
    await a.regs.change('k', () => ({ held: null, result: undefined }));
    assert.is(await b.regs.read('k'), undefined);
    assert.equal(await b.regs.extend(['k'], wallAt(w, duration.s(900))), ['k']);
    let saw: unknown = 'not called';
    const quick = a.regs.counts().quick;
    await a.regs.change(
      'k',
      (v, x) => ((saw = v), { held: { value: 'w', until: x.max + duration.s(10) }, result: undefined }),
    );
    assert.equal([saw, a.regs.counts().quick], [undefined, quick + 1]);
    assert.is(await b.regs.read('k'), 'w');
    await b.regs.change('k', (v) => ((saw = v), { held: null, result: undefined }));
    assert.is(saw, 'w');
    await wait(duration.s(2000));
    await pass(a, false);
    assert.is(await a.regs.read('k'), undefined);
  }));
test('an extension that reached one store alone: what one reader was told, every later reader is told', async () => {
  let shown = 0;
  for (let seed = 1; seed <= 12; seed++)
    await stage(seed, async ({ w, hosts, edge, wait }) => {
      const a = await edge(1);
      await a.regs.change('k', put('v', duration.s(10)));
      const heal = w.partition([a.host], [hosts[1]!, hosts[2]!]);
      assert.is(await codeOf(a.regs.extend(['k'], wallAt(w, duration.s(4000)), duration.ms(300))), 'no-majority');
      heal();
      await wait(duration.s(20));
      // Reads through the three majorities, in an order by seed.
      const seen: unknown[] = [];
      const b = await edge(2);
      for (let i = 0; i < 6; i++) {
        const healOne = w.partition([b.host], [hosts[(seed + i) % 3]!]);
        // A change that leaves the value as it is tells of it just as a read does.
        const look = (): Promise<unknown> => b.regs.change('k', (v) => ({ keep: true, result: v }));
        seen.push(await (seed % 2 ? b.regs.read('k') : look()));
        healOne();
        await wait(duration.ms(100));
      }
      const first = seen.indexOf('v');
      if (first >= 0) {
        shown += 1;
        assert.ok(
          seen.slice(first).every((v) => v === 'v'),
          `${seed}: ${seen.join()}`,
        );
      }
    });
  assert.ok(shown > 6, 'no reader met the store that has the extension');
});
test('extensions that race with changes and lost stores: what was acknowledged holds', async () => {
  for (let seed = 1; seed <= 20; seed++)
    await stage(seed, async ({ w, hosts, edge, wait, boot }) => {
      const r = w.rand;
      const es = [await edge(1), await edge(2), await edge(3)];
      const keys = ['p', 'q'];
      for (const k of keys) await es[0]!.regs.change(k, append('0'));
      const most = new Map<string, Microseconds>();
      const work: Promise<unknown>[] = [];
      for (let i = 0; i < 40; i++) {
        const e = es[r.int(3)]!;
        const key = keys[r.int(2)]!;
        if (r.int(2) === 0) work.push(e.regs.change(key, append(`${i}`), duration.ms(600)).catch(() => undefined));
        else {
          const until = wallAt(w, duration.s(60 + r.int(4000)));
          const some = r.int(2) ? keys : [key];
          work.push(
            e.regs.extend(some, until, duration.ms(600)).then(
              (missing) => {
                assert.equal(missing, []);
                for (const k of some) most.set(k, Math.max(most.get(k) ?? 0, until));
              },
              () => undefined,
            ),
          );
        }
        if (i % 12 === 5) {
          const at = r.int(3);
          w.kill(hosts[at]!, 'power');
          w.scheduleAt(w.now() + r.int(duration.ms(300)), () => {
            w.start(hosts[at]!);
            void boot(at + 1);
          });
          await wait(duration.ms(400));
        }
        await wait(r.int(duration.ms(20)));
      }
      await Promise.all(work);
      await wait(duration.s(1));
      for (const k of [...keys].sort((x, y) => (most.get(x) ?? 0) - (most.get(y) ?? 0))) {
        const left = (most.get(k) ?? 0) - wallAt(w, 0);
        if (left > duration.s(2)) await wait(left - duration.s(1));
        for (let i = 0; i < 3; i++) {
          const heal = w.partition([es[1]!.host], [hosts[i]!]);
          const v = (await es[1]!.regs.read(k)) as string[] | undefined;
          assert.ok(v?.includes('0'), `seed ${seed}: ${k} ended before what was promised, without store ${i + 1}`);
          heal();
        }
      }
    });
});

test('the grace before a copy may be dropped is an option, 10 s at least', async () => {
  await stage(
    10,
    async ({ stores, edge, pass, wait, w, hosts }) => {
      const a = await edge(1);
      for (let i = 0; i < 1000; i++) await a.regs.change(`k${i}`, put(i, duration.s(15)));
      for (let i = 0; i < 5; i++) await a.regs.change(`long${i}`, put(i, duration.s(9000)));
      await a.regs.extend(['k3'], wallAt(w, duration.s(300)));
      assert.is((await pass(a, false)).purged, 0);
      await wait(duration.s(45));
      const r = await pass(a, false);
      assert.ok(r.complete && r.purged === 999 && r.seen === 0, JSON.stringify(r));
      assert.equal(
        [1, 2, 3].map((i) => stores.get(i)!.size()),
        [6, 6, 6],
      );
      assert.is(await a.regs.read('k3'), 3);
      assert.ok(stores.get(1)!.counts().longest < 400, 'one step looked at too much');
      // The ballots of what was dropped are not used again.
      assert.equal(await a.regs.change('k4', append('x')), []);
      assert.is((await pass(a, false)).seen, 0);
      w.kill(hosts[0]!, 'power');
      assert.equal(await a.regs.read('k4'), ['x']);
    },
    { grace: duration.s(20) },
  );
  for (const grace of [duration.s(9), 0, NaN, 1.5e7 + 0.5]) {
    let code = '';
    await stage(11, async () => undefined, { grace }).catch((e: { actual?: unknown }) => (code = String(e.actual)));
    assert.match(code, /grace/);
  }
});
test('a store drops only what it is told by its ballot, and what has ended by its own clock, too', () =>
  stage(
    13,
    async ({ w, hosts, stores, edge, pass, wait }) => {
      const a = await edge(1);
      for (const k of ['x', 'y', 'z']) await a.regs.change(k, put(k, duration.s(5)));
      const group = stores.get(1)!.group();
      type Due = { keys: [string, [number, string]][] };
      const ask = <T>(kind: string, body: object): Promise<T> =>
        a.rpc.request<T>(at(1), kind, { to: 'k1', group, ...body }, duration.s(1));
      const due = async (): Promise<Due['keys']> => (await ask<Due>('reg.due', { limit: 10 })).keys;
      await wait(duration.s(10));
      assert.equal(await due(), []);
      // The grace counts from the last thing that needed it: the third has one more change.
      await a.regs.change('z', put('z', duration.s(5)));
      await wait(duration.s(15));
      const keys = await due();
      assert.equal(keys.map(([k]) => k).sort(), ['x', 'y']);
      const dropped = async (body: object): Promise<number> =>
        (await ask<{ dropped: number }>('reg.drop', { wall: wallAt(w, 0), ...body })).dropped;
      const [[x, ballotOfX], [y]] = keys as [Due['keys'][0], Due['keys'][0]];
      assert.is(await dropped({ keys: [[x, [99, 'other']]] }), 0, 'another ballot');
      assert.is(
        await dropped({ keys: [[x, ballotOfX]], wall: wallAt(w, -duration.s(20)) }),
        0,
        "the sweep's wall is earlier",
      );
      assert.is(await dropped({ keys: [['z', ballotOfX]] }), 0);
      await a.regs.change(y, put('again', duration.s(500)));
      assert.is(await dropped({ keys }), 1, 'one was changed after it was listed');
      assert.is(stores.get(1)!.size(), 2);
      await wait(duration.s(30));
      // A store whose clock is behind does not agree yet.
      hosts[2]!.skew = -duration.s(300);
      assert.is((await pass(a, false)).purged, 0);
      hosts[2]!.skew = 0;
      await wait(duration.s(40));
      assert.ok((await pass(a, false)).purged >= 1);
      assert.is(await a.regs.read(y), 'again');
    },
    { grace: duration.s(15) },
  ));
test('a copy that was dropped everywhere but at one store does not hide what is written after it', async () => {
  for (let seed = 1; seed <= 6; seed++)
    await stage(
      seed,
      async ({ w, hosts, edge, pass, wait }) => {
        const a = await edge(1);
        // Many changes, so that its ballots are high.
        for (let i = 0; i < 20; i++) await a.regs.change('k', put(i, duration.s(5)));
        await wait(duration.s(40));
        // Store 3 answers what is due, and the word to drop it does not reach it.
        let heal = (): void => undefined;
        w.scheduleAt(
          w.now() + duration.ms(4) + w.rand.int(duration.ms(3)),
          () => (heal = w.partition([a.host], [hosts[2]!])),
        );
        await pass(a, false);
        heal();
        const b = await edge(2);
        await b.regs.change('k', put('again', duration.s(500)));
        for (const i of [0, 1, 2]) {
          const healOne = w.partition([b.host], [hosts[i]!]);
          assert.is(await b.regs.read('k'), 'again', `seed ${seed}, without store ${i + 1}`);
          healOne();
        }
      },
      { grace: duration.s(20) },
    );
});

const fresh = { fresh: true };
test('a new key is opened in one round, by all members; one that is there falls back to a ballot', () =>
  stage(20, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.change('warm', put(1));
    await b.regs.change('warm', put(2));
    await wait(duration.s(1));
    const c = await cost(w, () => a.regs.change('k', append('a'), duration.s(2), fresh));
    assert.equal([c.frames, a.regs.counts().opened], [6, 1]);
    assert.ok(c.took < duration.ms(5), `${c.took}`);
    assert.equal(await b.regs.read('k'), ['a']);
    assert.equal(await b.regs.change('k', append('b'), duration.s(2), fresh), ['a']);
    assert.is(b.regs.counts().opened, 0);
    // What was opened promises the next ballot, too: until another came.
    await a.regs.change('own', append('1'), duration.s(2), fresh);
    await wait(duration.s(1));
    assert.is((await cost(w, () => a.regs.change('own', append('2')))).frames, 6);
    assert.equal(await b.regs.read('own'), ['1', '2']);
  }));
test('a store that is lost, cut off or slow holds openings up once, and then none are tried for a while', async () => {
  for (const how of ['lost', 'cut', 'frozen'] as const)
    await stage(21, async ({ w, hosts, edge, wait }) => {
      const a = await edge(1);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      const took = async (key: string): Promise<Microseconds> =>
        (await cost(w, () => a.regs.change(key, append('x'), duration.s(2), fresh))).took;
      const usual = (await cost(w, () => a.regs.change('usual', append('x')))).took;
      if (how === 'lost') w.kill(hosts[2]!, 'power');
      else if (how === 'cut') w.partition([a.host], [hosts[2]!]);
      else w.freeze(hosts[2]!);
      const [first, next] = [await took('k1'), await took('k2')];
      assert.ok(first < usual + duration.ms(20), `${how}: the first took ${first}, usual is ${usual}`);
      assert.ok(next < usual + duration.ms(3), `${how}: the next took ${next}, usual is ${usual}`);
      assert.is(a.regs.counts().openings, 1);
      const reader = await edge(2);
      assert.equal(await reader.regs.read('k1'), ['x']);
    });
});
test('a promise that another edge has overtaken costs one refused round and no pause; one that is told so, none', () =>
  stage(24, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    for (const key of ['k', 'l']) {
      await a.regs.change(key, append('a'));
      await b.regs.change(key, append('b'));
    }
    await wait(duration.s(1));
    const plain = await cost(w, () => b.regs.change('l', append('b')));
    const refused = await cost(w, () => a.regs.change('k', append('a')));
    const told = await cost(w, () => a.regs.change('l', append('a'), duration.s(2), { past: 16 }));
    assert.equal([plain.frames, refused.frames, told.frames], [6, 18, 12]);
    assert.ok(refused.took < 3 * plain.took + duration.ms(1), `${refused.took} us, a usual change takes ${plain.took}`);
    assert.equal(await b.regs.read('k'), ['a', 'b', 'a']);
    assert.equal(await b.regs.read('l'), ['a', 'b', 'b', 'a']);
  }));
test('what is written once is believed from any copy, without a ballot; what nobody shows is absent', async () => {
  for (const lost of [0, 1, 2])
    await stage(23, async ({ w, hosts, edge, wait }) => {
      const a = await edge(1);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      await a.regs.change('k', put('v'), duration.s(2), fresh);
      assert.is(a.regs.counts().opened, 1);
      // Store 2 alone has this one: its opening was never decided, nor told to be.
      const heal = w.partition([a.host], [hosts[0]!, hosts[2]!]);
      await a.regs.change('alone', put('w'), duration.ms(100), fresh).catch(() => undefined);
      heal();
      w.kill(hosts[lost]!, 'power');
      const b = await edge(2);
      const { rounds } = b.regs.counts();
      const got = await b.regs.readMany(['k', 'alone', 'none'], duration.s(2), { once: true });
      assert.equal(got, ['v', lost === 1 ? undefined : 'w', undefined], `without store ${lost + 1}`);
      assert.is(b.regs.counts().rounds, rounds, 'no ballot for it');
    });
});
test('an opening that not all members took is settled before anybody is told of it', () =>
  stage(22, async ({ w, hosts, edge, wait, boot }) => {
    const a = await edge(1);
    await a.regs.change('warm', put(1));
    await wait(duration.s(1));
    // Stores 1 and 2 take it, store 3 and its proposer do not get further.
    w.partition([a.host], [hosts[2]!]);
    void a.regs.change('k', append('a'), duration.s(2), fresh).catch(() => undefined);
    await wait(duration.ms(4));
    w.kill(a.host, 'power');
    // Store 1 is not there: store 2 alone has it.
    const b = await edge(2);
    w.kill(hosts[0]!, 'power');
    assert.equal(await b.regs.read('k'), ['a']);
    assert.is(b.regs.counts().done, 1, 'it was not settled');
    w.kill(hosts[1]!, 'power');
    w.start(hosts[0]!);
    await boot(1);
    assert.equal(await b.regs.read('k'), ['a']);
  }));
test('two openings of one proposer are told apart', () =>
  stage(26, async ({ w, hosts, edge, wait }) => {
    const [a, b, c] = [await edge(1), await edge(2, (id) => (id === 'k3' ? 0 : 1)), await edge(3)];
    for (const x of [a, b, c]) await x.regs.change('warm', put(1));
    await wait(duration.s(1));
    const heal = w.partition([a.host], [hosts[0]!, hosts[1]!]);
    assert.is(await codeOf(a.regs.change('k', append('1'), duration.ms(20), fresh)), 'no-majority');
    heal();
    await wait(duration.s(1));
    void a.regs.change('k', append('2'), duration.s(2), fresh).catch(() => undefined);
    await wait(duration.ms(2));
    w.kill(a.host, 'power');
    await wait(duration.ms(2));
    assert.is(a.regs.counts().openings, 2);
    const [first, next] = [await b.regs.read('k'), await c.regs.read('k')];
    assert.equal(first, next, 'two readers were told of two values');
  }));
/** An edge that reaches some stores alone opens a key and goes no further. */
const strayed = async (s: Stage, n: number, key: string, reached: number[]): Promise<void> => {
  const e = await s.edge(n);
  await e.regs.change(`warm${n}`, put(1));
  await s.wait(duration.s(1));
  s.w.partition(
    [e.host],
    s.hosts.filter((_, i) => !reached.includes(i + 1)),
  );
  void e.regs.change(key, append(`stray${n}`), duration.s(2), fresh).catch(() => undefined);
  await s.wait(duration.ms(5));
  s.w.kill(e.host, 'power');
};
test('a store that comes back into the group with its old disk does not bring back what it held', async () => {
  let at3 = 0;
  for (let seed = 1; seed <= 8; seed++)
    await stage(seed, async (s) => {
      const { w, hosts, stores, edge, group, pass, boot, wait } = s;
      await strayed(s, 4 + seed, 'k', [3]);
      at3 += stores.get(3)!.counts().opened;
      const a = await edge(1);
      if (seed % 2) w.kill(hosts[2]!, 'power');
      group(2, [1, 2]);
      assert.ok((await pass(a, true)).complete);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      await a.regs.change('k', append('a'), duration.s(2), fresh);
      assert.is(a.regs.counts().opened, 1);
      if (seed % 2) {
        w.start(hosts[2]!);
        await boot(3);
      }
      group(3, [1, 2, 3]);
      w.kill(hosts[0]!, 'power');
      const b = await edge(2);
      assert.equal(await b.regs.read('k', duration.s(4)), ['a'], `seed ${seed}`);
      assert.ok((await pass(b, true)).complete);
      assert.equal(await b.regs.read('k', duration.s(4)), ['a']);
    });
  assert.is(at3, 8);
});
test('a newcomer takes no openings before it is filled; then it does, also after a loss of power', async () => {
  for (let seed = 1; seed <= 8; seed++)
    await stage(seed, async (s) => {
      const { w, hosts, stores, edge, group, pass, boot, wait } = s;
      const a = await edge(1);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      for (const key of ['k', 'l']) await a.regs.change(key, append('a'), duration.s(2), fresh);
      assert.is(a.regs.counts().opened, 2);
      await boot(4);
      group(2, [2, 3]);
      assert.ok((await pass(a, true)).complete);
      group(3, [2, 3, 4]);
      assert.ok((await pass(a, true)).complete);
      await strayed(s, 5, 'k', [4]);
      assert.is(stores.get(4)!.counts().opened, 0, 'an opening before it was filled');
      w.kill(hosts[1]!, 'power');
      assert.equal(await (await edge(2)).regs.read('k', duration.s(4)), ['a'], `seed ${seed}`);
      w.start(hosts[1]!);
      await boot(2);
      await wait(duration.s(3));
      assert.ok((await pass(a, false)).complete);
      for (const i of [2, 3, 4]) {
        w.kill(hosts[i - 1]!, 'power');
        w.start(hosts[i - 1]!);
        await boot(i);
      }
      await wait(duration.s(3));
      await a.regs.change('warm', put(1));
      await a.regs.change('new', append('a'), duration.s(2), fresh);
      assert.is(a.regs.counts().opened, 3);
      assert.equal(await (await edge(3)).regs.readMany(['k', 'l', 'new']), [['a'], ['a'], ['a']]);
    });
});
test('an opening at one store does not hide what the others have, however high the floor is', () =>
  stage(
    23,
    async (s) => {
      const { w, hosts, edge, pass, wait, boot } = s;
      const a = await edge(1);
      // The floor rises with a key that was changed many times.
      for (let i = 0; i < 9; i++) await a.regs.change('other', put(i, duration.s(1)));
      w.kill(hosts[2]!, 'power');
      await a.regs.change('k', put('was there'));
      w.start(hosts[2]!);
      await boot(3);
      await wait(duration.s(60));
      // As the sweep does, but without mending 'k' at store 3.
      const drop = async (): Promise<void> => {
        const group = s.stores.get(1)!.group()!;
        for (const i of [1, 2, 3]) {
          const ask = <T>(kind: string, body: object): Promise<T> =>
            a.rpc.request<T>(at(i), kind, { to: `k${i}`, group, ...body }, duration.s(1));
          const due = await ask<{ keys: [string, Ballot][]; wall: Microseconds }>('reg.due', { limit: 9 });
          await ask('reg.drop', { keys: due.keys, wall: due.wall });
        }
      };
      await drop();
      await strayed(s, 5, 'k', [2, 3]);
      assert.equal(
        [2, 3].map((i) => s.stores.get(i)!.counts().opened),
        [0, 1],
      );
      w.kill(hosts[0]!, 'power');
      assert.is(await (await edge(2)).regs.read('k', duration.s(4)), 'was there');
      w.start(hosts[0]!);
      await boot(1);
      await pass(a, false);
      await wait(duration.s(1));
      assert.is((await pass(a, false)).ranges, 0, 'the opening was not overwritten');
    },
    { grace: duration.s(10) },
  ));
test('what was opened is like any other at rest: not listed by a sweep, dropped in time, and opened again', () =>
  stage(
    24,
    async ({ edge, pass, wait, stores }) => {
      const a = await edge(1);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      for (let i = 0; i < 30; i++) await a.regs.change(`k${i}`, put(i, duration.s(5)), duration.s(2), fresh);
      const r = await pass(a, false);
      assert.equal([r.complete, r.ranges, a.regs.counts().opened], [true, 0, 30]);
      assert.equal(await a.regs.extend(['k0', 'k1'], 4e15), []);
      await wait(duration.s(40));
      assert.is((await pass(a, false)).purged, 28);
      const group = stores.get(1)!.group()!;
      const late = { to: 'k1', group, key: 'k9', op: 'x.1', ballot: [1, 'x'], next: [2, 'x'] };
      const held = { value: 'late', until: 4e15, ops: ['x.1'] };
      const q = await a.rpc.request<{ ok: boolean }>(at(1), 'reg.open', { ...late, held }, duration.s(1));
      assert.is(q.ok, false, 'an old opening came back');
      const b = await edge(2);
      await b.regs.change('warm', put(2));
      await wait(duration.s(1));
      await b.regs.change('k9', put('again'), duration.s(2), fresh);
      assert.is(b.regs.counts().opened, 1);
      assert.equal(await a.regs.readMany(['k0', 'k1', 'k9', 'k2']), [0, 1, 'again', undefined]);
    },
    { grace: duration.s(10) },
  ));

/** A store of the release before: whole groups only, one key at a time, no extensions; it keeps nothing on disk. */
const formerStore = async (w: World, host: Host, i: number): Promise<void> => {
  const runtime = w.runtime(host);
  const p = await rpc.open(runtime, at(i));
  type Copy = { promised: Ballot; accepted: Ballot; held: Held | null; touched: Microseconds };
  type Ask = { to: string; group: Group; key: string; ballot: Ballot; held: Held | null; next: Ballot | null };
  const all = new Map<string, Copy>();
  const none: Copy = { promised: [0, ''], accepted: [0, ''], held: null, touched: 0 };
  const base = { to: validate.string, group: validate.object({ mark: validate.integer }), key: validate.string };
  const answer = (key: string, copy: Copy): object => {
    all.set(key, copy);
    return { ok: true, copy, wall: runtime.clock.wall() };
  };
  p.on<Ask>('reg.prepare', validate.object({ ...base, ballot: validate.ballot }), (m) => {
    const cur = all.get(m.key) ?? none;
    if (ballot.cmp(m.ballot, cur.promised) <= 0) return { ok: false, why: 'ballot', promised: cur.promised };
    return answer(m.key, { ...cur, promised: m.ballot });
  });
  p.on<Ask>('reg.accept', validate.object({ ...base, ballot: validate.ballot }), (m) => {
    const cur = all.get(m.key) ?? none;
    if (ballot.cmp(m.ballot, cur.promised) < 0) return { ok: false, why: 'ballot', promised: cur.promised };
    return answer(m.key, { promised: m.next ?? m.ballot, accepted: m.ballot, held: m.held, touched: 1 });
  });
  p.on<Ask>('reg.read', validate.object(base), (m) => answer(m.key, all.get(m.key) ?? none));
};
test('stores of the release before take part: changes, reservations, reads of many keys, extensions', () =>
  stage(14, async ({ w, hosts, edge, wait }) => {
    for (const i of [2, 3]) {
      w.kill(hosts[i - 1]!, 'disk');
      w.start(hosts[i - 1]!);
      await formerStore(w, hosts[i - 1]!, i);
    }
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.reserve('x');
    assert.equal(await a.regs.change('x', append('1')), []);
    assert.equal(await b.regs.change('x', append('2')), ['1']);
    await b.regs.change('y', put('y', duration.s(10)));
    assert.equal(await a.regs.readMany(['x', 'none', 'y']), [['1', '2'], undefined, 'y']);
    assert.equal(await a.regs.extend(['y', 'none'], wallAt(w, duration.s(500))), ['none']);
    await wait(duration.s(100));
    w.kill(hosts[0]!, 'power');
    assert.is(await b.regs.read('y'), 'y');
  }));
test('with a store of the release before new keys are decided by ballots as before', () =>
  stage(25, async ({ w, hosts, edge }) => {
    w.kill(hosts[2]!, 'disk');
    w.start(hosts[2]!);
    await formerStore(w, hosts[2]!, 3);
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.change('warm', put(1));
    for (let i = 0; i < 5; i++) await a.regs.change(`k${i}`, append('a'), duration.s(2), fresh);
    assert.equal([a.regs.counts().opened, a.regs.counts().openings], [0, 1]);
    for (let i = 0; i < 5; i++) assert.equal(await b.regs.change(`k${i}`, append('b'), duration.s(2), fresh), ['a']);
  }));
test('proposers and sweeps of the release before are answered as they were', () =>
  stage(
    15,
    async ({ w, stores, edge, wait }) => {
      const a = await edge(1);
      await a.regs.change('k', put('v', duration.s(5)));
      await wait(duration.s(1));
      const group = stores.get(1)!.group()!;
      const ask = <T>(kind: string, body: object): Promise<T> =>
        a.rpc.request<T>(at(1), kind, { to: 'k1', group, key: 'k', ...body }, duration.s(1));
      type Old = {
        ok: boolean;
        copy: { promised: Ballot; accepted: Ballot; held: Held; touched: Microseconds };
        wall: Microseconds;
      };
      const p = await ask<Old>('reg.prepare', { ballot: [50, 'old'] });
      assert.equal([p.copy.promised, p.copy.held.value], [[50, 'old'], 'v']);
      const held = { value: 'w', until: wallAt(w, duration.s(5)), ops: ['old.1'] };
      const acc = await ask<Old>('reg.accept', { ballot: [50, 'old'], held, next: [51, 'old'] });
      assert.equal([acc.copy.promised, acc.copy.accepted, acc.copy.held], [[51, 'old'], [50, 'old'], held]);
      assert.equal((await ask<Old>('reg.read', {})).copy, acc.copy);
      const purge = (): Promise<{ ok: boolean }> => ask('reg.purge', { ballot: [50, 'old'], wall: wallAt(w, 0) });
      assert.is((await purge()).ok, false);
      await wait(duration.s(20));
      assert.is((await purge()).ok, true);
      type Refused = { ok: boolean; promised: Ballot };
      const low = await ask<Refused>('reg.prepare', { ballot: [51, 'old'] });
      assert.equal([low.ok, low.promised[0]], [false, 51], 'a ballot of what was dropped is used again');
      assert.ok((await ask<Old>('reg.prepare', { ballot: [52, 'old'] })).ok);
    },
    { grace: duration.s(10) },
  ));
test.run();
