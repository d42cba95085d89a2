// Scenario `burst`: simultaneous urgent jobs among a crowd of ordinary ones (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import { classNames } from '@thornsail/test-harness';
import { fleet } from '../fleet/index.js';
import { runAfter } from '../operator-calls.js';
import { type Scenario, outcomeOf, gatewayAddress, stores, run, waitForLoad } from '../scenario-support.js';

/**
 * Sends bursts of urgent jobs to all gateways at the same instant, while a crowd of refresh jobs holds all slots that
 * the urgent class lends.
 */
export const burst: Scenario = {
  rule: 'urgent jobs sent to all gateways at once meet their limit, among crowds and with slow stores',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const rng = sim.world.rand;
    for (const app of sim.apps) app.faults.slowdown = 10;
    for (const store of stores) sim.process(store).host.disk.syncTimeFactor = 4;
    const classes = classNames[shape];
    const limitMs = shape === 'lautoka' ? 2000 : 1500;
    const load = sim.load({ chats: 160, kept: 10, jobs: 0, spreadOver: duration.s(6) });
    let servedRefreshes = 0;
    for (let i = 0; i < 1800; i++)
      runAfter(sim, rng.int(duration.s(6)), () => {
        const gateway = gatewayAddress(sim, rng.int(7));
        const headers = { 'x-thornsail-class': classes.ping, 'x-thornsail-time-left-ms': '2500' };
        void sim.http(gateway, 'POST', '/v1/jobs', { i }, headers).then(
          (response) => void (response.status === 200 && (servedRefreshes += 1)),
          () => undefined,
        );
      });
    const waits: Microseconds[] = [];
    let refused = 0;
    let inFlight = 0;
    const sendUrgent = async (edge: number, id: string): Promise<void> => {
      inFlight += 1;
      const startedAt = sim.world.now();
      const headers = {
        'x-thornsail-class': classes.urgent,
        'x-thornsail-time-left-ms': String(limitMs),
        'idempotency-key': id,
        'x-thornsail-once': 'true',
      };
      const response = await sim
        .http(gatewayAddress(sim, edge), 'POST', '/v1/jobs', { id }, headers)
        .catch(() => undefined);
      if (response?.status === 200) waits.push(sim.world.now() - startedAt);
      else refused += 1;
      inFlight -= 1;
    };
    for (const [burstIndex, burstAt] of [duration.s(1.5), duration.s(3), duration.s(4.5)].entries())
      runAfter(sim, burstAt, () => {
        for (let edge = 0; edge < 7; edge++)
          for (let i = 0; i < 8; i++) void sendUrgent(edge, `u-${burstIndex}-${edge}-${i}`);
      });
    await run(sim, duration.s(6));
    await sim.until('the urgent callers to finish', () => inFlight === 0, duration.s(10));
    await waitForLoad(sim, load);
    const sorted = waits.sort((a, b) => a - b);
    const worstMs = duration.toMs(sorted[sorted.length - 1] ?? 0);
    const longestQueue = Math.max(...sim.apps.map((app) => app.peak().queued));
    const outcome = outcomeOf(sim, {
      urgent_served: waits.length,
      urgent_refused: refused,
      urgent_p50_ms: duration.toMs(sorted[Math.floor(sorted.length / 2)] ?? 0),
      urgent_worst_ms: worstMs,
      crowd_served: servedRefreshes,
      worst_app_line: longestQueue,
    });
    if (refused > 0) outcome.breaches.push(`${refused} urgent jobs were refused in a burst`);
    if (worstMs > limitMs) outcome.breaches.push(`an urgent job took ${worstMs} ms`);
    return outcome;
  },
};
