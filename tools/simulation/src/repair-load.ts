// The load of a repair run, and the check at its end that every acknowledged change can be read (§6.5).
import { duration, type Microseconds } from '@thornsail/runtime';
import { runUntil, type RepairCluster } from './repair-cluster.js';

const writeInterval = duration.ms(40);
const pushInterval = 5 * writeInterval;
/** Wall-clock time, in microseconds, beyond the end of every run. */
const neverExpires = 9e15;
const config = {
  classes: { c: { kind: 'model', budgetTokens: 1000 } },
};

/** Writes to registers; `writeUntil` repeats them until a simulated time. */
export type RegisterLoad = {
  /** Writes one register; resolves to whether the write was acknowledged. */
  write: (key: string) => Promise<boolean>;
  /** Acknowledged values by key. */
  acknowledged: Map<string, string>;
  writeUntil: (end: Microseconds) => void;
};
/**
 * Changes of the configuration; `pushUntil` repeats them until a simulated time, `newest` is the highest acknowledged
 * version, 0 if there is none.
 */
export type ConfigurationLoad = { pushUntil: (end: Microseconds) => void; newest: () => number };

/** Writes registers one after another through a random live store, and records the acknowledged ones. */
export const openRegisterLoad = (cluster: RepairCluster): RegisterLoad => {
  const acknowledged = new Map<string, string>();
  const write = async (key: string): Promise<boolean> => {
    const nodes = cluster.live('store').flatMap((process) => (process.node ? [process.node] : []));
    const node = nodes[cluster.world.rand.int(Math.max(1, nodes.length))];
    if (!node) return false;
    try {
      await node.registers.change(
        key,
        () => ({ stored: { value: key, expiresAt: neverExpires }, result: true }),
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
  const writeUntil = (end: Microseconds): void => {
    void write(`load/${++n}`);
    if (cluster.world.now() + writeInterval < end)
      cluster.world.scheduleAt(cluster.world.now() + writeInterval, () => writeUntil(end));
  };
  return { write, acknowledged, writeUntil };
};
/** Pushes configurations, each based on the current one, and records the newest acknowledged version. */
export const openConfigurationLoad = (cluster: RepairCluster): ConfigurationLoad => {
  let newest = 0;
  let n = 0;
  const push = async (): Promise<void> => {
    const nodes = [...cluster.live('coordinator'), ...cluster.live('store')].flatMap((process) =>
      process.node ? [process.node] : [],
    );
    const node = nodes[cluster.world.rand.int(Math.max(1, nodes.length))];
    if (!node) return;
    try {
      const { state } = (await node.control.read()).value;
      const result = await node.control.push({ id: `p${++n}`, base: state.config.mark, how: 'whole', body: config });
      if (result.ok) newest = Math.max(newest, result.mark);
    } catch {
      // Not acknowledged: the push may be lost.
    }
  };
  const pushUntil = (end: Microseconds): void => {
    void push();
    if (cluster.world.now() + pushInterval < end)
      cluster.world.scheduleAt(cluster.world.now() + pushInterval, () => pushUntil(end));
  };
  return { pushUntil, newest: () => newest };
};

/** Reads all acknowledged changes back; describes those that are missing, at most five. */
export const verifyAcknowledged = async (cluster: RepairCluster, keys: string[], newest: number): Promise<string[]> => {
  const problems: string[] = [];
  const node = cluster.live('store').find((process) => process.node)?.node;
  if (!node) return ['no store is up'];
  let done = false;
  const readAll = async (): Promise<void> => {
    for (let i = 0; i < keys.length; i += 64) {
      const batch = keys.slice(i, i + 64);
      const values = await node.registers.readMany(batch, duration.s(3)).catch((error: unknown) => String(error));
      if (typeof values === 'string') problems.push(`${batch.length} registers could not be read: ${values}`);
      else
        for (const [j, value] of values.entries())
          if (value !== batch[j]) problems.push(`register ${batch[j]!} is lost`);
    }
    const configuration = await node.control.read().catch((error: unknown) => String(error));
    if (typeof configuration === 'string') problems.push(`the configuration could not be read: ${configuration}`);
    else if (configuration.value.state.config.mark < newest)
      problems.push(
        `configuration ${newest} was acknowledged, but the current one is ${configuration.value.state.config.mark}`,
      );
    done = true;
  };
  void readAll();
  if ((await runUntil(cluster, () => done, duration.s(60))) === Infinity)
    problems.push('acknowledged changes could not be read back within 60 s');
  return problems.slice(0, 5);
};
