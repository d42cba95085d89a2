import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { fleet } from '@thornsail/simulation';

const day = async (
  seed: number,
  shape: 'lautoka' | 'granite',
): Promise<{ hash: string; breaches: string[]; results: number; ready: number }> => {
  const f = await fleet.open({ seed, shape });
  const l = f.load({ chats: 20, kept: 3, jobs: 30, spreadOver: duration.s(4) });
  await f.until('the load', l.done, duration.s(60));
  return { hash: f.world.hash(), breaches: f.breaches(), results: f.callers.summary.results, ready: f.ready() };
};

for (const shape of ['lautoka', 'granite'] as const) {
  test(`${shape}: nodes find one another, a configuration is adopted, traffic is served`, async () => {
    const d = await day(11, shape);
    assert.equal(d.breaches, []);
    assert.is(d.ready, 7);
    assert.ok(d.results >= 20 * 2 + 3 * 6 + 30);
  });
}

test('the same seed gives the same trace, another seed another', async () => {
  const [a, b, c] = [await day(5, 'granite'), await day(5, 'granite'), await day(6, 'granite')];
  assert.is(a.hash, b.hash);
  assert.is.not(a.hash, c.hash);
});

test.run();
