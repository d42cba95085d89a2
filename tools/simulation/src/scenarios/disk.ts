// Scenario `disk`: disk faults of stores and coordinators (§9.4).
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

/**
 * Injects disks that are full or slow, or that fail a write, sync, rename or read. A node must stop if its disk fails;
 * its first restart fails too, because the disk cannot be read. The leader's disk fails only once the store is back,
 * since at most one machine with a disk may be down. Stores rename nothing when they write registers, so their renames
 * are failed in durable-files/test/batches.test.
 */
export const disk: Scenario = {
  rule: 'a failed write is never acknowledged; a full disk rejects writes; a slow disk only adds latency',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const rng = sim.world.rand;
    const load = sim.load({ chats: 50, kept: 10, jobs: 60, spreadOver: duration.s(18) });
    const acknowledged: AcknowledgedPush[] = [];
    const pushConfig = openOperator(sim, acknowledged);
    for (let i = 0; i < 14; i++)
      runAfter(sim, duration.ms(300) + rng.int(duration.s(18)), () => void pushConfig(gatewayAddress(sim, rng.int(7))));
    const diskOf = (name: string): Fleet['processes'][number]['host']['disk'] => sim.process(name).host.disk;
    const [fullStore, failingStore, slowStore] = rng.int(2) ? stores : [...stores].reverse();
    diskOf(slowStore!).syncTimeFactor = 30;
    runAfter(sim, duration.s(1), () => (diskOf(fullStore!).full = true));
    runAfter(sim, duration.s(4), () => (diskOf(fullStore!).full = false));
    runAfter(sim, duration.s(5), () => {
      const leader = leaderName(sim);
      diskOf(leader).full = true;
      runAfter(sim, duration.s(3), () => (diskOf(leader).full = false));
    });
    const failedDisks: string[] = [];
    const failDisk = (name: string, operation: 'write' | 'sync' | 'rename'): void => {
      diskOf(name).fail[operation] = 1;
      runAfter(sim, duration.s(2), () => {
        if (sim.process(name).host.alive)
          sim.reportedBreaches.push(`${name} still runs although its disk fails at ${operation}`);
        failedDisks.push(name);
        diskOf(name).fail[operation] = 0;
        diskOf(name).fail.read = 1;
        sim.start(name);
        runAfter(sim, duration.s(1), () => {
          diskOf(name).fail.read = 0;
          if (sim.process(name).host.alive)
            sim.reportedBreaches.push(`${name} started although it could not read its disk`);
          else sim.start(name);
        });
      });
    };
    runAfter(sim, duration.s(9), () => failDisk(failingStore!, (['sync', 'sync', 'write'] as const)[rng.int(3)]!));
    runAfter(sim, duration.s(14), () => {
      const leader = leaderName(sim);
      void pushConfig(gatewayAddress(sim, 1));
      failDisk(leader, (['sync', 'rename', 'write'] as const)[rng.int(3)]!);
    });
    await run(sim, duration.s(19));
    const recovery = await timeUntilServing(sim, duration.s(12));
    await waitForLoad(sim, load);
    const current = await readConfigMark(sim);
    const newest = Math.max(0, ...acknowledged.map((push) => push.mark));
    if (current.mark < newest)
      sim.reportedBreaches.push(`acknowledged version ${newest} was lost, found ${current.mark}`);
    if (failedDisks.length < 2) sim.reportedBreaches.push('no disk failed, so nothing was verified');
    return outcomeOf(sim, { acknowledged: acknowledged.length, back_ms: duration.toMs(recovery) });
  },
};
