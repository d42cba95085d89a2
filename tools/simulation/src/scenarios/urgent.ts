// Scenario `urgent` (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, finish, gatewayAt, run, settleLoad } from '../scene.js';

/** Urgent turns in a crowd that has borrowed their share of the slots. */
export const urgent: Scenario = {
  rule: 'urgent work is never starved: borrowed shares are returned first',
  run: async (seed, shape, log) => {
    const extra = {
      kind: 'model',
      weight: 3,
      urgent: true,
      reserve: 0.5,
      timeLeftMs: 2000,
      expectedMs: 300,
      maxTokens: 12,
    };
    const f = await fleet.open({
      seed,
      shape,
      log,
      perToken: duration.ms(40),
      gap: duration.ms(100),
      config: (c) => ({
        ...c,
        classes: { ...(c['classes'] as object), notice: extra },
        slots: { model: 4, app: 4 },
        scheduler: { holdLimitMs: 1500 },
      }),
    });
    const r = f.world.rand;
    const l = f.load({ chats: 400, kept: 0, jobs: 0, over: duration.s(8) });
    const waits: Microseconds[] = [];
    let refused = 0;
    let open = 0;
    const limit = duration.ms(shape === 'lautoka' ? 2000 : 1500);
    const one = async (i: number): Promise<void> => {
      open += 1;
      const begun = f.world.now();
      const res = await f
        .http(
          gatewayAt(f, i),
          'POST',
          '/v1/chat/completions',
          { messages: [{ role: 'user', content: `alarm ${i} [last]` }], max_tokens: 8, stream: false },
          { 'x-thornsail-program': `u-${i}`, 'x-thornsail-class': 'notice', 'x-thornsail-time-left-ms': '2000' },
        )
        .catch(() => undefined);
      if (res?.status === 200) waits.push(f.world.now() - begun);
      else refused += 1;
      open -= 1;
    };
    for (let i = 0; i < 60; i++)
      f.world.scheduleAt(f.world.now() + duration.s(1) + r.int(duration.s(7)), () => void one(i));
    await run(f, duration.s(10));
    await f.until('the urgent callers to end', () => open === 0, duration.s(20));
    await settleLoad(f, l);
    const sorted = [...waits].sort((a, b) => a - b);
    const out = finish(f, {
      urgent_served: waits.length,
      urgent_refused: refused,
      urgent_p50_ms: duration.toMs(sorted[Math.floor(sorted.length / 2)] ?? 0),
      urgent_worst_ms: duration.toMs(sorted[sorted.length - 1] ?? 0),
      crowd_rejected: f.callers.summary.rejected['busy'] ?? 0,
    });
    if (refused > 0) out.breaches.push(`${refused} urgent requests were refused under a crowd`);
    if ((sorted[sorted.length - 1] ?? 0) > limit)
      out.breaches.push(`an urgent request took ${duration.toMs(sorted[sorted.length - 1]!)} ms`);
    if (out.figures['crowd_rejected'] === 0) out.breaches.push('there was no crowd: the scenario shows nothing');
    return out;
  },
};
