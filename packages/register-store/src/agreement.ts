/** What the answers of a majority say of one register (§6.2). */
import type { Microseconds } from '@thornsail/runtime';
import { ballot, type Ballot } from './ballot.js';
import type { Answered } from './gather.js';
import { effectiveExpiry, majority, wallClocksOf, type Group, type StoredValue, type WallClocks } from './types.js';
import { decodeView, type WireView } from './wire.js';

/** The highest ballot, how many have it, and its value if one of them sent it. */
export type Agreement = {
  accepted: Ballot;
  /** Undefined if no answer brought the value. */
  stored: StoredValue | null | undefined;
  /** As the value says; 0 if there is none. */
  expiresAt: Microseconds;
  /** The latest extension that any of them has seen. */
  extendedUntil: Microseconds;
  walls: WallClocks;
  /** How many show that ballot. */
  matching: number;
};

/** What these answers agree on; one at least. */
export const agreementOf = <T>(answers: Answered<T>[], viewOf: (answer: Answered<T>) => WireView): Agreement => {
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

/** Whether what a majority shows is decided: an opening is only once all members show it (§6.2). */
export const isDecided = (group: Group, { matching, accepted }: Agreement): boolean =>
  matching >= (ballot.isOpening(accepted) ? group.members.length : majority(group.members.length));

/** An opening that a majority shows: the last answer likely saves deciding it by a ballot. */
export const lacksLastMember = (group: Group, agreement: Agreement): boolean =>
  ballot.isOpening(agreement.accepted) &&
  agreement.matching >= majority(group.members.length) &&
  !isDecided(group, agreement);

/** Whether the value counts as absent by the earliest wall clock. */
export const isExpired = ({ expiresAt, extendedUntil, walls }: Agreement): boolean =>
  effectiveExpiry(expiresAt, extendedUntil) <= walls.min;

/** An extension that decides whether the value is there has to be on a majority before anybody is told of it. */
export const dependsOnExtension = ({ stored, expiresAt, extendedUntil, walls }: Agreement): boolean =>
  stored !== null && expiresAt <= walls.min && extendedUntil > walls.min;
