// Acknowledged changes survive a process kill or a power loss at any moment (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type Limits } from '@thornsail/durable-files';
import { duration } from '@thornsail/runtime';
import { openRecords, openHost, smallLimits, finish, value } from './builders.js';

/** Runs concurrent writers on one folder, with several process kills or power losses at random moments. */
const runWithRestarts = async (
  seed: number,
  limits: Partial<Limits> = {},
): Promise<{ acknowledged: number; merges: number; lost: string[] }> => {
  const { world, host } = openHost(seed);
  const random = world.rand;
  /** For each key, the last acknowledged version and all versions written since; 0 means "removed". */
  const allowed = new Map<string, number[]>();
  let acknowledged = 0;
  let merges = 0;
  let lastVersion = 0;
  const lost: string[] = [];
  for (let run = 0; run < 6; run++) {
    const opened = await finish(world, openRecords(world, host, limits));
    if (!opened.isValid) lost.push(`run ${run}: treated as damaged`);
    for (const [key, versions] of allowed) {
      const actual = opened.entries.get(key)?.value.n ?? 0;
      if (!versions.includes(actual)) lost.push(`run ${run}: ${key} is ${actual}, not one of ${versions.join()}`);
      // A version found at startup must be found again at all later ones.
      allowed.set(key, [actual]);
    }
    for (const key of opened.entries.keys()) if (!allowed.has(key)) lost.push(`run ${run}: ${key} was never written`);
    const incarnation = host.incarnation;
    const writer = async (id: number): Promise<void> => {
      while (host.incarnation === incarnation) {
        const key = `w${id}k${random.int(6)}`;
        const version = random.int(5) === 0 ? 0 : ++lastVersion;
        const versions = allowed.get(key) ?? [0];
        allowed.set(key, [...versions, version]);
        await (version === 0 ? opened.records.remove(key) : opened.records.write(key, value(version)));
        allowed.set(key, [version]);
        acknowledged += 1;
        if (random.int(3) === 0)
          await new Promise<void>((resolve) => world.scheduleAt(world.now() + random.int(duration.ms(4)), resolve));
      }
    };
    for (let i = 0; i < 8; i++) void writer(i);
    await world.run(world.now() + random.int(duration.ms(300)));
    world.kill(host, random.int(3) === 0 ? 'process' : 'power');
    merges += opened.records.counts().merges;
    if (random.int(2) === 0) world.kill(host, 'power');
    world.start(host);
  }
  return { acknowledged, merges, lost };
};
test('what was acknowledged, or found at startup, survives every kill and power loss', async () => {
  let acknowledged = 0;
  for (let seed = 1; seed <= 120; seed++) {
    const result = await runWithRestarts(seed);
    assert.equal(result.lost, [], `seed ${seed}`);
    acknowledged += result.acknowledged;
  }
  assert.ok(acknowledged > 120 * 100, `only ${acknowledged} acknowledged`);
});

test('what was acknowledged, or found at startup, survives with frequent compaction', async () => {
  const totals = { acknowledged: 0, merges: 0 };
  for (let seed = 1; seed <= 160; seed++) {
    const result = await runWithRestarts(seed, smallLimits);
    assert.equal(result.lost, [], `seed ${seed}`);
    totals.acknowledged += result.acknowledged;
    totals.merges += result.merges;
  }
  assert.ok(totals.acknowledged > 160 * 100 && totals.merges > 160 * 20, JSON.stringify(totals));
});

test('thousands of records are loaded in well under a second of CPU time', async () => {
  const { world, host } = openHost(9);
  const opened = await finish(world, openRecords(world, host));
  const pad = 'v'.repeat(2000);
  await finish(
    world,
    Promise.all(Array.from({ length: 5000 }, (_, i) => opened.records.write(`key/${i}`, { n: i, pad }))),
  );
  world.kill(host, 'process');
  world.start(host);
  const cpuBefore = process.cpuUsage();
  const reopened = await finish(world, openRecords(world, host));
  const cpuUsed = process.cpuUsage(cpuBefore);
  assert.is(reopened.entries.size, 5000);
  assert.ok(cpuUsed.user + cpuUsed.system < 700_000, `${Math.round((cpuUsed.user + cpuUsed.system) / 1000)} ms of CPU`);
});
test.run();
