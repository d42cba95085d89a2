// A whole simulated fleet without faults: formation, traffic, and a trace that depends on the seed alone.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { fleet } from '@thornsail/simulation';

const runDay = async (
  seed: number,
  shape: 'lautoka' | 'granite',
): Promise<{ hash: string; breaches: string[]; results: number; ready: number }> => {
  const testFleet = await fleet.open({ seed, shape });
  const load = testFleet.load({ chats: 20, kept: 3, jobs: 30, spreadOver: duration.s(4) });
  await testFleet.until('the load', load.done, duration.s(60));
  return {
    hash: testFleet.world.hash(),
    breaches: testFleet.breaches(),
    results: testFleet.callers.summary.results,
    ready: testFleet.ready(),
  };
};

for (const shape of ['lautoka', 'granite'] as const) {
  test(`${shape}: nodes discover one another, a configuration is adopted, traffic is served`, async () => {
    const result = await runDay(11, shape);
    assert.equal(result.breaches, []);
    assert.is(result.ready, 7);
    assert.ok(result.results >= 20 * 2 + 3 * 6 + 30);
  });
}

test('the same seed gives the same trace, another seed a different one', async () => {
  const [first, second, other] = [await runDay(5, 'granite'), await runDay(5, 'granite'), await runDay(6, 'granite')];
  assert.is(first.hash, second.hash);
  assert.is.not(first.hash, other.hash);
});

test.run();
