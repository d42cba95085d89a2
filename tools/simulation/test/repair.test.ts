// Losses right after repairs (§3.3, §6.5), timed: the second loss comes as long after the first one's return as the
// deployment gives for catching up, and well before that the group has to bear it. REPAIR_SEEDS plays more seeds
// (200 in the long form), REPAIR_ONLY those plans whose names have this in them.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Microseconds } from '@thornsail/runtime';
import { repairPlans } from '../src/repair-plans.js';
import { repairRun } from '../src/repair-run.js';

const seeds = Number(process.env['REPAIR_SEEDS'] ?? 2);
/** A newcomer's start until its group bears the next loss. */
const aim: Microseconds = duration.s(1.5);

const only = process.env['REPAIR_ONLY'] ?? '';
for (const { name, plan, within = aim } of repairPlans.filter((x) => x.name.includes(only)))
  test(name, async () => {
    let worst = 0;
    for (let seed = 1; seed <= seeds; seed++) {
      const r = await repairRun({ ...plan, seed });
      assert.equal(r.breaches, [], `seed ${seed}`);
      assert.ok(r.acknowledged > 200, `seed ${seed}: only ${r.acknowledged} changes were acknowledged`);
      for (const [i, after] of r.fullAfter.entries()) {
        worst = Math.max(worst, after);
        assert.ok(after <= within, `seed ${seed}: full again ${duration.toMs(after)} ms after return ${i + 1}`);
      }
    }
    if (seeds > 2)
      process.stdout.write(`${name}: ${seeds} seeds, full again after ${duration.toMs(worst)} ms at most\n`);
  });
test.run();
