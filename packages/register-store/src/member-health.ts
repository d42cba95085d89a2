/** What a proposer has seen of the stores (§6.2): which are slow or unresponsive, and their wall clocks. */
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import { majority, wallClocksOf, type Group, type Member, type WallClocks } from './types.js';

/** How long a majority is kept waiting for one more answer that would save a round. */
export const graceForOneMore = duration.ms(3);
/** How long the last member is waited for where all are needed: in usual accept times, within these bounds (§6.2). */
const lastMember = { acceptTimes: 1.5, least: duration.ms(12), most: duration.ms(80) };
/** How long a slow store is not asked for values. */
const slowFor = duration.s(2);
/** How long nothing is opened after a store did not answer: each attempt costs the time that it is waited for. */
const unresponsiveFor = duration.ms(500);
/** And after one said that it is being filled. */
const fillingFor = duration.s(2);
/** For how long a store's wall clock is extrapolated by this node's own clock. */
const wallsFor = duration.s(30);
/** The share of a new measurement in the usual accept time. */
const smoothing = 8;

/** The health of the members of a group, as one proposer sees it. */
export type MemberHealth = {
  /** It did not answer within this time after a majority had. */
  wasLate: (member: Member, waited: Microseconds) => void;
  /** Its request failed. */
  hasFailed: (member: Member) => void;
  isFilling: (member: Member) => void;
  isSlow: (member: Member) => boolean;
  /** Whether every member has answered in time of late. */
  allResponsive: (group: Group) => boolean;
  /** How long the last member is waited for where all are needed (§6.2). */
  lastMemberTimeout: (group: Group) => Microseconds;
  /** How long a majority took to accept. */
  acceptTook: (time: Microseconds) => void;
  readWall: (member: Member, wall: Microseconds) => void;
  /** The wall clocks of a majority, by what it said last; undefined if that was too long ago. */
  walls: (group: Group) => WallClocks | undefined;
};

/** Opens the health of members that nothing is known of. */
export const openMemberHealth = (clock: Clock): MemberHealth => {
  const slowUntil = new Map<string, Microseconds>();
  const unresponsiveUntil = new Map<string, Microseconds>();
  const wallOf = new Map<string, { wall: Microseconds; at: Microseconds }>();
  /** How long a majority usually takes to accept. */
  let usualAccept: Microseconds = 0;
  const setFor = (times: Map<string, Microseconds>, { id }: Member, span: Microseconds): void =>
    void times.set(id, clock.now() + span);
  const allResponsive = (group: Group): boolean =>
    group.members.every(({ id }) => (unresponsiveUntil.get(id) ?? 0) <= clock.now());
  return {
    wasLate: (member, waited) => {
      setFor(slowUntil, member, slowFor);
      if (waited > graceForOneMore) setFor(unresponsiveUntil, member, unresponsiveFor);
    },
    hasFailed: (member) => {
      setFor(slowUntil, member, slowFor);
      setFor(unresponsiveUntil, member, unresponsiveFor);
    },
    isFilling: (member) => setFor(unresponsiveUntil, member, fillingFor),
    isSlow: ({ id }) => (slowUntil.get(id) ?? 0) > clock.now(),
    allResponsive,
    lastMemberTimeout: (group) => {
      const { acceptTimes, least, most } = lastMember;
      if (!allResponsive(group)) return graceForOneMore;
      return Math.min(most, Math.max(least, Math.round(usualAccept * acceptTimes)));
    },
    acceptTook: (time) => void (usualAccept += (time - usualAccept) / smoothing),
    readWall: ({ id }, wall) => void wallOf.set(id, { wall, at: clock.now() }),
    walls: (group) => {
      const now = clock.now();
      const walls = group.members
        .map(({ id }) => wallOf.get(id))
        .flatMap((reading) => (reading && now - reading.at < wallsFor ? [reading.wall + now - reading.at] : []));
      if (walls.length < majority(group.members.length)) return undefined;
      return wallClocksOf(walls);
    },
  };
};
