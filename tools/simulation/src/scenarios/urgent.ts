// Scenario `urgent` (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import type { ShapeName } from '@thornsail/test-harness';
import { fleet, type Fleet } from '../fleet/index.js';
import { type Outcome, type Scenario, outcomeOf, gatewayAddress, run, waitForLoad } from '../scenario-support.js';

const urgentTurns = 60;
const firstUrgentAfter = duration.s(1);
const urgentOver = duration.s(7);
/** The longest that an urgent turn may take. */
const limitOf = (shape: ShapeName): Microseconds => duration.ms(shape === 'lautoka' ? 2000 : 1500);

/** An urgent class beside the deployment's own. */
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

/** What became of the urgent turns. */
type UrgentTurns = { waits: Microseconds[]; refused: number; open: number };
const sendUrgent = async (deployment: Fleet, turns: UrgentTurns, i: number): Promise<void> => {
  turns.open += 1;
  const begun = deployment.world.now();
  const response = await deployment
    .http(
      gatewayAddress(deployment, i),
      'POST',
      '/v1/chat/completions',
      { messages: [{ role: 'user', content: `alarm ${i} [last]` }], max_tokens: 8, stream: false },
      { 'x-thornsail-program': `u-${i}`, 'x-thornsail-class': 'notice', 'x-thornsail-time-left-ms': '2000' },
    )
    .catch(() => undefined);
  if (response?.status === 200) turns.waits.push(deployment.world.now() - begun);
  else turns.refused += 1;
  turns.open -= 1;
};

const judge = (deployment: Fleet, { waits, refused }: UrgentTurns, limit: Microseconds): Outcome => {
  const sorted = [...waits].sort((a, b) => a - b);
  const worst = sorted[sorted.length - 1] ?? 0;
  const outcome = outcomeOf(deployment, {
    urgent_served: waits.length,
    urgent_refused: refused,
    urgent_p50_ms: duration.toMs(sorted[Math.floor(sorted.length / 2)] ?? 0),
    urgent_worst_ms: duration.toMs(worst),
    crowd_rejected: deployment.callers.summary.rejected['busy'] ?? 0,
  });
  if (refused > 0) outcome.breaches.push(`${refused} urgent requests were refused under a crowd`);
  if (worst > limit) outcome.breaches.push(`an urgent request took ${duration.toMs(worst)} ms`);
  if (outcome.figures['crowd_rejected'] === 0) outcome.breaches.push('there was no crowd: the scenario shows nothing');
  return outcome;
};

/** Urgent turns in a crowd that has borrowed their share of the slots. */
export const urgent: Scenario = {
  rule: 'urgent work is never starved: borrowed shares are returned first',
  run: async (seed, shape, log) => {
    const deployment = await openFleet(seed, shape, log);
    const { rand } = deployment.world;
    const crowd = deployment.load({ chats: 400, kept: 0, jobs: 0, spreadOver: duration.s(8) });
    const turns: UrgentTurns = { waits: [], refused: 0, open: 0 };
    for (let i = 0; i < urgentTurns; i++)
      deployment.world.scheduleAt(
        deployment.world.now() + firstUrgentAfter + rand.int(urgentOver),
        () => void sendUrgent(deployment, turns, i),
      );
    await run(deployment, duration.s(10));
    await deployment.until('the urgent callers to end', () => turns.open === 0, duration.s(20));
    await waitForLoad(deployment, crowd);
    return judge(deployment, turns, limitOf(shape));
  },
};
