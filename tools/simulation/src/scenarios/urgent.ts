// Scenario `urgent`: urgent turns while other classes borrow their slots (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import type { ShapeName } from '@thornsail/test-harness';
import { fleet, type Fleet } from '../fleet/index.js';
import { type Outcome, type Scenario, outcomeOf, gatewayAddress, run, waitForLoad } from '../scenario-support.js';

const urgentTurns = 60;
const firstUrgentAfter = duration.s(1);
const urgentSpan = duration.s(7);
/** The maximum duration of an urgent turn. */
const limitOf = (shape: ShapeName): Microseconds => duration.ms(shape === 'lautoka' ? 2000 : 1500);

/** An urgent class in addition to the deployment's own classes. */
const notice = {
  kind: 'model',
  weight: 3,
  urgent: true,
  reserve: 0.5,
  timeLeftMs: 2000,
  expectedMs: 300,
  maxTokens: 12,
};
const openFleet = (seed: number, shape: ShapeName, log?: (line: string) => void): Promise<Fleet> =>
  fleet.open({
    seed,
    shape,
    log,
    perToken: duration.ms(40),
    gap: duration.ms(100),
    config: (config) => ({
      ...config,
      classes: { ...(config['classes'] as object), notice },
      slots: { model: 4, app: 4 },
      scheduler: { holdLimitMs: 1500 },
    }),
  });

/** Durations of the urgent turns that were served, the number refused, and the number still in flight. */
type UrgentTurns = { waits: Microseconds[]; refused: number; inFlight: number };
const sendUrgent = async (sim: Fleet, turns: UrgentTurns, i: number): Promise<void> => {
  turns.inFlight += 1;
  const startedAt = sim.world.now();
  const response = await sim
    .http(
      gatewayAddress(sim, i),
      'POST',
      '/v1/chat/completions',
      { messages: [{ role: 'user', content: `alarm ${i} [last]` }], max_tokens: 8, stream: false },
      { 'x-thornsail-program': `u-${i}`, 'x-thornsail-class': 'notice', 'x-thornsail-time-left-ms': '2000' },
    )
    .catch(() => undefined);
  if (response?.status === 200) turns.waits.push(sim.world.now() - startedAt);
  else turns.refused += 1;
  turns.inFlight -= 1;
};

const urgentOutcome = (sim: Fleet, { waits, refused }: UrgentTurns, limit: Microseconds): Outcome => {
  const sorted = [...waits].sort((a, b) => a - b);
  const worst = sorted[sorted.length - 1] ?? 0;
  const outcome = outcomeOf(sim, {
    urgent_served: waits.length,
    urgent_refused: refused,
    urgent_p50_ms: duration.toMs(sorted[Math.floor(sorted.length / 2)] ?? 0),
    urgent_worst_ms: duration.toMs(worst),
    crowd_rejected: sim.callers.summary.rejected['busy'] ?? 0,
  });
  if (refused > 0) outcome.breaches.push(`${refused} urgent requests were refused under a crowd`);
  if (worst > limit) outcome.breaches.push(`an urgent request took ${duration.toMs(worst)} ms`);
  if (outcome.figures['crowd_rejected'] === 0)
    outcome.breaches.push('no crowd request was rejected, so nothing was verified');
  return outcome;
};

/** Sends urgent turns while a crowd has borrowed the slots of the urgent class. */
export const urgent: Scenario = {
  rule: 'urgent work is never starved: borrowed slots are returned first',
  run: async (seed, shape, log) => {
    const sim = await openFleet(seed, shape, log);
    const { rand } = sim.world;
    const crowd = sim.load({ chats: 400, kept: 0, jobs: 0, spreadOver: duration.s(8) });
    const turns: UrgentTurns = { waits: [], refused: 0, inFlight: 0 };
    for (let i = 0; i < urgentTurns; i++)
      sim.world.scheduleAt(
        sim.world.now() + firstUrgentAfter + rand.int(urgentSpan),
        () => void sendUrgent(sim, turns, i),
      );
    await run(sim, duration.s(10));
    await sim.until('the urgent callers to finish', () => turns.inFlight === 0, duration.s(20));
    await waitForLoad(sim, crowd);
    return urgentOutcome(sim, turns, limitOf(shape));
  },
};
