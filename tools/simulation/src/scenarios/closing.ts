// Scenario `closing` (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, finish, stores, run, serving, settleLoad, coordinators } from '../scene.js';

/** The faults that end a day, one after another; each is timed until all gateways serve again. */
export const closing: Scenario = {
  rule: 'after a closing fault, serving is back within twelve seconds',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const l = f.load({ chats: 70, kept: 10, jobs: 80, over: duration.s(26) });
    const figures: Record<string, number> = {};
    const time = async (name: string, fault: () => (() => void) | void, lasts: Microseconds): Promise<void> => {
      const heal = fault();
      await run(f, lasts);
      heal?.();
      figures[`${name}_ms`] = duration.toMs(await serving(f, duration.s(12)));
    };
    await run(f, duration.s(2));
    await time(
      'towers_restarted',
      () => {
        for (const t of coordinators) f.kill(t);
        return () => coordinators.forEach((t) => f.start(t));
      },
      duration.s(1),
    );
    await time(
      'stores_power_cycled',
      () => {
        for (const k of stores) f.kill(k, 'power');
        return () => stores.forEach((k) => f.start(k));
      },
      duration.s(1),
    );
    await time('core_cut_in_two', () => f.partition(['coordinator1'], ['coordinator2', 'coordinator3']), duration.s(4));
    await time(
      'core_cut_off',
      () =>
        f.partition(
          coordinators,
          f.processes.filter((p) => p.role !== 'coordinator').map((p) => p.name),
        ),
      duration.s(5),
    );
    const zone = f.processes.filter((p) => p.host.zone === 'z2');
    await time(
      'zone_lost',
      () => {
        for (const p of zone) f.kill(p.name, 'power');
      },
      duration.s(0.1),
    );
    await time(
      'zone_back',
      () => {
        for (const p of zone) f.start(p.name);
      },
      duration.s(0.1),
    );
    await time(
      'all_at_once',
      () => {
        for (const p of f.processes) f.kill(p.name, 'power');
        return () => f.processes.forEach((p) => f.start(p.name));
      },
      duration.s(1),
    );
    await settleLoad(f, l);
    return finish(f, figures);
  },
};
