// Scenario `disk` (§9.4).
import { duration } from '@thornsail/runtime';
import { type Fleet, fleet } from '../fleet/index.js';
import { type AcknowledgedPush, leaderName, runAfter, openOperator, readConfigMark } from '../operator-calls.js';
import {
  type Scenario,
  outcomeOf,
  gatewayAddress,
  stores,
  run,
  timeUntilServing,
  waitForLoad,
} from '../scenario-support.js';

/** Disks that are full, slow or fail at a write, a sync, a rename or a read. */
export const disk: Scenario = {
  rule: 'a failed write is never acknowledged; a full disk refuses; slow ones only slow down',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const r = f.world.rand;
    const l = f.load({ chats: 50, kept: 10, jobs: 60, spreadOver: duration.s(18) });
    const acked: AcknowledgedPush[] = [];
    const push = openOperator(f, acked);
    for (let i = 0; i < 14; i++)
      runAfter(f, duration.ms(300) + r.int(duration.s(18)), () => void push(gatewayAddress(f, r.int(7))));
    const disk = (name: string): Fleet['processes'][number]['host']['disk'] => f.process(name).host.disk;
    const [a, b, c] = r.int(2) ? stores : [...stores].reverse();
    disk(c!).syncTimeFactor = 30;
    runAfter(f, duration.s(1), () => (disk(a!).full = true));
    runAfter(f, duration.s(4), () => (disk(a!).full = false));
    runAfter(f, duration.s(5), () => {
      const head = leaderName(f);
      disk(head).full = true;
      runAfter(f, duration.s(3), () => (disk(head).full = false));
    });
    const stopped: string[] = [];
    const breaks = (name: string, how: 'write' | 'sync' | 'rename'): void => {
      disk(name).fail[how] = 1;
      runAfter(f, duration.s(2), () => {
        if (f.process(name).host.alive) f.reportedBreaches.push(`${name} goes on with a disk that fails at ${how}`);
        stopped.push(name);
        disk(name).fail[how] = 0;
        // Its first start fails as well: it cannot read what it has.
        disk(name).fail.read = 1;
        f.start(name);
        runAfter(f, duration.s(1), () => {
          disk(name).fail.read = 0;
          if (f.process(name).host.alive) f.reportedBreaches.push(`${name} runs though it could not read its disk`);
          else f.start(name);
        });
      });
    };
    // A store's registers are written in place; a rename that fails there is durable-files/test/batches.test's.
    runAfter(f, duration.s(9), () => breaks(b!, (['sync', 'sync', 'write'] as const)[r.int(3)]!));
    // Until the store is back no second machine with a disk may be lost.
    runAfter(f, duration.s(14), () => {
      const t = leaderName(f);
      void push(gatewayAddress(f, 1));
      breaks(t, (['sync', 'rename', 'write'] as const)[r.int(3)]!);
    });
    await run(f, duration.s(19));
    const back = await timeUntilServing(f, duration.s(12));
    await waitForLoad(f, l);
    const now = await readConfigMark(f);
    const top = Math.max(0, ...acked.map((x) => x.mark));
    if (now.mark < top) f.reportedBreaches.push(`acknowledged mark ${top} is gone, ${now.mark} is there`);
    if (stopped.length < 2) f.reportedBreaches.push('no disk failed: the scenario shows nothing');
    return outcomeOf(f, { acknowledged: acked.length, back_ms: duration.toMs(back) });
  },
};
