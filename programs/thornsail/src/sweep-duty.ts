/**
 * Decides when a store sweeps, that is, brings every record to a majority of the store group (§6.5). While the group
 * stays the same, the holder of a lease sweeps periodically. After a change of the group, its first live member sweeps
 * at once without the lease, since the lost store may hold it; concurrent sweeps are safe, as each key is settled by a
 * ballot.
 */
import { time, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { lease } from '@thornsail/leases';
import type { Membership } from '@thornsail/membership';
import { sweep, type Group, type Registers, type SweepPace, type SweepResult } from '@thornsail/register-store';
import type { AgreedState } from '@thornsail/consensus';
import type { Rpc } from '@thornsail/rpc';

/** Interval between two passes while the group does not change. */
const passInterval = duration.s(20);
/** How often a store checks whether a pass is due; it also checks on each new agreed state. */
const checkInterval = duration.ms(100);
/** If the first member has not swept a new group within this time, the holder of the lease sweeps it as well. */
const firstMemberTimeout = duration.s(1);
const reportTimeout = duration.s(3);
const pauseBetweenKeys = duration.ms(2);

/** The store group of the newest agreed state that this node knows; undefined before a group is formed. */
export const groupOf = (membership: Membership): Group | undefined => {
  const group = membership.state()?.storeGroup;
  return group && group.mark > 0 ? { version: group.mark, members: group.members } : undefined;
};
/** The identity of the member that sweeps after a change: the first that is live by the agreed state. */
const firstLiveMember = ({ storeGroup, nodes }: AgreedState): string | undefined =>
  storeGroup.members.find(({ id }) => nodes[id] !== undefined && nodes[id].status !== 'dead')?.id;

type SweepDutyOptions = {
  runtime: Runtime;
  rpc: Rpc;
  membership: Membership;
  registers: Registers;
  /** The identity of this store. */
  id: string;
  /** Addresses of the voters that grant the lease. */
  voters: () => Address[];
  /** Counters by name; the passes of this store are added to them. */
  counts: Record<string, number>;
};
/** Sweeps all keys once; false if the group changed meanwhile or not every key was settled. */
type Pass = (group: Group, pace: SweepPace) => Promise<boolean>;

const addCounts = (counts: Record<string, number>, result: SweepResult): void => {
  const add = (name: string, amount: number): void => void (counts[name] = (counts[name] ?? 0) + amount);
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
  /** Makes a pass if one is due and this store is responsible for it. */
  once: () => Promise<void>;
  close: () => void;
};
const openSweeper = (options: SweepDutyOptions): Sweeper => {
  const { runtime, rpc, membership, id, voters } = options;
  const { clock } = runtime;
  const log = runtime.log('store');
  const sweepLease = lease.open({ runtime, rpc, name: 'sweep', holder: id, voters });
  let lastPassAt = clock.now();
  let change: { mark: number; at: Microseconds } = { mark: 0, at: clock.now() };
  let closed = false;
  const pass = passes(options, () => closed);

  /** Settles every record under the new group version, reports that to the core, and then fills the new member. */
  const sweepChange = async (group: Group): Promise<void> => {
    if (!(await pass(group, 'change'))) return;
    log(`every record is on a majority of group ${group.version}.`);
    await membership.core
      .request({ type: 'sweep-complete', version: group.version }, reportTimeout)
      .catch(() => undefined);
    // Copies what the new member lacks; if this store is lost meanwhile, the holder of the lease continues.
    lastPassAt = clock.now() - passInterval;
    if (await pass(group, 'fill')) lastPassAt = clock.now();
  };
  const isResponsible = (agreed: AgreedState): boolean =>
    firstLiveMember(agreed) === id || (sweepLease.holds() && clock.now() - change.at > firstMemberTimeout);
  return {
    once: async () => {
      const agreed = membership.state();
      const group = groupOf(membership);
      if (closed || !agreed || !group) return;
      if (change.mark !== group.version) change = { mark: group.version, at: clock.now() };
      if (agreed.storeGroup.swept !== group.version) {
        if (isResponsible(agreed)) await sweepChange(group);
        return;
      }
      if (!sweepLease.holds() || clock.now() - lastPassAt < passInterval) return;
      if (await pass(group, 'usual')) lastPassAt = clock.now();
    },
    close: () => {
      closed = true;
      sweepLease.close();
    },
  };
};

/** Sweeps whenever a pass is due, one pass at a time; the returned function stops it. */
export const sweepDuty = (options: SweepDutyOptions): (() => void) => {
  const sweeper = openSweeper(options);
  let running = false;
  const sweepIfDue = async (): Promise<void> => {
    if (running) return;
    running = true;
    try {
      await sweeper.once();
    } finally {
      running = false;
    }
  };
  options.membership.onState(() => void sweepIfDue().catch(() => undefined));
  const stop = time.every(options.runtime.clock, checkInterval, sweepIfDue);
  return () => {
    stop();
    sweeper.close();
  };
};
