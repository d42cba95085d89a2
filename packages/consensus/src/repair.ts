/**
 * What a group of replicas needs next (§3.3, §6.5): a pure decision, the same for coordinators and for stores. It
 * sees the members with their conditions and the spares, and gives one change of one member, or none.
 */

/**
 * `serving` may be asked; `leaving` serves, and is to be replaced; `silent` does not answer, and may come back with its
 * disk; `overdue` has been silent for so long that a spare takes its place; `gone` never comes back: another identity
 * is at its address.
 */
export type Condition = 'serving' | 'leaving' | 'silent' | 'overdue' | 'gone';
/** A member by its identity. */
export type ReplicaMember = { id: string; condition: Condition };
/** A group of replicas as its leader sees it. */
export type ReplicaGroup = {
  members: ReplicaMember[];
  /** Identities that may join, the best first. */
  spares: string[];
  /** How many members the group should have. */
  size: number;
  /** Whether the last change is complete: everything decided before it is on a majority of these members. */
  settled: boolean;
};
/** A change of one member by its identity; `why` is text for the log. */
export type RepairStep = { change: 'add' | 'remove'; id: string; why: string };

/** A group of fewer has no majority that could bear the next change. */
export const leastReplicas = 2;
/** The smallest number that is more than half of `count`. */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;
const answers = (member: ReplicaMember): boolean => member.condition === 'serving' || member.condition === 'leaving';

/** One that is gone counts for nothing, and its place in the quorum is freed before anything else is done. */
const removeGone = (group: ReplicaGroup): RepairStep | undefined => {
  const gone = group.members.find((member) => member.condition === 'gone');
  if (!gone || group.members.length - 1 < leastReplicas) return undefined;
  return { change: 'remove', id: gone.id, why: 'its address has a new identity' };
};
/** An even group gains by getting smaller: it bears as many losses with a smaller majority. */
const isEven = (group: ReplicaGroup): boolean => group.members.length % 2 === 0;
/**
 * One that may come back is removed only where a spare can take its place, or where the group bears more without it,
 * and the others can complete the change.
 */
const removeOverdue = (group: ReplicaGroup): RepairStep | undefined => {
  const overdue = group.members.find((member) => member.condition === 'overdue');
  const left = group.members.length - 1;
  if (!overdue || left < leastReplicas) return undefined;
  if (group.spares.length === 0 && group.members.length <= group.size && !isEven(group)) return undefined;
  if (group.members.filter(answers).length < majorityOf(left)) return undefined;
  return { change: 'remove', id: overdue.id, why: 'it has been silent for too long' };
};
/** The newcomer is empty: a larger group than before needs its majority without it, a smaller one gains by it. */
const addSpare = (group: ReplicaGroup): RepairStep | undefined => {
  const spare = group.spares[0];
  const replaces = group.members.some((member) => member.condition === 'leaving') ? 1 : 0;
  if (spare === undefined || group.members.length >= group.size + replaces) return undefined;
  const present = group.members.filter(answers).length + (group.members.length < group.size ? 1 : 0);
  if (present < majorityOf(group.members.length + 1)) return undefined;
  return { change: 'add', id: spare, why: 'the group is not full' };
};
/** One that leaves holds what it holds until another is there; without a spare only a full or an even group shrinks. */
const removeLeaving = (group: ReplicaGroup): RepairStep | undefined => {
  const leaving = group.members.find((member) => member.condition === 'leaving');
  const left = group.members.length - 1;
  if (!leaving || left < leastReplicas) return undefined;
  if (group.members.length < group.size && !isEven(group)) return undefined;
  if (group.members.filter((member) => member !== leaving && answers(member)).length < majorityOf(left))
    return undefined;
  return { change: 'remove', id: leaving.id, why: 'it leaves' };
};

/** Decides what a group needs next. */
export const repair = {
  /** Nothing while a change is not complete: majorities of groups one member apart overlap, two apart may not. */
  next: (group: ReplicaGroup): RepairStep | undefined =>
    group.settled ? (removeGone(group) ?? removeOverdue(group) ?? addSpare(group) ?? removeLeaving(group)) : undefined,
};
