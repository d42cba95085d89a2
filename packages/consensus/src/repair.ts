/**
 * The repair decision for a group of replicas (§3.3, §6.5): a pure function, the same for coordinators and stores. From
 * the members with their conditions and the spares it derives at most one change of one member.
 */

/**
 * The condition of a member. `serving`: answers requests. `leaving`: still serves, but is to be replaced. `silent`:
 * does not answer, and may come back with its disk. `overdue`: has been silent for so long that a spare should replace
 * it. `replaced`: another identity has its address, so it never comes back.
 */
export type Condition = 'serving' | 'leaving' | 'silent' | 'overdue' | 'replaced';
/** A member's identity and condition. */
export type ReplicaMember = { id: string; condition: Condition };
/** A group of replicas as known to the leader. */
export type ReplicaGroup = {
  members: ReplicaMember[];
  /** Identities that may join, in order of preference. */
  spares: string[];
  /** The intended number of members. */
  size: number;
  /** Whether the last change is complete: everything decided before it is on a majority of these members. */
  settled: boolean;
};
/** A change of one member by its identity; `why` is the reason, as text for the log. */
export type RepairStep = { change: 'add' | 'remove'; id: string; why: string };

/** The smallest size that a removal may leave: a single member has no majority that survives the next change. */
export const minimumReplicas = 2;
/** The smallest number that is more than half of `count`. */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;
const isResponsive = (member: ReplicaMember): boolean =>
  member.condition === 'serving' || member.condition === 'leaving';

/** A replaced member never votes again, so it is removed from the quorum before any other change. */
const removeReplaced = (group: ReplicaGroup): RepairStep | undefined => {
  const replaced = group.members.find((member) => member.condition === 'replaced');
  if (!replaced || group.members.length - 1 < minimumReplicas) return undefined;
  return { change: 'remove', id: replaced.id, why: 'its address has a new identity' };
};
/** A group of even size tolerates as many failures with one member less, and its majority is smaller then. */
const isEven = (group: ReplicaGroup): boolean => group.members.length % 2 === 0;
/**
 * A member that may come back is removed only if a spare can replace it, or the group is larger than intended or of
 * even size, and only if the responsive members can complete the change.
 */
const removeOverdue = (group: ReplicaGroup): RepairStep | undefined => {
  const overdue = group.members.find((member) => member.condition === 'overdue');
  const remaining = group.members.length - 1;
  if (!overdue || remaining < minimumReplicas) return undefined;
  if (group.spares.length === 0 && group.members.length <= group.size && !isEven(group)) return undefined;
  if (group.members.filter(isResponsive).length < majorityOf(remaining)) return undefined;
  return { change: 'remove', id: overdue.id, why: 'it has been silent for too long' };
};
/**
 * A new member is empty. A group that grows beyond its intended size needs a majority without it; in a group below that
 * size the new member counts towards the majority.
 */
const addSpare = (group: ReplicaGroup): RepairStep | undefined => {
  const spare = group.spares[0];
  const replacements = group.members.some((member) => member.condition === 'leaving') ? 1 : 0;
  if (spare === undefined || group.members.length >= group.size + replacements) return undefined;
  const responsive = group.members.filter(isResponsive).length + (group.members.length < group.size ? 1 : 0);
  if (responsive < majorityOf(group.members.length + 1)) return undefined;
  return { change: 'add', id: spare, why: 'a member is missing or leaving' };
};
/**
 * A leaving member keeps its data in the group until a replacement has joined. A group below its intended size removes
 * it only if the group has an even size.
 */
const removeLeaving = (group: ReplicaGroup): RepairStep | undefined => {
  const leaving = group.members.find((member) => member.condition === 'leaving');
  const remaining = group.members.length - 1;
  if (!leaving || remaining < minimumReplicas) return undefined;
  if (group.members.length < group.size && !isEven(group)) return undefined;
  if (group.members.filter((member) => member !== leaving && isResponsive(member)).length < majorityOf(remaining))
    return undefined;
  return { change: 'remove', id: leaving.id, why: 'it is leaving' };
};

/** The repair decision. */
export const repair = {
  /**
   * The next change, if one is due. There is none while the last change is incomplete: majorities of groups that differ
   * by one member overlap, those of groups that differ by two may not.
   */
  next: (group: ReplicaGroup): RepairStep | undefined =>
    group.settled
      ? (removeReplaced(group) ?? removeOverdue(group) ?? addSpare(group) ?? removeLeaving(group))
      : undefined,
};
