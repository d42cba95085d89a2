// Scenario `budget` (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import {
  type Scenario,
  outcomeOf,
  gatewayAddress,
  gateways,
  stores,
  liveProcessNames,
  patchClasses,
  sleep,
  run,
  sumGatewayCounts,
} from '../scenario-support.js';

/** A few programs driven from several edges at once, while gateways and stores fail. */
export const budget: Scenario = {
  rule: 'never more tokens than the budget plus one turn',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log, config: patchClasses({ '*model': { budgetTokens: 900 } }) });
    const r = f.world.rand;
    const cls = Object.entries(
      f.shape.config['classes'] as Record<string, { kind: string; keepSeconds?: number }>,
    ).find(([, c]) => c.kind === 'model')![0];
    // A few programs, each driven from several edges at once, over and over.
    let busy = 0;
    const drive = async (program: string): Promise<void> => {
      busy += 1;
      for (let i = 0; i < 14; i++) {
        await f
          .http(
            gatewayAddress(f, r.int(7)),
            'POST',
            '/v1/chat/completions',
            { messages: [{ role: 'user', content: `${program} ${i} ${'y'.repeat(60)}` }], max_tokens: 40 },
            { 'x-thornsail-program': program, 'x-thornsail-class': cls },
          )
          .catch(() => undefined);
        await sleep(f, duration.ms(r.int(300)));
      }
      busy -= 1;
    };
    for (let p = 0; p < 6; p++) for (let k = 0; k < 3; k++) void drive(`p-${p}`);
    const bring = async (): Promise<void> => {
      for (let i = 0; i < 6; i++) {
        await sleep(f, duration.ms(400 + r.int(500)));
        const e = gateways[r.int(7)]!;
        const k = r.int(4);
        if (k === 0 && f.process(e).host.alive) {
          f.kill(e);
          f.world.scheduleAt(f.world.now() + duration.ms(300 + r.int(1500)), () => f.start(e));
        } else if (k === 1 && f.process(e).host.alive && !f.process(e).host.frozen)
          f.freeze(e, duration.ms(800 + r.int(3000)));
        else if (k === 2) {
          const n = stores[r.int(3)]!;
          if (f.process(n).host.alive && liveProcessNames(f, 'store').length === 3) {
            f.kill(n, 'power');
            f.world.scheduleAt(f.world.now() + duration.ms(500 + r.int(1500)), () => f.start(n));
          }
        } else f.models[r.int(f.models.length)]!.faults.abortStream = 0.5;
      }
    };
    void bring();
    await f.until('the drivers to end', () => busy === 0, duration.s(120));
    await run(f, duration.s(3));
    return outcomeOf(f, { budget_rejected: sumGatewayCounts(f, 'budget_rejected') });
  },
};
