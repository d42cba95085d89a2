// Scenario `disk` (§9.4).
import { duration } from '@thornsail/runtime';
import { type Fleet, fleet } from '../fleet/index.js';
import { type Pushed, headOf, later, operator, read } from '../operator-calls.js';
import { type Scenario, finish, gatewayAt, stores, run, serving, settleLoad } from '../scene.js';

/** Disks that are full, slow or fail at a write, a sync, a rename or a read. */
export const disk: Scenario = {
  rule: 'a failed write is never acknowledged; a full disk refuses; slow ones only slow down',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const r = f.world.rand;
    const l = f.load({ chats: 50, kept: 10, jobs: 60, over: duration.s(18) });
    const acked: Pushed[] = [];
    const push = operator(f, acked);
    for (let i = 0; i < 14; i++)
      later(f, duration.ms(300) + r.int(duration.s(18)), () => void push(gatewayAt(f, r.int(7))));
    const disk = (name: string): Fleet['processes'][number]['host']['disk'] => f.process(name).host.disk;
    const [a, b, c] = r.int(2) ? stores : [...stores].reverse();
    disk(c!).slow = 30;
    later(f, duration.s(1), () => (disk(a!).full = true));
    later(f, duration.s(4), () => (disk(a!).full = false));
    later(f, duration.s(5), () => {
      const head = headOf(f);
      disk(head).full = true;
      later(f, duration.s(3), () => (disk(head).full = false));
    });
    const stopped: string[] = [];
    const breaks = (name: string, how: 'write' | 'sync' | 'rename'): void => {
      disk(name).fail[how] = 1;
      later(f, duration.s(2), () => {
        if (f.process(name).host.alive) f.breachesOfItsOwn.push(`${name} goes on with a disk that fails at ${how}`);
        stopped.push(name);
        disk(name).fail[how] = 0;
        // Its first start fails as well: it cannot read what it has.
        disk(name).fail.read = 1;
        f.start(name);
        later(f, duration.s(1), () => {
          disk(name).fail.read = 0;
          if (f.process(name).host.alive) f.breachesOfItsOwn.push(`${name} runs though it could not read its disk`);
          else f.start(name);
        });
      });
    };
    // A store's registers are written in place; a rename that fails there is durable-files/test/batches.test's.
    later(f, duration.s(9), () => breaks(b!, (['sync', 'sync', 'write'] as const)[r.int(3)]!));
    // Until the store is back no second machine with a disk may be lost.
    later(f, duration.s(14), () => {
      const t = headOf(f);
      void push(gatewayAt(f, 1));
      breaks(t, (['sync', 'rename', 'write'] as const)[r.int(3)]!);
    });
    await run(f, duration.s(19));
    const back = await serving(f, duration.s(12));
    await settleLoad(f, l);
    const now = await read(f);
    const top = Math.max(0, ...acked.map((x) => x.mark));
    if (now.mark < top) f.breachesOfItsOwn.push(`acknowledged mark ${top} is gone, ${now.mark} is there`);
    if (stopped.length < 2) f.breachesOfItsOwn.push('no disk failed: the scenario shows nothing');
    return finish(f, { acknowledged: acked.length, back_ms: duration.toMs(back) });
  },
};
