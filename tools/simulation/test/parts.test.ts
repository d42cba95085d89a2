import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { dissemination, relayTree, type Dissemination } from '@thornsail/dissemination';
import { invariant, duration } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { failureDetector, ring } from '@thornsail/failure-detector';
import { rpc } from '@thornsail/rpc';
import { lease, leaseVoter, type Lease } from '@thornsail/leases';
import { world, type Host } from '@thornsail/simulation';

const open = (seed: number): ReturnType<typeof world.open> => {
  invariant.clear();
  return world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
};

test('durable store: what was acknowledged survives power loss; torn and half-written files show', async () => {
  for (let seed = 1; seed <= 20; seed++) {
    const w = open(seed);
    const h = w.host('127.0.0.1', 'z1');
    const acked = new Map<string, number>();
    const write = async (): Promise<void> => {
      const durable = await durableStore.open(w.runtime(h).disk);
      for (let m = 1; m < 200; m++)
        for (const name of ['a/b', 'c*.d']) {
          await durable.write(name, m, { m });
          acked.set(name, m);
        }
    };
    void write();
    await w.run(duration.ms(20 + w.rand.int(60)));
    w.kill(h, 'power');
    w.start(h);
    h.files.set('a%2Fb.000000009999', 'torn');
    let got: { durable: Awaited<ReturnType<typeof durableStore.open>>; a: number; c: number } | undefined;
    void (async () => {
      const durable = await durableStore.open(w.runtime(h).disk);
      got = {
        durable,
        a: (await durable.read<{ m: number }>('a/b'))?.value.m ?? 0,
        c: (await durable.read<{ m: number }>('c*.d'))?.value.m ?? 0,
      };
    })();
    await w.run(w.now() + duration.s(1));
    assert.ok(got!.a >= (acked.get('a/b') ?? 0) && got!.c >= (acked.get('c*.d') ?? 0), `seed ${seed}`);
    assert.is(got!.durable.counts().torn, 1);
    assert.ok([...h.files.keys()].length <= 6, 'old versions pile up');
  }
});

test('ring and tree: every node has its watchers, every relay is reached, whatever the roster', () => {
  for (let n = 2; n <= 40; n++) {
    const all = Array.from({ length: n }, (_, i) => ({ id: `n${i}`, address: `127.0.0.${i}:1` }));
    for (const x of all) assert.is(new Set(ring.watchers(all, x.id, 3).map((y) => y.id)).size, Math.min(3, n - 1));
    const seen = new Set<string>(['n0']);
    const todo = ['n0'];
    for (let id = todo.pop(); id !== undefined; id = todo.pop())
      for (const r of relayTree.neighbours(all, id, 3)) {
        assert.ok(
          relayTree.neighbours(all, r.id, 3).some((y) => y.id === id),
          'the tree is not the same from both ends',
        );
        if (!seen.has(r.id)) {
          seen.add(r.id);
          todo.push(r.id);
        }
      }
    assert.is(seen.size, n);
  }
});

test('failure detector: a silent node is suspected within 1.5 s; a frozen watcher reports none on waking', async () => {
  const w = open(3);
  const all = Array.from({ length: 9 }, (_, i) => ({
    id: `n${i}`,
    address: `127.0.0.${i + 1}:1`,
    incarnation: 1,
    host: w.host(`127.0.0.${i + 1}`, 'z1'),
  }));
  const accused = new Map<string, Set<string>>();
  for (const x of all)
    void rpc.open(w.runtime(x.host), x.address).then((p) =>
      failureDetector.open({
        runtime: w.runtime(x.host),
        rpc: p,
        self: () => x,
        members: () => all,
        onSuspected: (l) => {
          for (const s of l) accused.set(s.id, (accused.get(s.id) ?? new Set()).add(x.id));
        },
      }),
    );
  await w.run(duration.s(3));
  assert.is(accused.size, 0);
  w.freeze(all[4]!.host);
  await w.run(duration.s(4.6));
  assert.equal([...accused.keys()], ['n4']);
  assert.is(accused.get('n4')!.size, 3);
  accused.clear();
  w.thaw(all[4]!.host);
  await w.run(duration.s(7));
  assert.equal(
    [...accused.values()].flatMap((s) => [...s]).filter((by) => by === 'n4'),
    [],
  );
});

const relays = async (
  seed: number,
  n: number,
): Promise<{
  w: ReturnType<typeof open>;
  nodes: { id: string; host: Host; b: Dissemination }[];
  dead: Set<string>;
}> => {
  const w = open(seed);
  const dead = new Set<string>();
  const list = Array.from({ length: n }, (_, i) => ({ id: `n${i}`, address: `127.0.0.${i + 1}:1` }));
  const nodes: { id: string; host: Host; b: Dissemination }[] = [];
  for (const x of list) {
    const host = w.host(x.address.split(':')[0]!, 'z1');
    const runtime = w.runtime(host);
    void rpc.open(runtime, x.address).then((p) =>
      nodes.push({
        id: x.id,
        host,
        b: dissemination.open({
          runtime,
          rpc: p,
          self: x.id,
          isLeaf: false,
          relays: () => list.filter((r) => !dead.has(r.id)),
          parent: () => undefined,
          fallbacks: () => [],
          admits: (name) => !dead.has(name.split('/')[1] ?? ''),
        }),
      }),
    );
  }
  await w.run(duration.ms(10));
  return { w, nodes, dead };
};
test('dissemination: news reaches all within 2 s past a relay not known to be dead; marks never go back', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const { w, nodes } = await relays(seed, 20);
    w.kill(nodes[w.rand.int(5)]!.host, 'process');
    const from = nodes.find((x) => x.host.alive)!;
    for (let m = 1; m <= 10; m++) {
      from.b.put('order', m, { m });
      await w.run(w.now() + duration.ms(40));
    }
    await w.run(w.now() + duration.s(2));
    for (const x of nodes) if (x.host.alive) assert.is(x.b.get('order')?.version, 10, `seed ${seed}: ${x.id}`);
    from.b.put('order', 4, { m: 4 });
    assert.is(from.b.get('order')?.version, 10);
  }
});
test('dissemination: news of a dead node does not come back from siblings that were slower to drop it', async () => {
  const { w, nodes, dead } = await relays(5, 8);
  nodes[0]!.b.put('load/n3', 7, { x: 1 });
  await w.run(w.now() + duration.s(2));
  assert.ok(nodes.every((x) => x.b.get('load/n3')));
  dead.add('n3');
  for (const x of nodes.slice(0, 4)) x.b.retain((k) => k !== 'load/n3');
  await w.run(w.now() + duration.s(4));
  for (const x of nodes.slice(0, 4)) assert.is(x.b.get('load/n3'), undefined);
});

test('watch: one holder at a time though holders freeze and voters restart; the mark only grows', async () => {
  for (let seed = 1; seed <= 15; seed++) {
    const w = open(seed);
    const voters = [1, 2, 3].map((i) => ({ host: w.host(`127.0.3.${i}`, `z${i}`), at: `127.0.3.${i}:1` }));
    const bootVoter = (v: { host: Host; at: string }): void => {
      const runtime = w.runtime(v.host);
      void rpc.open(runtime, v.at).then((p) => leaseVoter.open({ runtime, rpc: p }));
    };
    voters.forEach(bootVoter);
    const duties: { d: Lease; host: Host }[] = [];
    const won: number[] = [];
    for (let i = 1; i <= 4; i++) {
      const host = w.host(`127.0.1.${i}`, 'z1');
      const runtime = w.runtime(host);
      void rpc.open(runtime, `127.0.1.${i}:1`).then((p) =>
        duties.push({
          host,
          d: lease.open({
            runtime,
            rpc: p,
            name: 'sweep',
            holder: `n${i}`,
            voters: () => voters.map((v) => v.at),
            onAcquired: (m) => won.push(m),
          }),
        }),
      );
    }
    const r = w.rand;
    for (let i = 0; i < 6; i++)
      w.scheduleAt(duration.s(4) + r.int(duration.s(20)), () => {
        const x = duties[r.int(4)]!;
        if (!x.host.frozen) {
          w.freeze(x.host);
          w.scheduleAt(w.now() + r.int(duration.s(5)), () => w.thaw(x.host));
        }
      });
    w.scheduleAt(duration.s(9), () => {
      const v = voters[r.int(3)]!;
      w.kill(v.host, 'power');
      w.scheduleAt(w.now() + duration.ms(300), () => {
        w.start(v.host);
        bootVoter(v);
      });
    });
    let held = 0;
    while (w.now() < duration.s(30)) {
      await w.run(w.now() + duration.ms(25));
      const n = duties.filter((x) => x.d.holds()).length;
      assert.ok(n <= 1, `seed ${seed}: ${n} holders at once`);
      held += n;
    }
    assert.ok(held > 600, `seed ${seed}: the duty was vacant most of the time`);
    assert.equal(
      [...won].sort((a, b) => a - b),
      won,
      'a mark was given twice or went back',
    );
    assert.is(new Set(won).size, won.length);
  }
});
test.run();
