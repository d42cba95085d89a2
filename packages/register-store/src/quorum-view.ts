/** Combines the replies of several stores into one view of a register (§6.2). */
import type { Microseconds } from '@thornsail/runtime';
import { ballot, type Ballot } from './ballot.js';
import type { Answer } from './gather.js';
import { effectiveExpiry, majority, wallClocksOf, type Group, type StoredValue, type WallClocks } from './types.js';
import { decodeView, type WireView } from './wire.js';

/** The highest accepted ballot in the replies, how many stores have it, and its value if a reply contains it. */
export type QuorumView = {
  accepted: Ballot;
  /** Undefined if no reply contains the value; null if the register is empty. */
  stored: StoredValue | null | undefined;
  /** The expiry stored with the value, without extensions; 0 if there is no value. */
  expiresAt: Microseconds;
  /** The latest extension that any of the stores has. */
  extendedUntil: Microseconds;
  walls: WallClocks;
  /** How many stores have accepted that ballot. */
  matching: number;
};

/** Combines answers; there must be at least one. */
export const quorumViewOf = <T>(answers: Answer<T>[], viewOf: (answer: Answer<T>) => WireView): QuorumView => {
  const views = answers.map((answer) => decodeView(viewOf(answer)));
  const accepted = views.reduce((highest, view) => ballot.max(highest, view.accepted), ballot.zero);
  const newest = views.filter((view) => ballot.equals(view.accepted, accepted));
  return {
    accepted,
    stored: newest.find(({ stored }) => stored !== undefined)?.stored,
    expiresAt: Math.max(...newest.map(({ expiresAt }) => expiresAt)),
    extendedUntil: Math.max(...views.map(({ extendedUntil }) => extendedUntil)),
    walls: wallClocksOf(answers.map(({ reply }) => reply.wall)),
    matching: newest.length,
  };
};

/** Whether the value is decided: a ballot needs a majority of the members, an opening all of them (§6.2). */
export const isDecided = (group: Group, { matching, accepted }: QuorumView): boolean =>
  matching >= (ballot.isOpening(accepted) ? group.members.length : majority(group.members.length));

/**
 * Whether a majority, but not all members, have accepted an opening. Waiting for the remaining answers then likely
 * saves deciding the value by a ballot.
 */
export const lacksLastMember = (group: Group, quorumView: QuorumView): boolean =>
  ballot.isOpening(quorumView.accepted) &&
  quorumView.matching >= majority(group.members.length) &&
  !isDecided(group, quorumView);

/** Whether the value counts as absent by the earliest wall clock. */
export const isExpired = ({ expiresAt, extendedUntil, walls }: QuorumView): boolean =>
  effectiveExpiry(expiresAt, extendedUntil) <= walls.min;

/**
 * Whether the value is present only because of an extension. Such an extension must be on a majority before a reader is
 * given the value; otherwise a later reader could find it expired.
 */
export const dependsOnExtension = ({ stored, expiresAt, extendedUntil, walls }: QuorumView): boolean =>
  stored !== null && expiresAt <= walls.min && extendedUntil > walls.min;
