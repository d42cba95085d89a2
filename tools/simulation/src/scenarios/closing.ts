// Scenario `closing`: recovery times after large faults (§9.4).
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

/** A fault; `inject` returns the function that heals it, unless the fault needs none. */
type ClosingFault = { name: string; inject: () => (() => void) | void; lasts: Microseconds };

const killAndRestart = (sim: Fleet, names: readonly string[], how?: 'power'): (() => void) => {
  for (const name of names) sim.kill(name, how);
  return () => names.forEach((name) => sim.start(name));
};

/** The faults in order of injection; a lost zone stays down until the fault `zone_back`. */
const faultsOf = (sim: Fleet): ClosingFault[] => {
  const all = sim.processes.map(({ name }) => name);
  const others = sim.processes.filter(({ role }) => role !== 'coordinator').map(({ name }) => name);
  const zone = sim.processes.filter(({ host }) => host.zone === 'z2').map(({ name }) => name);
  return [
    { name: 'coordinators_restarted', inject: () => killAndRestart(sim, coordinators), lasts: duration.s(1) },
    { name: 'stores_power_cycled', inject: () => killAndRestart(sim, stores, 'power'), lasts: duration.s(1) },
    {
      name: 'core_cut_in_two',
      inject: () => sim.partition(['coordinator1'], ['coordinator2', 'coordinator3']),
      lasts: duration.s(4),
    },
    { name: 'core_cut_off', inject: () => sim.partition(coordinators, others), lasts: duration.s(5) },
    { name: 'zone_lost', inject: () => zone.forEach((name) => sim.kill(name, 'power')), lasts: duration.s(0.1) },
    { name: 'zone_back', inject: () => zone.forEach((name) => sim.start(name)), lasts: duration.s(0.1) },
    { name: 'all_at_once', inject: () => killAndRestart(sim, all, 'power'), lasts: duration.s(1) },
  ];
};

/** Injects large faults one after another and records the time until all gateways serve again. */
export const closing: Scenario = {
  rule: 'every gateway serves again within twelve seconds of each fault',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const load = sim.load({ chats: 70, kept: 10, jobs: 80, spreadOver: duration.s(26) });
    const figures: Record<string, number> = {};
    await run(sim, duration.s(2));
    for (const { name, inject, lasts } of faultsOf(sim)) {
      const heal = inject();
      await run(sim, lasts);
      heal?.();
      figures[`${name}_ms`] = duration.toMs(await timeUntilServing(sim, duration.s(12)));
    }
    await waitForLoad(sim, load);
    return outcomeOf(sim, figures);
  },
};
