// When a store sweeps (§6.5). Now and then one store does, by a lease. After a change of group the first member that
// lives does at once, without a lease: the lease may be with the very store that was lost, and two sweeps at once do
// no harm, as every key is settled by a ballot.
import { time, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { lease } from '@thornsail/leases';
import type { Membership } from '@thornsail/membership';
import { sweep, type Group, type Registers, type SweepPace, type SweepResult } from '@thornsail/register-store';
import type { AgreedState } from '@thornsail/consensus';
import type { Rpc } from '@thornsail/rpc';

/** Between two passes while the group stays as it is. */
const fullEvery = duration.s(20);
/** How often it is looked at whether a pass is due; a new agreed state is looked at when it comes. */
const lookEvery = duration.ms(100);
/** A change that the first member has not swept in this time is swept by whoever holds the lease as well. */
const firstWithin = duration.s(1);
const tellWithin = duration.s(3);
const pauseBetweenKeys = duration.ms(2);

/** The group of stores as the newest agreed state known here has it; undefined before one is formed. */
export const groupOf = (membership: Membership): Group | undefined => {
  const group = membership.state()?.storeGroup;
  return group && group.mark > 0 ? { version: group.mark, members: group.members } : undefined;
};
/** The member that sweeps after a change: the first that the agreed state has alive. */
const firstMember = ({ storeGroup, nodes }: AgreedState): string | undefined =>
  storeGroup.members.find(({ id }) => nodes[id] !== undefined && nodes[id].status !== 'dead')?.id;

type SweepDutyOptions = {
  runtime: Runtime;
  rpc: Rpc;
  membership: Membership;
  registers: Registers;
  /** The identity of this store. */
  id: string;
  /** Where the lease of the sweep is asked for. */
  voters: () => Address[];
  /** Counters by name; the passes of this store are added. */
  counts: Record<string, number>;
};
/** Sweeps all keys once; false where the group changed meanwhile, or not every key was settled. */
type Pass = (group: Group, pace: SweepPace) => Promise<boolean>;

const addCounts = (counts: Record<string, number>, result: SweepResult): void => {
  const add = (name: string, by: number): void => void (counts[name] = (counts[name] ?? 0) + by);
  add('sweeps', 1);
  add('swept_keys', result.seen);
  add('swept_ranges', result.ranges);
  add('swept_mended', result.repaired);
};
const passes =
  ({ runtime, rpc, membership, registers, counts }: SweepDutyOptions, isClosed: () => boolean): Pass =>
  async (group, pace) => {
    const result = await sweep.pass({
      clock: runtime.clock,
      rpc,
      registers,
      group,
      afterGroupChange: pace === 'change',
      pause: pace === 'usual' ? pauseBetweenKeys : 0,
      pace,
      shouldContinue: () => !isClosed() && groupOf(membership)?.version === group.version,
    });
    addCounts(counts, result);
    return result.complete;
  };

type Sweeper = {
  /** Makes the pass that is due, if this store is to make it. */
  once: () => Promise<void>;
  close: () => void;
};
const openSweeper = (options: SweepDutyOptions): Sweeper => {
  const { runtime, rpc, membership, id, voters } = options;
  const { clock } = runtime;
  const log = runtime.log('store');
  const sweepLease = lease.open({ runtime, rpc, name: 'sweep', holder: id, voters });
  let lastFull = clock.now();
  let changed: { mark: number; at: Microseconds } = { mark: 0, at: clock.now() };
  let closed = false;
  const pass = passes(options, () => closed);

  /** Settles everything under the new mark, says so, and then fills the newcomer. */
  const sweepChange = async (group: Group): Promise<void> => {
    if (!(await pass(group, 'change'))) return;
    log(`every record is on a majority of group ${group.version}.`);
    await membership.core
      .request({ type: 'sweep-complete', version: group.version }, tellWithin)
      .catch(() => undefined);
    // Brings up what the newcomer lacks; the lease's holder goes on if this one is lost meanwhile.
    lastFull = clock.now() - fullEvery;
    if (await pass(group, 'fill')) lastFull = clock.now();
  };
  const isMine = (ordered: AgreedState): boolean =>
    firstMember(ordered) === id || (sweepLease.holds() && clock.now() - changed.at > firstWithin);
  return {
    once: async () => {
      const ordered = membership.state();
      const group = groupOf(membership);
      if (closed || !ordered || !group) return;
      if (changed.mark !== group.version) changed = { mark: group.version, at: clock.now() };
      if (ordered.storeGroup.swept !== group.version) {
        if (isMine(ordered)) await sweepChange(group);
        return;
      }
      if (!sweepLease.holds() || clock.now() - lastFull < fullEvery) return;
      if (await pass(group, 'usual')) lastFull = clock.now();
    },
    close: () => {
      closed = true;
      sweepLease.close();
    },
  };
};

/** Sweeps from now on whenever it is due, one pass at a time, until the function that it gives is called. */
export const sweepDuty = (options: SweepDutyOptions): (() => void) => {
  const sweeper = openSweeper(options);
  let running = false;
  const look = async (): Promise<void> => {
    if (running) return;
    running = true;
    try {
      await sweeper.once();
    } finally {
      running = false;
    }
  };
  options.membership.onState(() => void look().catch(() => undefined));
  const stop = time.every(options.runtime.clock, lookEvery, look);
  return () => {
    stop();
    sweeper.close();
  };
};
