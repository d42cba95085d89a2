// The scenarios as tests: a fixed set of seeds for each, both shapes.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { scenarios } from './scenarios/index.js';

export const rules = {
  test: (names: string[], seeds: number[]): void => {
    for (const name of names)
      for (const shape of ['lautoka', 'granite'] as const) {
        const s = scenarios[name]!;
        test(`${name}, ${shape}: ${s.rule}`, async () => {
          for (const seed of seeds) {
            const o = await s.run(seed, shape);
            assert.equal(o.breaches, [], `seed ${seed}`);
          }
        });
      }
    test.run();
  },
};
