/**
 * The leader's upkeep of the two groups (§3.3, §6.5): it forms the store group, and takes one step of repair after
 * another, each as soon as the one before is agreed on.
 */
import type { Clock, Microseconds } from '@thornsail/runtime';
import { storeGroup } from './store-group.js';
import { agreedState, type NodeEntry, type AgreedState } from './agreed-state.js';
import { presence, sparesOf, spreadOver, type Presence } from './presence.js';
import { repair, type Condition, type ReplicaGroup, type RepairStep } from './repair.js';
import type { Consensus } from './driver.js';
import type { Member, Snapshot } from './types.js';

/** How many members each group should have. */
export type GroupSizes = { stores: number; coordinators: number };
/** The upkeep as the leader runs it. */
export type GroupMaintenance = {
  /** Takes the steps that are due, until there is none; a call while one runs makes it look once more. */
  act: () => Promise<void>;
  /** Whether the store group's last change is complete and no further one is due (§6.5). */
  storesRepaired: (state: AgreedState) => boolean;
};
type MaintenanceOptions = {
  clock: Clock;
  consensus: Consensus<AgreedState>;
  sizes: GroupSizes;
  /** How long a member is missed before a spare takes its place, in microseconds. */
  replaceAfter: Microseconds;
  log: (text: string) => void;
};
type Task = (version: Snapshot<AgreedState>) => Promise<boolean>;

const memberOf = (node: NodeEntry): Member => ({ id: node.id, at: node.place });

/** Both groups as the repair sees them. */
type GroupReader = {
  stores: (state: AgreedState) => ReplicaGroup;
  coordinators: (state: AgreedState, members: Member[]) => ReplicaGroup;
};
/**
 * The leader hears the coordinators itself, and sooner than the agreed state says so: one that answers is not removed,
 * and one that does not is no part of the majority that a change relies on. One that is gone stays gone.
 */
const conditionByContact = (condition: Condition, isInTouch: boolean): Condition => {
  if (isInTouch && (condition === 'silent' || condition === 'overdue')) return 'serving';
  return !isInTouch && condition === 'serving' ? 'silent' : condition;
};
const heardDirectly = (group: ReplicaGroup, isInTouch: (id: string) => boolean): ReplicaGroup => ({
  ...group,
  members: group.members.map(({ id, condition }) => ({ id, condition: conditionByContact(condition, isInTouch(id)) })),
});
const groupReader = (present: Presence, sizes: GroupSizes, isInTouch: (id: string) => boolean): GroupReader => {
  const groupOf = (state: AgreedState, members: Member[], spares: NodeEntry[], size: number): ReplicaGroup => ({
    members: members.map((member) => ({
      id: member.id,
      condition: present.condition(state, member, spares, members.length),
    })),
    spares: spares.map((node) => node.id),
    size,
    settled: true,
  });
  return {
    stores: (state) => {
      const { members, mark, swept } = state.storeGroup;
      const group = groupOf(state, members, sparesOf(state, 'store', members), sizes.stores);
      return { ...group, settled: mark > 0 && swept === mark };
    },
    coordinators: (state, members) => {
      const group = groupOf(state, members, sparesOf(state, 'coordinator', members), sizes.coordinators);
      return heardDirectly(group, isInTouch);
    },
  };
};

const storeFormation =
  ({ consensus, sizes }: MaintenanceOptions): Task =>
  async ({ state }) => {
    const live = agreedState.liveNodes(state, 'store').filter((node) => node.status === 'live');
    if (state.storeGroup.mark !== 0 || live.length < sizes.stores) return false;
    const first = spreadOver(live, []).slice(0, sizes.stores).map(memberOf);
    await consensus.propose((state) => storeGroup.form(state, first));
    return true;
  };

const logStep = ({ log }: MaintenanceOptions, role: string, state: AgreedState, step: RepairStep): void => {
  const name = state.nodes[step.id]?.name ?? '';
  log(`${role} ${name} (${step.id}): ${step.change} in its group, ${step.why}.`);
};
/** A step is judged again on the state that it changes. */
const isStillNext = (step: RepairStep, group: ReplicaGroup): boolean => {
  const next = repair.next(group);
  return next?.id === step.id && next.change === step.change;
};

const storeRepair =
  (options: MaintenanceOptions, reader: GroupReader): Task =>
  async ({ state }) => {
    const step = repair.next(reader.stores(state));
    if (!step) return false;
    logStep(options, 'store', state, step);
    await options.consensus.propose((state) => {
      if (!isStillNext(step, reader.stores(state))) return { state: state, result: false };
      return step.change === 'remove'
        ? storeGroup.change(state, { remove: step.id })
        : storeGroup.change(state, { add: memberOf(state.nodes[step.id]!) });
    });
    return true;
  };

const coordinatorRepair =
  (options: MaintenanceOptions, reader: GroupReader): Task =>
  async (version) => {
    const step = repair.next(reader.coordinators(version.state, version.members));
    if (!step) return false;
    logStep(options, 'coordinator', version.state, step);
    await options.consensus.propose((state, members) => {
      if (!isStillNext(step, reader.coordinators(state, members))) return { state: state, result: false };
      const next =
        step.change === 'remove'
          ? members.filter((member) => member.id !== step.id)
          : [...members, memberOf(state.nodes[step.id]!)];
      return { state: state, members: next, result: true };
    });
    return true;
  };

/** Runs `once` until it gives false; a call while it runs makes it run once more. */
const untilDone = (once: () => Promise<boolean>): (() => Promise<void>) => {
  let running: Promise<void> | undefined;
  let again = false;
  const run = async (): Promise<void> => {
    do {
      again = false;
      while (await once());
    } while (again);
  };
  return () => {
    again = true;
    running ??= run().finally(() => {
      running = undefined;
    });
    return running;
  };
};

/** Opens the upkeep of both groups. It acts on the leader alone. */
export const groupMaintenance = {
  open: (options: MaintenanceOptions): GroupMaintenance => {
    const { consensus, sizes } = options;
    const reader = groupReader(presence.open(options), sizes, consensus.isInTouch);
    const tasks = [storeFormation(options), storeRepair(options, reader), coordinatorRepair(options, reader)];
    /** One step for each group; false if nothing was due. */
    const once = async (): Promise<boolean> => {
      const version = consensus.committed();
      if (consensus.role() !== 'leader' || !version) return false;
      const taken = await Promise.all(tasks.map((task) => task(version)));
      return taken.includes(true);
    };
    return {
      storesRepaired: (state) => {
        const group = reader.stores(state);
        return group.settled && repair.next(group) === undefined;
      },
      act: untilDone(once),
    };
  },
};
