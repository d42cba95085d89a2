// Scenario `random` (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import {
  type Scenario,
  outcomeOf,
  gatewayAddress,
  stores,
  pickLeavingWorker,
  run,
  timeUntilServing,
  waitForLoad,
  coordinators,
} from '../scenario-support.js';

/** Two or three faults of any kind in one run. */
export const random: Scenario = {
  rule: 'two faults of any kind in one run',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const r = f.world.rand;
    const l = f.load({ chats: 50, kept: 8, jobs: 50, spreadOver: duration.s(10) });
    const all = f.processes.map((p) => p.name);
    const some = (): string => all[r.int(all.length)]!;
    const disks = new Set<string>();
    const faults: (() => void)[] = [
      () => {
        const p = some();
        if (f.process(p).host.alive) {
          f.kill(p, 'power');
          f.world.scheduleAt(f.world.now() + r.int(duration.s(3)), () => f.start(p));
        }
      },
      () => {
        const p = some();
        if (f.process(p).host.alive && !f.process(p).host.frozen) f.freeze(p, duration.ms(300) + r.int(duration.s(4)));
      },
      () => {
        const a = all.filter(() => r.int(2) === 0);
        const b = all.filter((x) => !a.includes(x));
        const heal = f.partition(a, b);
        f.world.scheduleAt(f.world.now() + r.int(duration.s(4)), heal);
      },
      () => {
        const k = [...stores, ...coordinators][r.int(6)]!;
        if (disks.size === 0 && f.process(k).host.alive) {
          disks.add(k);
          f.kill(k, 'disk');
          f.world.scheduleAt(f.world.now() + r.int(duration.s(2)), () => f.start(k));
        }
      },
      () => f.platform.leave(pickLeavingWorker(f).id),
      () => {
        f.world.setFrameFaults(r.next() * 0.2, r.int(duration.ms(30)));
        f.world.scheduleAt(f.world.now() + duration.s(3), () => f.world.setFrameFaults(0, 0));
      },
      () => {
        f.process(some()).host.clockSkew = (r.int(2) === 0 ? 1 : -1) * duration.s(r.int(10_000_000));
      },
      () => {
        f.world.setExtraDelay(duration.ms(r.int(60)));
        f.world.scheduleAt(f.world.now() + duration.s(3), () => f.world.setExtraDelay(0));
      },
      () =>
        void f
          .push({ ...f.shape.config, slots: { model: 8 + r.int(8), app: 16 } }, 1, 'r', gatewayAddress(f, r.int(7)))
          .catch(() => undefined),
    ];
    const n = 2 + r.int(2);
    for (let i = 0; i < n; i++) f.world.scheduleAt(f.world.now() + r.int(duration.s(8)), faults[r.int(faults.length)]!);
    await run(f, duration.s(13));
    const back = await timeUntilServing(f, duration.s(12));
    await waitForLoad(f, l);
    return outcomeOf(f, { back_ms: duration.toMs(back) });
  },
};
