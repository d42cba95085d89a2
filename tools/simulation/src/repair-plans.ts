// The sequences of losses that the repair test runs (§3.3, §6.5).
import { duration, type Microseconds } from '@thornsail/runtime';
import type { Loss, RepairPlan } from './repair-cluster.js';

const smallCluster = {
  coordinators: 5,
  stores: 3,
  tolerates: 1,
  syncTime: duration.ms(2),
  registers: 300,
  settleFor: duration.s(8),
};
const largeCluster = { ...smallCluster, coordinators: 8, stores: 8, tolerates: 2, syncTime: duration.ms(12) };
/** Two losses; the second follows `catchUp` after the end of the first one's downtime. */
const twoLosses = (first: Omit<Loss, 'at'>, catchUp: Microseconds, second: Partial<Loss> = {}): Loss[] => [
  { ...first, at: duration.s(1) },
  { ...first, selection: 'oldest', at: duration.s(1) + first.downtime + catchUp, ...second },
];
/**
 * A plan and its title. `within`: the time in which a group must be full again, if not the test's default. `moreSeeds`:
 * seeds that are run besides the first ones.
 */
export type NamedPlan = {
  name: string;
  plan: Omit<RepairPlan, 'seed'>;
  within?: Microseconds;
  moreSeeds?: readonly number[];
};
const diskLoss = { count: 1, selection: 'any', how: 'disk', downtime: duration.ms(600) } as const;
/** A planned replacement; the group is full before the process leaves, and must be full again without it. */
const plannedReplacement = {
  role: 'store',
  count: 1,
  selection: 'any',
  how: 'planned',
  downtime: duration.s(4.8),
} as const;
/** The plans that the test runs, each with several seeds. */
export const repairPlans: NamedPlan[] = [
  {
    name: 'three stores: one is replaced as planned, and 1.5 s after its drain begins the oldest loses its disk',
    plan: {
      ...smallCluster,
      losses: twoLosses(plannedReplacement, duration.s(1.5), { how: 'disk', downtime: duration.ms(600) }),
    },
  },
  {
    name: 'three coordinators: one is replaced as planned, then the oldest loses its disk',
    plan: {
      ...smallCluster,
      coordinators: 3,
      losses: twoLosses({ ...plannedReplacement, role: 'coordinator' }, duration.s(1.5), {
        how: 'disk',
        downtime: duration.ms(600),
      }),
    },
  },
  {
    name: 'three coordinators: one loses its disk, right after its catch-up the oldest does',
    plan: { ...smallCluster, coordinators: 3, losses: twoLosses({ ...diskLoss, role: 'coordinator' }, duration.s(4)) },
  },
  {
    name: 'three coordinators: the leader loses its disk, then the oldest',
    plan: {
      ...smallCluster,
      coordinators: 3,
      losses: twoLosses({ ...diskLoss, role: 'coordinator', selection: 'leader' }, duration.s(4)),
    },
  },
  {
    name: 'five coordinators: one loses its disk, then the oldest',
    plan: { ...smallCluster, losses: twoLosses({ ...diskLoss, role: 'coordinator' }, duration.s(4)) },
  },
  {
    name: 'three stores: one loses its disk, then the oldest',
    plan: { ...smallCluster, losses: twoLosses({ ...diskLoss, role: 'store' }, duration.s(4)) },
  },
  {
    name: 'three stores at slow disks: one loses its disk, then the oldest',
    plan: { ...smallCluster, syncTimeFactor: 25, losses: twoLosses({ ...diskLoss, role: 'store' }, duration.s(4)) },
    within: duration.s(2),
    moreSeeds: [3, 4],
  },
  {
    name: 'three stores: one loses its disk, then one loses its power',
    plan: {
      ...smallCluster,
      losses: twoLosses({ ...diskLoss, role: 'store' }, duration.s(4), { how: 'power', downtime: duration.s(2) }),
    },
  },
  {
    name: 'three stores: one is replaced at another address, then the oldest loses its disk',
    plan: {
      ...smallCluster,
      losses: twoLosses({ ...diskLoss, role: 'store', atNewAddress: true, downtime: duration.s(2) }, duration.s(4.8), {
        atNewAddress: false,
      }),
    },
  },
  {
    name: 'five of eight stores: two lose their disks together, then the two oldest',
    plan: {
      ...largeCluster,
      losses: twoLosses({ ...diskLoss, role: 'store', count: 2, downtime: duration.s(2) }, duration.s(6)),
    },
  },
  {
    name: 'five of eight coordinators: two lose their disks together, then the two oldest',
    plan: {
      ...largeCluster,
      losses: twoLosses({ ...diskLoss, role: 'coordinator', count: 2, downtime: duration.s(2) }, duration.s(6)),
    },
  },
];
