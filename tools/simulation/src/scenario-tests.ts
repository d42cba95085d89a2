// Runs scenarios as tests: a fixed set of seeds for each scenario, in both shapes.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { scenarios } from './scenarios/index.js';

/** Registers and runs one test for each scenario and shape; it fails at the first seed with a breach. */
export const scenarioTests = {
  run: (names: string[], seeds: number[]): void => {
    for (const name of names)
      for (const shape of ['lautoka', 'granite'] as const) {
        const scenario = scenarios[name]!;
        test(`${name}, ${shape}: ${scenario.rule}`, async () => {
          for (const seed of seeds) {
            const outcome = await scenario.run(seed, shape);
            assert.equal(outcome.breaches, [], `seed ${seed}`);
          }
        });
      }
    test.run();
  },
};
