// Losses right after repairs (§3.3, §6.5): the second loss comes after the first one's return by the time that the
// deployment allows for catching up, and well before that the group must tolerate it. REPAIR_SEEDS sets the number of
// seeds (200 in the long form), REPAIR_ONLY selects the plans whose names contain its value.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Microseconds } from '@thornsail/runtime';
import { repairPlans } from '../src/repair-plans.js';
import { repairRun } from '../src/repair-run.js';

const seedCount = Number(process.env['REPAIR_SEEDS'] ?? 2);
/** The longest time from the start of a replacement until its group tolerates the next loss. */
const recoveryLimit: Microseconds = duration.s(1.5);

const nameFilter = process.env['REPAIR_ONLY'] ?? '';
for (const { name, plan, within = recoveryLimit, moreSeeds = [] } of repairPlans.filter((candidate) =>
  candidate.name.includes(nameFilter),
))
  test(name, async () => {
    let worstElapsed = 0;
    const firstSeeds = Array.from({ length: seedCount }, (_, i) => i + 1);
    for (const seed of new Set([...firstSeeds, ...moreSeeds])) {
      const result = await repairRun({ ...plan, seed });
      assert.equal(result.breaches, [], `seed ${seed}`);
      assert.ok(result.acknowledged > 200, `seed ${seed}: only ${result.acknowledged} changes were acknowledged`);
      for (const [i, elapsed] of result.fullAfter.entries()) {
        worstElapsed = Math.max(worstElapsed, elapsed);
        assert.ok(elapsed <= within, `seed ${seed}: full again ${duration.toMs(elapsed)} ms after return ${i + 1}`);
      }
    }
    if (seedCount > 2)
      process.stdout.write(`${name}: ${seedCount} seeds, full again after ${duration.toMs(worstElapsed)} ms at most\n`);
  });
test.run();
