// A configuration is in use two seconds after its acknowledgement (§7.2), by what callers get at each gateway.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Address, type Microseconds } from '@thornsail/runtime';
import { fleet, type Fleet } from '@thornsail/simulation';

const edges = [1, 2, 3, 4, 5, 6, 7];
const coordinators = ['coordinator1', 'coordinator2', 'coordinator3'];
const at = (f: Fleet, name: string): Address => f.process(name).options['http'] as Address;
/** The configuration in which a class of this name stands, and no other test class. */
const only = (f: Fleet, name: string): unknown => ({
  ...f.shape.config,
  classes: { ...(f.shape.config['classes'] as object), [name]: { kind: 'app', weight: 1 } },
});
const settled = async <T>(f: Fleet, work: Promise<T>, limit: Microseconds = duration.s(12)): Promise<T> => {
  const got: { v?: T; e?: unknown } = {};
  work.then(
    (v) => (got.v = v),
    (e: unknown) => (got.e = e),
  );
  await f.until('a result', () => 'v' in got || 'e' in got, limit);
  if ('e' in got) throw got.e;
  return got.v!;
};
/** What a caller of class `cls` gets at every gateway: its status, 0 for none. */
const served = async (f: Fleet, cls: string): Promise<number[]> => {
  const ask = (i: number): Promise<number> =>
    f
      .http(at(f, `gateway-edge${i}`), 'POST', '/v1/jobs', { i }, { 'x-thornsail-class': cls })
      .then((r) => r.status)
      .catch(() => 0);
  return settled(f, Promise.all(edges.map(ask)));
};
const start = async (shape: 'lautoka' | 'granite'): Promise<Fleet> => {
  const f = await fleet.open({ seed: 5, shape });
  const r = await settled(f, f.push(only(f, 'old'), 1, 'old'));
  assert.equal(r, { status: 200, mark: 2 });
  return f;
};

for (const shape of ['lautoka', 'granite'] as const) {
  test(`${shape}: acknowledged means that every gateway uses it`, async () => {
    const f = await start(shape);
    assert.equal(
      await served(f, 'old'),
      edges.map(() => 200),
    );
  });

  test(`${shape}: a core cut off from every edge acknowledges nothing, and the edges serve on`, async () => {
    const f = await start(shape);
    const heal = f.partition(
      coordinators,
      f.processes.filter((p) => p.role !== 'coordinator').map((p) => p.name),
    );
    const r = await settled(
      f,
      f.http(at(f, 'coordinator2'), 'PUT', '/thornsail/v1/config', only(f, 'new'), {
        'if-match': '2',
        'push-id': 'new',
      }),
    );
    assert.equal([r.status, r.body['error'], r.body['mark']], [503, 'unconfirmed', 3]);
    assert.is((r.body['fronts'] as string[]).length, 7);
    await f.world.run(f.world.now() + duration.s(4));
    assert.equal(
      await served(f, 'old'),
      edges.map(() => 200),
    );
    heal();
    await f.world.run(f.world.now() + duration.s(3));
    assert.equal(
      await served(f, 'new'),
      edges.map(() => 200),
    );
    // The same push again has had one effect.
    const again = await settled(f, f.push(only(f, 'new'), 2, 'new'));
    assert.equal(again, { status: 200, mark: 3 });
    assert.equal(f.breaches(), []);
  });

  test(`${shape}: a core with the smaller part of the edges acknowledges nothing; the others serve on`, async () => {
    const f = await start(shape);
    const far = [4, 5, 6, 7].flatMap((i) => [`gateway-edge${i}`, `agent-edge${i}`]).concat(['store2', 'store3']);
    f.partition(
      far,
      f.processes.filter((p) => !far.includes(p.name)).map((p) => p.name),
    );
    await f.world.run(f.world.now() + duration.s(4));
    const r = await settled(
      f,
      f.http(at(f, 'coordinator2'), 'PUT', '/thornsail/v1/config', only(f, 'new'), {
        'if-match': '2',
        'push-id': 'new',
      }),
    );
    assert.equal(
      [r.status, r.body['error'], r.body['fronts']],
      [503, 'unconfirmed', far.slice(0, 8).filter((n) => n.startsWith('gateway'))],
    );
    await f.world.run(f.world.now() + duration.s(3));
    assert.equal(await served(f, 'old'), [400, 400, 400, 200, 200, 200, 200]);
    assert.equal(f.breaches(), []);
  });

  test(`${shape}: an edge cut off from all siblings, yet reached by callers, takes nothing new`, async () => {
    const f = await start(shape);
    const mine = ['gateway-edge3', 'agent-edge3'];
    const heal = f.partition(
      mine,
      f.processes.filter((p) => !mine.includes(p.name)).map((p) => p.name),
    );
    const r = await settled(f, f.push(only(f, 'new'), 2, 'new'));
    assert.is(r.status, 200);
    await f.world.run(f.world.now() + duration.s(2));
    const old = await served(f, 'old');
    assert.equal(old, [400, 400, 503, 400, 400, 400, 400]);
    heal();
    await f.world.run(f.world.now() + duration.s(4));
    assert.equal(
      await served(f, 'new'),
      edges.map(() => 200),
    );
    assert.equal(f.breaches(), []);
  });

  test(`${shape}: a gateway whose agent hangs gets its news from others`, async () => {
    const f = await start(shape);
    f.freeze('agent-edge4', duration.s(20));
    const r = await settled(f, f.push(only(f, 'new'), 2, 'new'));
    assert.is(r.status, 200);
    await f.world.run(f.world.now() + duration.s(1));
    assert.equal(
      await served(f, 'new'),
      edges.map(() => 200),
    );
    assert.equal(f.breaches(), []);
  });
}
test.run();
