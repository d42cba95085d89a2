// Scenario `notrun`: rejections that state that the request did not run (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gatewayAddress, gateways, patchClasses, run } from '../scenario-support.js';

/** Sends more jobs than there are slots, so that some are rejected as "not run"; some keys are sent twice. */
export const notrun: Scenario = {
  rule: 'a request that was rejected as "not run" never runs',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({
      seed,
      shape,
      log,
      config: (base) => ({
        ...patchClasses({ push: { buffer: 6 }, alarm: { buffer: 6 }, lobby: { buffer: 6 }, status: { buffer: 6 } })(
          base,
        ),
        slots: { model: 8, app: 2 },
      }),
    });
    const rng = sim.world.rand;
    let inFlight = 0;
    const executedKeys = (): Set<string> =>
      new Set(
        sim.requestLog.entries.map(
          (entry) => entry.key ?? (JSON.parse(entry.body || '{}') as { key?: string }).key ?? '',
        ),
      );
    const refusedKeys: string[] = [];
    const className = shape === 'lautoka' ? 'lobby' : 'status';
    const duplicatedKeys = new Set<string>();
    const ambiguousKeys = new Set<string>();
    /** Sends a duplicate with the same key to another gateway while the first request may still be queued. */
    const sendDuplicate = async (key: string): Promise<void> => {
      duplicatedKeys.add(key);
      inFlight += 1;
      await sim.callers.job({ urgent: false, once: true, key });
      inFlight -= 1;
    };
    const sendJob = async (key: string, keyed: boolean): Promise<void> => {
      inFlight += 1;
      const keyHistory = sim.callers.keys.get(key) ?? { ran: [], ok: false, sent: [], notRunAt: [] };
      if (keyed) {
        sim.callers.keys.set(key, keyHistory);
        keyHistory.sent.push(sim.world.now());
        if (rng.int(3) === 0) void sendDuplicate(key);
      }
      const response = await sim
        .http(
          gatewayAddress(sim, rng.int(7)),
          'POST',
          '/v1/jobs',
          { key },
          {
            'x-thornsail-class': className,
            'x-thornsail-time-left-ms': String(300 + rng.int(1500)),
            ...(keyed ? { 'idempotency-key': key, 'x-thornsail-once': 'true' } : {}),
          },
        )
        .catch(() => undefined);
      if (response && response.status !== 200 && response.body['ran'] === 'no') {
        refusedKeys.push(key);
        keyHistory.notRunAt.push(sim.world.now());
        if (duplicatedKeys.has(key)) ambiguousKeys.add(key);
      }
      keyHistory.ran.push(response?.status === 200 ? 'yes' : response?.body['ran'] === 'no' ? 'no' : 'unknown');
      if (response?.status === 200) keyHistory.ok = true;
      inFlight -= 1;
    };
    for (let i = 0; i < 900; i++)
      sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(3)), () => void sendJob(`n-${i}`, i % 2 === 0));
    for (let i = 0; i < 3; i++)
      sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(4)), () => {
        const gateway = gateways[rng.int(7)]!;
        if (!sim.process(gateway).host.frozen) sim.freeze(gateway, duration.ms(700 + rng.int(2500)));
      });
    await run(sim, duration.s(5));
    await sim.until('the callers to finish', () => inFlight === 0, duration.s(30));
    await run(sim, duration.s(5));
    const outcome = outcomeOf(sim, { promised: refusedKeys.length });
    const executed = executedKeys();
    for (const key of refusedKeys)
      if (executed.has(key) && !ambiguousKeys.has(key))
        outcome.breaches.push(`${key} ran although it was rejected as "not run"`);
    if (refusedKeys.length === 0) outcome.breaches.push('nothing was refused, so nothing was verified');
    return outcome;
  },
};
