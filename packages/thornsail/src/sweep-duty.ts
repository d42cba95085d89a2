// When a keeper sweeps (§6.5). Now and then one keeper does, by a lease. After a change of group the first member that
// lives does at once, without a lease: the lease may be with the very keeper that was lost, and two sweeps at once do
// no harm, as every key is settled by a ballot.
import { time, us, type Lens, type Place, type Us } from '@thornsail/runtime';
import { watch } from '@thornsail/leases';
import type { Mooring } from '@thornsail/membership';
import { sweep, type Group, type Registers, type SweepPace, type SweepResult } from '@thornsail/register-store';
import type { Ordered } from '@thornsail/consensus';
import type { Pipe } from '@thornsail/rpc';

/** Between two passes while the group stays as it is. */
const fullEvery = us.s(20);
/** How often it is looked at whether a pass is due; a new agreed state is looked at when it comes. */
const lookEvery = us.ms(100);
/** A change that the first member has not swept in this time is swept by whoever holds the lease as well. */
const firstWithin = us.s(1);
const tellWithin = us.s(3);
const pauseBetweenKeys = us.ms(2);

export const groupOf = (m: Mooring): Group | undefined => {
  const k = m.state()?.keepers;
  return k && k.mark > 0 ? { mark: k.mark, members: k.members } : undefined;
};
/** The member that sweeps after a change: the first that the roster has alive. */
const firstMember = (s: Ordered): string | undefined =>
  s.keepers.members.find((k) => s.roster[k.id] !== undefined && s.roster[k.id]!.standing !== 'dead')?.id;

export const sweepDuty = (o: {
  lens: Lens;
  pipe: Pipe;
  mooring: Mooring;
  registers: Registers;
  id: string;
  voters: () => Place[];
  counts: Record<string, number>;
}): (() => void) => {
  const { lens, mooring: m, counts } = o;
  const { clock } = lens;
  const log = lens.log('keeper');
  const lease = watch.duty({ lens, pipe: o.pipe, name: 'sweep', by: o.id, voters: o.voters });
  let lastFull = clock.now();
  let changed: { mark: number; at: Us } = { mark: 0, at: clock.now() };
  let closed = false;

  const count = (r: SweepResult): void => {
    const add = (name: string, n: number): void => void (counts[name] = (counts[name] ?? 0) + n);
    add('sweeps', 1);
    add('swept_keys', r.seen);
    add('swept_ranges', r.ranges);
    add('swept_mended', r.mended);
  };
  const pass = async (group: Group, pace: SweepPace): Promise<boolean> => {
    const still = (): boolean => !closed && groupOf(m)?.mark === group.mark;
    const r = await sweep.pass({
      clock,
      pipe: o.pipe,
      registers: o.registers,
      group,
      all: pace === 'change',
      pause: pace === 'usual' ? pauseBetweenKeys : 0,
      pace,
      still,
    });
    count(r);
    return r.complete;
  };
  /** Settles everything under the new mark, says so, and then fills the newcomer. */
  const sweepChange = async (group: Group): Promise<void> => {
    if (!(await pass(group, 'change'))) return;
    log(`every record is on a majority of group ${group.mark}.`);
    await m.core.ask({ op: 'swept', mark: group.mark }, tellWithin).catch(() => undefined);
    // Brings up what the newcomer lacks; the lease's holder goes on if this one is lost meanwhile.
    lastFull = clock.now() - fullEvery;
    if (await pass(group, 'fill')) lastFull = clock.now();
  };
  const isMine = (s: Ordered): boolean =>
    firstMember(s) === o.id || (lease.holds() && clock.now() - changed.at > firstWithin);
  const once = async (): Promise<void> => {
    const s = m.state();
    const group = groupOf(m);
    if (closed || !s || !group) return;
    if (changed.mark !== group.mark) changed = { mark: group.mark, at: clock.now() };
    if (s.keepers.swept !== group.mark) {
      if (isMine(s)) await sweepChange(group);
      return;
    }
    if (!lease.holds() || clock.now() - lastFull < fullEvery) return;
    if (await pass(group, 'usual')) lastFull = clock.now();
  };
  let running = false;
  const look = async (): Promise<void> => {
    if (running) return;
    running = true;
    try {
      await once();
    } finally {
      running = false;
    }
  };
  m.onState(() => void look().catch(() => undefined));
  const stop = time.every(clock, lookEvery, look);
  return () => {
    closed = true;
    stop();
    lease.close();
  };
};
