// What a group of replicas needs next (§3.3, §6.5): a pure decision, the same for coordinators and for keepers. It
// sees the members with their conditions and the spares, and gives one change of one member, or none.

/**
 * `serving` may be asked; `leaving` serves, and is to be replaced; `silent` does not answer, and may come back with its
 * disk; `overdue` has been silent for so long that a spare takes its place; `gone` never comes back: another identity
 * is at its address.
 */
export type Condition = 'serving' | 'leaving' | 'silent' | 'overdue' | 'gone';
export type ReplicaMember = { id: string; condition: Condition };
export type ReplicaGroup = {
  members: ReplicaMember[];
  /** Identities that may join, the best first. */
  spares: string[];
  /** How many members the group should have. */
  size: number;
  /** Whether the last change is complete: everything decided before it is on a majority of these members. */
  settled: boolean;
};
export type RepairStep = { change: 'add' | 'remove'; id: string; why: string };

/** A group of fewer has no majority that could bear the next change. */
export const leastReplicas = 2;
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;
const answers = (m: ReplicaMember): boolean => m.condition === 'serving' || m.condition === 'leaving';

/** One that is gone counts for nothing, and its place in the quorum is freed before anything else is done. */
const removeGone = (g: ReplicaGroup): RepairStep | undefined => {
  const gone = g.members.find((m) => m.condition === 'gone');
  if (!gone || g.members.length - 1 < leastReplicas) return undefined;
  return { change: 'remove', id: gone.id, why: 'its address has a new identity' };
};
/** An even group gains by getting smaller: it bears as many losses with a smaller majority. */
const isEven = (g: ReplicaGroup): boolean => g.members.length % 2 === 0;
/**
 * One that may come back is removed only where a spare can take its place, or where the group bears more without it,
 * and the others can complete the change.
 */
const removeOverdue = (g: ReplicaGroup): RepairStep | undefined => {
  const overdue = g.members.find((m) => m.condition === 'overdue');
  const left = g.members.length - 1;
  if (!overdue || left < leastReplicas) return undefined;
  if (g.spares.length === 0 && g.members.length <= g.size && !isEven(g)) return undefined;
  if (g.members.filter(answers).length < majorityOf(left)) return undefined;
  return { change: 'remove', id: overdue.id, why: 'it has been silent for too long' };
};
/** The newcomer is empty: a larger group than before needs its majority without it, a smaller one gains by it. */
const addSpare = (g: ReplicaGroup): RepairStep | undefined => {
  const spare = g.spares[0];
  const replaces = g.members.some((m) => m.condition === 'leaving') ? 1 : 0;
  if (spare === undefined || g.members.length >= g.size + replaces) return undefined;
  const present = g.members.filter(answers).length + (g.members.length < g.size ? 1 : 0);
  if (present < majorityOf(g.members.length + 1)) return undefined;
  return { change: 'add', id: spare, why: 'the group is not full' };
};
/** One that leaves holds what it holds until another is there; without a spare only a full or an even group shrinks. */
const removeLeaving = (g: ReplicaGroup): RepairStep | undefined => {
  const leaving = g.members.find((m) => m.condition === 'leaving');
  const left = g.members.length - 1;
  if (!leaving || left < leastReplicas) return undefined;
  if (g.members.length < g.size && !isEven(g)) return undefined;
  if (g.members.filter((m) => m !== leaving && answers(m)).length < majorityOf(left)) return undefined;
  return { change: 'remove', id: leaving.id, why: 'it leaves' };
};

export const repair = {
  /** Nothing while a change is not complete: majorities of groups one member apart overlap, two apart may not. */
  next: (g: ReplicaGroup): RepairStep | undefined =>
    g.settled ? (removeGone(g) ?? removeOverdue(g) ?? addSpare(g) ?? removeLeaving(g)) : undefined,
};
