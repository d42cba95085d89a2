import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fault, invariant, duration } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc } from '@thornsail/rpc';
import { consensus, consensusErrors, type Consensus, type Snapshot } from '@thornsail/consensus';
import { world, type Host, type World } from '@thornsail/simulation';

type List = { list: string[] };
type Coordinator = { at: string; host: Host; v: Consensus<List> | null; log: Snapshot<List>[] };

const run = async (
  seed: number,
  faults: 'none' | 'any',
): Promise<{
  acked: string[];
  refused: Set<string>;
  coordinators: Coordinator[];
  marks: Map<number, string>;
  problems: string[];
  now: number;
}> => {
  invariant.clear();
  const w = world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
  const at = [1, 2, 3].map((i) => `127.0.3.${i}:7101`);
  const marks = new Map<number, string>();
  const problems: string[] = [];
  const coordinators: Coordinator[] = at.map((a, i) => ({
    at: a,
    host: w.host(`127.0.3.${i + 1}`, `z${i + 1}`),
    v: null,
    log: [],
  }));
  const boot = async (t: Coordinator): Promise<void> => {
    const runtime = w.runtime(t.host);
    const inc = t.host.incarnation;
    let last = -1;
    const v = await consensus.open<List>({
      runtime,
      rpc: await rpc.open(runtime, t.at),
      durable: await durableStore.open(runtime.disk),
      founders: at,
      initial: { list: [] },
      onCommit: (m) => {
        // One order for all: a mark stands for one state, whoever delivers it, and never goes back.
        const text = `${m.term}:${m.state.list.join()}`;
        if ((marks.get(m.index) ?? text) !== text) problems.push(`mark ${m.index} was delivered as two states`);
        marks.set(m.index, text);
        if (m.index <= last) problems.push(`${t.at} delivered ${m.index} after ${last}`);
        last = m.index;
        t.log.push(m);
      },
    });
    if (t.host.incarnation === inc) t.v = v;
  };
  for (const t of coordinators) void boot(t);
  await w.run(duration.s(3));
  const r = w.rand;
  const acked: string[] = [];
  const refused = new Set<string>();
  for (let i = 0; i < 80; i++)
    w.scheduleAt(duration.s(3) + r.int(duration.s(12)), () => {
      const t = coordinators[r.int(3)]!;
      if (!t.host.alive || !t.v) return;
      const id = `x${i}`;
      t.v
        .propose((s) => ({ state: { list: [...s.list, id] }, result: id }))
        .then(
          () => acked.push(id),
          (e) => {
            if (consensusErrors.is(e, 'not-leader')) refused.add(id);
          },
        );
    });
  if (faults === 'any' && seed % 2 === 0) {
    w.scheduleAt(duration.s(3), () => w.setFrameFaults(0.05, duration.ms(10)));
    w.scheduleAt(duration.s(16), () => w.setFrameFaults(0, 0));
  }
  if (faults === 'any')
    for (let i = 0; i < 6; i++)
      w.scheduleAt(duration.s(3) + r.int(duration.s(11)), () => {
        const t = coordinators[r.int(3)]!;
        const k = r.int(3);
        if (k === 0 && t.host.alive) {
          w.kill(t.host, 'power');
          t.v = null;
          w.scheduleAt(w.now() + r.int(duration.s(2)), () => {
            w.start(t.host);
            void boot(t);
          });
        } else if (k === 1 && t.host.alive && !t.host.frozen) {
          w.freeze(t.host);
          w.scheduleAt(w.now() + r.int(duration.s(3)), () => w.thaw(t.host));
        } else {
          const heal = w.partition(
            [t.host],
            coordinators.filter((x) => x !== t).map((x) => x.host),
          );
          w.scheduleAt(w.now() + r.int(duration.s(3)), heal);
        }
      });
  await w.run(duration.s(24));
  return { acked, refused, coordinators, marks, problems: [...problems, ...invariant.breaches()], now: w.now() };
};
const final = (coordinators: Coordinator[]): string[] =>
  coordinators
    .map((t) => t.v?.committed())
    .filter((x): x is Snapshot<List> => x !== undefined)
    .sort((a, b) => b.index - a.index)[0]!.state.list;

test('coordinators form, one leads, all deliver one order', async () => {
  for (let s = 1; s <= 10; s++) {
    const x = await run(s, 'none');
    assert.equal(x.problems, [], `seed ${s}`);
    assert.is(x.coordinators.filter((t) => t.v?.role() === 'leader').length, 1);
    assert.equal([...final(x.coordinators)].sort(), [...x.acked].sort());
    assert.is(new Set(x.coordinators.map((t) => t.v!.committed()!.index)).size, 1);
  }
});
test('power loss, freezes, cuts: what was acknowledged stays, what was refused never shows, one order', async () => {
  let acked = 0;
  for (let s = 1; s <= 40; s++) {
    const x = await run(s, 'any');
    assert.equal(x.problems, [], `seed ${s}`);
    const f = final(x.coordinators);
    for (const id of x.acked) assert.ok(f.includes(id), `seed ${s}: acknowledged ${id} is lost`);
    for (const id of x.refused) assert.not.ok(f.includes(id), `seed ${s}: ${id} was not taken, yet it is there`);
    assert.is(new Set(f).size, f.length);
    assert.is(x.coordinators.filter((t) => t.v?.role() === 'leader').length, 1, `seed ${s}: no single head in the end`);
    acked += x.acked.length;
  }
  assert.ok(acked > 200, `only ${acked} acknowledged`);
});
test('a head lost while it adds a newcomer does not leave the coordinators without one for ever', async () => {
  for (let seed = 1; seed <= 6; seed++) {
    invariant.clear();
    const w = world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
    const at = [1, 2, 3, 4].map((i) => `127.0.3.${i}:7101`);
    const hosts = at.map((_, i) => w.host(`127.0.3.${i + 1}`, 'z1'));
    const all: Consensus<List>[] = [];
    const boot = async (i: number, founders: string[]): Promise<void> => {
      const runtime = w.runtime(hosts[i]!);
      const own = { runtime, rpc: await rpc.open(runtime, at[i]!), durable: await durableStore.open(runtime.disk) };
      all[i] = await consensus.open<List>({ ...own, founders, initial: { list: [] }, onCommit: () => undefined });
    };
    for (const i of [0, 1, 2]) void boot(i, at.slice(0, 3));
    await w.run(duration.s(3));
    const head = (): number => all.findIndex((v, i) => hosts[i]!.alive && v.role() === 'leader');
    // One loses its disk; an empty one comes at a new address.
    const lost = (head() + 1) % 3;
    w.kill(hosts[lost]!, 'disk');
    void boot(3, []);
    await w.run(duration.s(4));
    const h = head();
    const other = [0, 1, 2].find((i) => i !== h && i !== lost)!;
    // The order that adds it reaches nobody but the head itself.
    const heal = w.partition([hosts[h]!], [hosts[other]!, hosts[3]!]);
    const add = { id: all[3]!.id, at: at[3]! };
    all[h]!.propose((s, members) => ({ state: s, members: [...members, add], result: 0 })).catch(() => undefined);
    await w.run(duration.s(7));
    heal();
    await w.run(duration.s(14));
    let seq = 0;
    const now = head();
    assert.ok(now >= 0, `seed ${seed}: no head after ten seconds`);
    void all[now]!.propose((s) => ({ state: { list: [...s.list, 'x'] }, result: 0 })).then((r) => (seq = r.index));
    await w.run(duration.s(16));
    assert.ok(seq > 0, `seed ${seed}: nothing can be ordered`);
    assert.equal(invariant.breaches(), []);
  }
});
type Trio = { w: World; hosts: Host[]; all: Consensus<List>[]; boot: (i: number) => Promise<void>; head: () => number };
/** Three coordinators that have formed a view. */
const trio = async (seed: number): Promise<Trio> => {
  invariant.clear();
  const w = world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
  const at = [1, 2, 3].map((i) => `127.0.3.${i}:7101`);
  const hosts = at.map((_, i) => w.host(`127.0.3.${i + 1}`, `z${i + 1}`));
  const all: Consensus<List>[] = [];
  const boot = async (i: number): Promise<void> => {
    const runtime = w.runtime(hosts[i]!);
    const own = { runtime, rpc: await rpc.open(runtime, at[i]!), durable: await durableStore.open(runtime.disk) };
    all[i] = await consensus.open<List>({ ...own, founders: at, initial: { list: [] }, onCommit: () => undefined });
  };
  for (const i of [0, 1, 2]) void boot(i);
  await w.run(duration.s(3));
  return { w, hosts, all, boot, head: () => all.findIndex((v, i) => hosts[i]!.alive && v.role() === 'leader') };
};
/** What the leader reads, confirmed by a majority. */
const agreedOf = async (x: Trio): Promise<Snapshot<List>> => {
  let read: Snapshot<List> | undefined;
  void x.all[x.head()]!.readLinearizable().then((version) => (read = version));
  await x.w.run(x.w.now() + duration.ms(400));
  assert.ok(read, 'no agreed state');
  return read;
};
test('coordinators that have all started again have a head soon, and one of them only', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const x = await trio(seed);
    const { w } = x;
    const before = x.all[0]!.committed()!.term;
    const power = seed % 2 === 0;
    for (const h of x.hosts) w.kill(h, power ? 'power' : 'process');
    await w.run(duration.s(4));
    // Processes of a fleet do not start in the same moment.
    const starts = x.hosts.map(() => duration.s(4) + w.rand.int(duration.ms(50)));
    for (const [i, h] of x.hosts.entries())
      w.scheduleAt(starts[i]!, () => {
        w.start(h);
        void x.boot(i);
      });
    await w.run(Math.max(...starts) + duration.ms(350));
    assert.is(x.all.filter((v) => v.role() === 'leader').length, 1, `seed ${seed}: one head within 0.35 s`);
    assert.is(x.all[x.head()]!.committed()?.term, before + 1, `seed ${seed}: the first attempt succeeded`);
    await w.run(duration.s(8));
    assert.is(x.all[x.head()]!.committed()!.term, before + 1, `seed ${seed}: it stayed`);
    assert.equal(invariant.breaches(), []);
  }
});
test('two coordinators that start again while the third is gone have a head within a second', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const x = await trio(seed);
    const { w } = x;
    for (const h of x.hosts) w.kill(h, 'power');
    const back = [0, 1, 2].filter((i) => i !== seed % 3);
    await w.run(duration.s(4));
    for (const i of back) {
      w.start(x.hosts[i]!);
      void x.boot(i);
    }
    await w.run(duration.s(5));
    assert.ok(x.head() >= 0, `seed ${seed}: no head after a second`);
    assert.equal(invariant.breaches(), []);
  }
});
test('coordinators that start again leave a head that lives where it is', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const x = await trio(seed);
    const { w } = x;
    const head = x.head();
    const before = x.all[head]!.committed()!.term;
    const others = [0, 1, 2].filter((i) => i !== head);
    // One after the other, and both in one moment.
    for (const some of [[others[0]!], [others[1]!], others]) {
      for (const i of some) w.kill(x.hosts[i]!, 'process');
      await w.run(w.now() + duration.ms(300));
      for (const i of some) {
        w.start(x.hosts[i]!);
        void x.boot(i);
      }
      await w.run(w.now() + duration.s(2));
      assert.is(x.head(), head, `seed ${seed}`);
      assert.is(x.all[head]!.committed()!.term, before, `seed ${seed}: its view goes on`);
    }
    assert.equal(invariant.breaches(), []);
  }
});
test('a leader whose disk stalls for seconds is replaced within two and confirms nothing later', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const x = await trio(seed);
    const { w } = x;
    const stalled = x.head();
    // A write takes 2.4 to 12 s.
    x.hosts[stalled]!.disk.syncTimeFactor = 12_000;
    const outcomes: string[] = [];
    const propose = (at: number, text: string): void =>
      void x.all[at]!.propose((s) => ({ state: { list: [...s.list, text] }, result: 0 })).then(
        () => outcomes.push(`${text} confirmed`),
        (e) => outcomes.push(`${text} ${fault.info(e).code}`),
      );
    propose(stalled, 'stalled');
    await w.run(w.now() + duration.s(2));
    assert.equal(outcomes, ['stalled outcome-unknown'], `seed ${seed}: it has its answer`);
    const next = x.all.findIndex((v, i) => i !== stalled && v.role() === 'leader');
    assert.ok(next >= 0, `seed ${seed}: no other leader within two seconds`);
    propose(next, 'next');
    await w.run(w.now() + duration.s(3));
    x.hosts[stalled]!.disk.syncTimeFactor = 1;
    await w.run(w.now() + duration.s(30));
    assert.equal(outcomes, ['stalled outcome-unknown', 'next confirmed'], `seed ${seed}`);
    assert.equal(
      x.all.map((v) => v.committed()?.state.list.includes('next')),
      [true, true, true],
      `seed ${seed}`,
    );
    assert.equal(invariant.breaches(), []);
  }
});
test('coordinators that all start again five times in a row keep what was confirmed', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const x = await trio(seed);
    const { w } = x;
    const confirmed: string[] = [];
    for (let life = 1; life <= 5; life++) {
      const text = `life${life}`;
      x.all[x.head()]!.propose((s) => ({ state: { list: [...s.list, text] }, result: 0 })).then(
        () => confirmed.push(text),
        () => undefined,
      );
      await w.run(w.now() + duration.ms(20) + w.rand.int(duration.ms(200)));
      for (const h of x.hosts) w.kill(h, w.rand.int(2) ? 'power' : 'process');
      await w.run(w.now() + duration.ms(100));
      for (const [i, h] of x.hosts.entries())
        w.scheduleAt(w.now() + w.rand.int(duration.ms(300)), () => {
          w.start(h);
          void x.boot(i);
        });
      await w.run(w.now() + duration.s(2));
      assert.ok(x.head() >= 0, `seed ${seed}: no leader two seconds after start ${life}`);
      const { state } = await agreedOf(x);
      for (const one of confirmed) assert.ok(state.list.includes(one), `seed ${seed}: ${one} is lost after ${life}`);
    }
    assert.ok(confirmed.length > 2, `seed ${seed}: ${confirmed.length} confirmed`);
    assert.equal(invariant.breaches(), []);
  }
});
test.run();
