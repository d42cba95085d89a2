/** The health of the stores as one proposer sees it (§6.2): which are slow or unresponsive, and their wall clocks. */
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import { majority, wallClocksOf, type Group, type Member, type WallClocks } from './types.js';

/** How long a round that has a majority waits for one more answer that would save another round. */
export const extraAnswerTimeout = duration.ms(3);
/** The wait for the last member where all are needed: a multiple of the usual accept time, within bounds (§6.2). */
const lastMemberWait = { acceptTimeFactor: 1.5, min: duration.ms(12), max: duration.ms(80) };
/** How long values are not read from a store after it was slow. */
const slowPeriod = duration.s(2);
/** How long no opening is attempted after a store failed to answer: each attempt costs a full time-out. */
const unresponsivePeriod = duration.ms(500);
/** How long no opening is attempted after a store replied that it is being filled. */
const fillingPeriod = duration.s(2);
/** How long a reading of a store's wall clock is extrapolated by the local clock. */
const wallClockValidity = duration.s(30);
/** How long a store counts as full after it has said so, unless it says otherwise before. */
const fullPeriod = duration.s(1);
/** The usual accept time is a moving average in which a new sample has the weight of one over this. */
const smoothing = 8;

/** The health of the members of a group, as one proposer sees it. */
export type MemberHealth = {
  /** Records that the member had not answered this long after a majority had. */
  recordLate: (member: Member, waited: Microseconds) => void;
  /** Records that a request to the member failed. */
  recordFailure: (member: Member) => void;
  /** Records that the member refuses openings, because it is being filled. */
  recordFilling: (member: Member) => void;
  /** Records whether the member is about to refuse new values. */
  recordFull: (member: Member, isFull: boolean) => void;
  /** Whether a majority takes new values, as far as this proposer knows. */
  hasSpace: (group: Group) => boolean;
  isSlow: (member: Member) => boolean;
  /** Whether every member has answered in time recently. */
  allResponsive: (group: Group) => boolean;
  /** How long to wait for the last member where all are needed (§6.2). */
  lastMemberTimeout: (group: Group) => Microseconds;
  /** Records how long a majority took to accept. */
  recordAcceptTime: (elapsed: Microseconds) => void;
  recordWallClock: (member: Member, wall: Microseconds) => void;
  /** The wall clocks, extrapolated from the last readings; undefined if too few readings are recent for a majority. */
  wallClocks: (group: Group) => WallClocks | undefined;
};

/** Opens the health of members of which nothing is known yet. */
export const openMemberHealth = (clock: Clock): MemberHealth => {
  const slowUntil = new Map<string, Microseconds>();
  const unresponsiveUntil = new Map<string, Microseconds>();
  const fullUntil = new Map<string, Microseconds>();
  /** The last reading of each store's wall clock, and when it was received by the local clock. */
  const readings = new Map<string, { wall: Microseconds; receivedAt: Microseconds }>();
  /** The moving average of the time that a majority takes to accept. */
  let usualAcceptTime: Microseconds = 0;
  const setFor = (untilById: Map<string, Microseconds>, { id }: Member, period: Microseconds): void =>
    void untilById.set(id, clock.now() + period);
  const allResponsive = (group: Group): boolean =>
    group.members.every(({ id }) => (unresponsiveUntil.get(id) ?? 0) <= clock.now());
  return {
    recordLate: (member, waited) => {
      setFor(slowUntil, member, slowPeriod);
      if (waited > extraAnswerTimeout) setFor(unresponsiveUntil, member, unresponsivePeriod);
    },
    recordFailure: (member) => {
      setFor(slowUntil, member, slowPeriod);
      setFor(unresponsiveUntil, member, unresponsivePeriod);
    },
    recordFilling: (member) => setFor(unresponsiveUntil, member, fillingPeriod),
    recordFull: (member, isFull) => (isFull ? setFor(fullUntil, member, fullPeriod) : void fullUntil.delete(member.id)),
    hasSpace: ({ members }) => {
      const withSpace = members.filter(({ id }) => (fullUntil.get(id) ?? 0) <= clock.now());
      return withSpace.length >= majority(members.length);
    },
    isSlow: ({ id }) => (slowUntil.get(id) ?? 0) > clock.now(),
    allResponsive,
    lastMemberTimeout: (group) => {
      const { acceptTimeFactor, min, max } = lastMemberWait;
      if (!allResponsive(group)) return extraAnswerTimeout;
      return Math.min(max, Math.max(min, Math.round(usualAcceptTime * acceptTimeFactor)));
    },
    recordAcceptTime: (elapsed) => void (usualAcceptTime += (elapsed - usualAcceptTime) / smoothing),
    recordWallClock: ({ id }, wall) => void readings.set(id, { wall, receivedAt: clock.now() }),
    wallClocks: (group) => {
      const now = clock.now();
      const walls = group.members
        .map(({ id }) => readings.get(id))
        .flatMap((reading) =>
          reading && now - reading.receivedAt < wallClockValidity ? [reading.wall + now - reading.receivedAt] : [],
        );
      if (walls.length < majority(group.members.length)) return undefined;
      return wallClocksOf(walls);
    },
  };
};
