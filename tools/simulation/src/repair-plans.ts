// The plans of losses that repair is held against (§3.3, §6.5).
import { duration, type Microseconds } from '@thornsail/runtime';
import type { Loss, RepairPlan } from './repair-stage.js';

const small = {
  coordinators: 5,
  stores: 3,
  tolerates: 1,
  diskTime: duration.ms(2),
  registers: 300,
  settleFor: duration.s(8),
};
const grown = { ...small, coordinators: 8, stores: 8, tolerates: 2, diskTime: duration.ms(12) };
/** Two losses: the second one comes when the first has had its time to catch up, to the millisecond. */
const twice = (first: Omit<Loss, 'at'>, catchUp: Microseconds, second: Partial<Loss> = {}): Loss[] => [
  { ...first, at: duration.s(1) },
  { ...first, which: 'oldest', at: duration.s(1) + first.backAfter + catchUp, ...second },
];
/** `within`: microseconds until a group must be full again, where that is not the usual aim. */
export type NamedPlan = { name: string; plan: Omit<RepairPlan, 'seed'>; within?: Microseconds };
const wiped = { count: 1, which: 'any', how: 'disk', backAfter: duration.ms(600) } as const;
/** A group is full while the one that leaves is in it, and again without it. */
const handover = { role: 'store', count: 1, which: 'any', how: 'planned', backAfter: duration.s(4.8) } as const;
/** The plans that the test plays, each with several seeds. */
export const repairPlans: NamedPlan[] = [
  {
    name: 'three stores: one is replaced as planned, and 1.5 s after its end is asked for the oldest loses its disk',
    plan: { ...small, losses: twice(handover, duration.s(1.5), { how: 'disk', backAfter: duration.ms(600) }) },
  },
  {
    name: 'three coordinators: one is replaced as planned, then the oldest loses its disk',
    plan: {
      ...small,
      coordinators: 3,
      losses: twice({ ...handover, role: 'coordinator' }, duration.s(1.5), {
        how: 'disk',
        backAfter: duration.ms(600),
      }),
    },
  },
  {
    name: 'three coordinators: one loses its disk, right after its catch-up the oldest does',
    plan: { ...small, coordinators: 3, losses: twice({ ...wiped, role: 'coordinator' }, duration.s(4)) },
  },
  {
    name: 'three coordinators: the leader loses its disk, then the oldest',
    plan: {
      ...small,
      coordinators: 3,
      losses: twice({ ...wiped, role: 'coordinator', which: 'leader' }, duration.s(4)),
    },
  },
  {
    name: 'five coordinators: one loses its disk, then the oldest',
    plan: { ...small, losses: twice({ ...wiped, role: 'coordinator' }, duration.s(4)) },
  },
  {
    name: 'three stores: one loses its disk, then the oldest',
    plan: { ...small, losses: twice({ ...wiped, role: 'store' }, duration.s(4)) },
  },
  {
    name: 'three stores at slow disks: one loses its disk, then the oldest',
    plan: { ...small, slow: 25, losses: twice({ ...wiped, role: 'store' }, duration.s(4)) },
    within: duration.s(2),
  },
  {
    name: 'three stores: one loses its disk, then one loses its power',
    plan: {
      ...small,
      losses: twice({ ...wiped, role: 'store' }, duration.s(4), { how: 'power', backAfter: duration.s(2) }),
    },
  },
  {
    name: 'three stores: one is replaced at another address, then the oldest loses its disk',
    plan: {
      ...small,
      losses: twice({ ...wiped, role: 'store', elsewhere: true, backAfter: duration.s(2) }, duration.s(4.8), {
        elsewhere: false,
      }),
    },
  },
  {
    name: 'five of eight stores: two lose their disks together, then the two oldest',
    plan: { ...grown, losses: twice({ ...wiped, role: 'store', count: 2, backAfter: duration.s(2) }, duration.s(6)) },
  },
  {
    name: 'five of eight coordinators: two lose their disks together, then the two oldest',
    plan: {
      ...grown,
      losses: twice({ ...wiped, role: 'coordinator', count: 2, backAfter: duration.s(2) }, duration.s(6)),
    },
  },
];
