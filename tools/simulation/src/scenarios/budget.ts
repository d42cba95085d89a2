// Scenario `budget`: token budgets of programs that are driven concurrently while nodes fail (§9.4).
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

/**
 * Drives six programs while gateways, stores and workers fail: three concurrent drivers for each program send 14 turns
 * each through random gateways.
 */
export const budget: Scenario = {
  rule: 'a program never spends more tokens than its budget plus one turn',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log, config: patchClasses({ '*model': { budgetTokens: 900 } }) });
    const rng = sim.world.rand;
    const modelClass = Object.entries(
      sim.shape.config['classes'] as Record<string, { kind: string; keepSeconds?: number }>,
    ).find(([, definition]) => definition.kind === 'model')![0];
    let activeDrivers = 0;
    const driveProgram = async (program: string): Promise<void> => {
      activeDrivers += 1;
      for (let i = 0; i < 14; i++) {
        await sim
          .http(
            gatewayAddress(sim, rng.int(7)),
            'POST',
            '/v1/chat/completions',
            { messages: [{ role: 'user', content: `${program} ${i} ${'y'.repeat(60)}` }], max_tokens: 40 },
            { 'x-thornsail-program': program, 'x-thornsail-class': modelClass },
          )
          .catch(() => undefined);
        await sleep(sim, duration.ms(rng.int(300)));
      }
      activeDrivers -= 1;
    };
    for (let i = 0; i < 6; i++) for (let j = 0; j < 3; j++) void driveProgram(`p-${i}`);
    const injectFaults = async (): Promise<void> => {
      for (let i = 0; i < 6; i++) {
        await sleep(sim, duration.ms(400 + rng.int(500)));
        const node = gateways[rng.int(7)]!;
        const fault = rng.int(4);
        if (fault === 0 && sim.process(node).host.alive) {
          sim.kill(node);
          sim.world.scheduleAt(sim.world.now() + duration.ms(300 + rng.int(1500)), () => sim.start(node));
        } else if (fault === 1 && sim.process(node).host.alive && !sim.process(node).host.frozen)
          sim.freeze(node, duration.ms(800 + rng.int(3000)));
        else if (fault === 2) {
          const store = stores[rng.int(3)]!;
          if (sim.process(store).host.alive && liveProcessNames(sim, 'store').length === 3) {
            sim.kill(store, 'power');
            sim.world.scheduleAt(sim.world.now() + duration.ms(500 + rng.int(1500)), () => sim.start(store));
          }
        } else sim.models[rng.int(sim.models.length)]!.faults.abortStream = 0.5;
      }
    };
    void injectFaults();
    await sim.until('the drivers to finish', () => activeDrivers === 0, duration.s(120));
    await run(sim, duration.s(3));
    return outcomeOf(sim, { budget_rejected: sumGatewayCounts(sim, 'budget_rejected') });
  },
};
