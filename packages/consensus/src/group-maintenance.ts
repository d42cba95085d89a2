/**
 * Maintenance of the coordinator group and the store group by the leader (§3.3, §6.5): forms the store group, and takes
 * repair steps one after another, each as soon as the previous one is committed.
 */
import type { Clock, Microseconds } from '@thornsail/runtime';
import { storeGroup } from './store-group.js';
import { agreedState, type NodeEntry, type AgreedState } from './agreed-state.js';
import { conditionTracker, sparesOf, spreadOver, type ConditionTracker } from './member-conditions.js';
import { repair, type Condition, type ReplicaGroup, type RepairStep } from './repair.js';
import type { Consensus } from './driver.js';
import type { Member, Snapshot } from './types.js';

/** The intended number of members of each group. */
export type GroupSizes = { stores: number; coordinators: number };
/** The maintenance of both groups. */
export type GroupMaintenance = {
  /** Takes steps until none is due. A call during a run makes that run check once more at its end. */
  runDueSteps: () => Promise<void>;
  /** Whether the last change of the store group is complete and no further one is due (§6.5). */
  isStoreGroupRepaired: (state: AgreedState) => boolean;
};
type MaintenanceOptions = {
  clock: Clock;
  consensus: Consensus<AgreedState>;
  sizes: GroupSizes;
  /** How long a member must be silent before a spare replaces it, in microseconds. */
  replaceAfter: Microseconds;
  log: (text: string) => void;
};
type Task = (version: Snapshot<AgreedState>) => Promise<boolean>;

const memberOf = (node: NodeEntry): Member => ({ id: node.id, at: node.place });

/** Derives the input of the repair decision for each group from the agreed state. */
type GroupReader = {
  stores: (state: AgreedState) => ReplicaGroup;
  coordinators: (state: AgreedState, members: Member[]) => ReplicaGroup;
};
/**
 * Corrects a coordinator's condition by the leader's own contact with it, which is more recent than the agreed state. A
 * coordinator that answers is not removed, and one that does not answer is not counted for the majority that a change
 * needs. A replaced member stays `replaced`.
 */
const conditionByContact = (condition: Condition, isInContact: boolean): Condition => {
  if (isInContact && (condition === 'silent' || condition === 'overdue')) return 'serving';
  return !isInContact && condition === 'serving' ? 'silent' : condition;
};
const correctedByContact = (group: ReplicaGroup, hasRecentContact: (id: string) => boolean): ReplicaGroup => ({
  ...group,
  members: group.members.map(({ id, condition }) => ({
    id,
    condition: conditionByContact(condition, hasRecentContact(id)),
  })),
});
const groupReader = (
  conditions: ConditionTracker,
  sizes: GroupSizes,
  hasRecentContact: (id: string) => boolean,
): GroupReader => {
  const groupOf = (state: AgreedState, members: Member[], spares: NodeEntry[], size: number): ReplicaGroup => ({
    members: members.map((member) => ({
      id: member.id,
      condition: conditions.condition(state, member, spares, members.length),
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
      return correctedByContact(group, hasRecentContact);
    },
  };
};

const storeFormation =
  ({ consensus, sizes }: MaintenanceOptions): Task =>
  async ({ state }) => {
    const live = agreedState.liveNodes(state, 'store').filter((node) => node.status === 'live');
    if (state.storeGroup.mark !== 0 || live.length < sizes.stores) return false;
    const members = spreadOver(live, []).slice(0, sizes.stores).map(memberOf);
    await consensus.propose((state) => storeGroup.form(state, members));
    return true;
  };

const logStep = ({ log }: MaintenanceOptions, role: string, state: AgreedState, step: RepairStep): void => {
  const name = state.nodes[step.id]?.name ?? '';
  log(`repair of the ${role} group, node ${name} (${step.id}): ${step.change}, because ${step.why}.`);
};
/** Whether a step is still due in the state that it is applied to, which may be newer than the one it was chosen by. */
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
      if (!isStillNext(step, reader.stores(state))) return { state, result: false };
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
      if (!isStillNext(step, reader.coordinators(state, members))) return { state, result: false };
      const next =
        step.change === 'remove'
          ? members.filter((member) => member.id !== step.id)
          : [...members, memberOf(state.nodes[step.id]!)];
      return { state, members: next, result: true };
    });
    return true;
  };

/**
 * Returns a function that calls `runOnce` until it returns false. Runs do not overlap: a call during a run makes that
 * run check once more at its end.
 */
const untilDone = (runOnce: () => Promise<boolean>): (() => Promise<void>) => {
  let running: Promise<void> | undefined;
  let runAgain = false;
  const run = async (): Promise<void> => {
    do {
      runAgain = false;
      while (await runOnce());
    } while (runAgain);
  };
  return () => {
    runAgain = true;
    running ??= run().finally(() => {
      running = undefined;
    });
    return running;
  };
};

/** Opens the maintenance of both groups. On a member that is not the leader it does nothing. */
export const groupMaintenance = {
  open: (options: MaintenanceOptions): GroupMaintenance => {
    const { consensus, sizes } = options;
    const reader = groupReader(conditionTracker.open(options), sizes, consensus.hasRecentContact);
    const tasks = [storeFormation(options), storeRepair(options, reader), coordinatorRepair(options, reader)];
    /** Takes one step for each group; returns false if none was due. */
    const runOnce = async (): Promise<boolean> => {
      const version = consensus.committed();
      if (consensus.role() !== 'leader' || !version) return false;
      const results = await Promise.all(tasks.map((task) => task(version)));
      return results.includes(true);
    };
    return {
      isStoreGroupRepaired: (state) => {
        const group = reader.stores(state);
        return group.settled && repair.next(group) === undefined;
      },
      runDueSteps: untilDone(runOnce),
    };
  },
};
