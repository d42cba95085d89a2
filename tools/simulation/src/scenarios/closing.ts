// Scenario `closing` (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import { fleet, type Fleet } from '../fleet/index.js';
import {
  type Scenario,
  outcomeOf,
  stores,
  run,
  timeUntilServing,
  waitForLoad,
  coordinators,
} from '../scenario-support.js';

/** One fault; `strike` gives what heals it, if it does not pass by itself. */
type ClosingFault = { name: string; strike: () => (() => void) | void; lasts: Microseconds };

const killedAndStarted = (deployment: Fleet, names: readonly string[], how?: 'power'): (() => void) => {
  for (const name of names) deployment.kill(name, how);
  return () => names.forEach((name) => deployment.start(name));
};

/** The faults in their order; the loss of a zone stays until the zone is back. */
const faultsOf = (deployment: Fleet): ClosingFault[] => {
  const all = deployment.processes.map(({ name }) => name);
  const others = deployment.processes.filter(({ role }) => role !== 'coordinator').map(({ name }) => name);
  const zone = deployment.processes.filter(({ host }) => host.zone === 'z2').map(({ name }) => name);
  return [
    { name: 'coordinators_restarted', strike: () => killedAndStarted(deployment, coordinators), lasts: duration.s(1) },
    { name: 'stores_power_cycled', strike: () => killedAndStarted(deployment, stores, 'power'), lasts: duration.s(1) },
    {
      name: 'core_cut_in_two',
      strike: () => deployment.partition(['coordinator1'], ['coordinator2', 'coordinator3']),
      lasts: duration.s(4),
    },
    { name: 'core_cut_off', strike: () => deployment.partition(coordinators, others), lasts: duration.s(5) },
    { name: 'zone_lost', strike: () => zone.forEach((name) => deployment.kill(name, 'power')), lasts: duration.s(0.1) },
    { name: 'zone_back', strike: () => zone.forEach((name) => deployment.start(name)), lasts: duration.s(0.1) },
    { name: 'all_at_once', strike: () => killedAndStarted(deployment, all, 'power'), lasts: duration.s(1) },
  ];
};

/** The faults that end a day, one after another; each is timed until all gateways serve again. */
export const closing: Scenario = {
  rule: 'after a closing fault, serving is back within twelve seconds',
  run: async (seed, shape, log) => {
    const deployment = await fleet.open({ seed, shape, log });
    const load = deployment.load({ chats: 70, kept: 10, jobs: 80, spreadOver: duration.s(26) });
    const figures: Record<string, number> = {};
    await run(deployment, duration.s(2));
    for (const { name, strike, lasts } of faultsOf(deployment)) {
      const heal = strike();
      await run(deployment, lasts);
      heal?.();
      figures[`${name}_ms`] = duration.toMs(await timeUntilServing(deployment, duration.s(12)));
    }
    await waitForLoad(deployment, load);
    return outcomeOf(deployment, figures);
  },
};
