// The load of a repair run, and what was acknowledged to it read back at the end (§6.5).
import { duration, type Microseconds } from '@thornsail/runtime';
import { runUntil, type RepairStage } from './repair-stage.js';

const loadEvery = duration.ms(40);
const pushEvery = 5 * loadEvery;
/** Wall time, microseconds: beyond the end of every run. */
const keptUntil = 9e15;
const config = {
  classes: { c: { kind: 'model', budgetTokens: 1000 } },
};

/** Writes to registers; `every` repeats them until a time of the world, in microseconds. */
export type RegisterLoad = {
  /** Resolves to whether the write was acknowledged. */
  write: (key: string) => Promise<boolean>;
  /** What was acknowledged: value by key. */
  acknowledged: Map<string, string>;
  every: (end: Microseconds) => void;
};
/** Changes of configuration; `newest` is the highest mark that was acknowledged, 0 if none. */
export type ConfigurationLoad = { every: (end: Microseconds) => void; newest: () => number };

/** Writes registers one after another through any live store, and notes those that were acknowledged. */
export const openLoad = (stage: RepairStage): RegisterLoad => {
  const acknowledged = new Map<string, string>();
  const write = async (key: string): Promise<boolean> => {
    const nodes = stage.live('store').flatMap((process) => (process.node ? [process.node] : []));
    const node = nodes[stage.world.rand.int(Math.max(1, nodes.length))];
    if (!node) return false;
    try {
      await node.registers.change(
        key,
        () => ({ stored: { value: key, expiresAt: keptUntil }, result: true }),
        duration.s(2),
        {
          expectAbsent: true,
        },
      );
      acknowledged.set(key, key);
      return true;
    } catch {
      return false;
    }
  };
  let n = 0;
  const every = (end: Microseconds): void => {
    void write(`load/${++n}`);
    if (stage.world.now() + loadEvery < end) stage.world.scheduleAt(stage.world.now() + loadEvery, () => every(end));
  };
  return { write, acknowledged, every };
};
/** Changes of configuration, each on the one before, and the newest that was acknowledged. */
export const openPushes = (stage: RepairStage): ConfigurationLoad => {
  let newest = 0;
  let n = 0;
  const push = async (): Promise<void> => {
    const nodes = [...stage.live('coordinator'), ...stage.live('store')].flatMap((process) =>
      process.node ? [process.node] : [],
    );
    const node = nodes[stage.world.rand.int(Math.max(1, nodes.length))];
    if (!node) return;
    try {
      const { state } = (await node.control.read()).value;
      const result = await node.control.push({ id: `p${++n}`, base: state.config.mark, how: 'whole', body: config });
      if (result.ok) newest = Math.max(newest, result.mark);
    } catch {
      // Not acknowledged: nothing to hold it to.
    }
  };
  const every = (end: Microseconds): void => {
    void push();
    if (stage.world.now() + pushEvery < end) stage.world.scheduleAt(stage.world.now() + pushEvery, () => every(end));
  };
  return { every, newest: () => newest };
};

/** What was acknowledged and is not there: five lines at most. */
export const readBack = async (stage: RepairStage, keys: string[], newest: number): Promise<string[]> => {
  const out: string[] = [];
  const node = stage.live('store').find((process) => process.node)?.node;
  if (!node) return ['no store is up'];
  let done = false;
  const work = async (): Promise<void> => {
    for (let i = 0; i < keys.length; i += 64) {
      const some = keys.slice(i, i + 64);
      const got = await node.registers.readMany(some, duration.s(3)).catch((error: unknown) => String(error));
      if (typeof got === 'string') out.push(`${some.length} registers could not be read: ${got}`);
      else for (const [j, value] of got.entries()) if (value !== some[j]) out.push(`register ${some[j]!} is gone`);
    }
    const configuration = await node.control.read().catch((error: unknown) => String(error));
    if (typeof configuration === 'string') out.push(`the configuration could not be read: ${configuration}`);
    else if (configuration.value.state.config.mark < newest)
      out.push(`configuration ${newest} was acknowledged, ${configuration.value.state.config.mark} is there`);
    done = true;
  };
  void work();
  if ((await runUntil(stage, () => done, duration.s(60))) === Infinity) out.push('reading back did not end');
  return out.slice(0, 5);
};
