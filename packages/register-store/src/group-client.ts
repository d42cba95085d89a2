/**
 * Sends requests to the stores of the group (§6.2): the same frame, with the version of the group, to all stores that
 * know the group, and the whole group to the others.
 */
import { hash, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { ballot, type Ballot } from './ballot.js';
import { registerErrors } from './errors.js';
import { gather, type PendingReply, type GatherOptions, type Round } from './gather.js';
import { openMemberHealth, type MemberHealth } from './member-health.js';
import type { Group, Member } from './types.js';
import { decodeGroup, encodeGroup, type WireRefusal, type WireReply } from './wire.js';

/** Options of one request to a group. */
export type RequestOptions = {
  /** Sends the request to these members only. */
  only?: Member[];
  /** Additional fields for members that do not know the group yet, which may run the previous release. */
  forUnknown?: object;
};
/** The stores of the group, as one proposer sees them. */
export type GroupClient = {
  health: MemberHealth;
  /** The newest group that this node knows; throws `no-majority` if it knows none. */
  group: () => Group;
  /** Whether any group is known. */
  isGroupKnown: () => boolean;
  /** Adopts a newer group from the refusals, and returns the highest promised ballot in them. */
  learnFromRefusals: (refusals: WireRefusal[]) => Ballot;
  /** Starts a request to each member. Members for which `bodyFor` returns the same object get the same frame. */
  request: <T>(
    group: Group,
    message: string,
    bodyFor: (member: Member) => object,
    timeLeft: Microseconds,
    options?: RequestOptions,
  ) => PendingReply<T>[];
  gather: <T>(pending: PendingReply<T>[], options?: GatherOptions<T>) => Promise<Round<T>>;
  /** Members by distance; members that were slow recently come last, and ties are broken by a hash of the key. */
  byDistance: (group: Group, key: string) => Member[];
  /** The highest floor that a store has reported: an absent key needs a ballot with a higher number (§6.4). */
  floor: () => number;
};
/** Dependencies of the client, and where it finds the group. */
export type GroupClientOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** The group that this node knows; undefined if it knows none. */
  group: () => Group | undefined;
  /** The distance of a store by its identity, in any unit; values are read from the nearest store. */
  distance?: (storeId: string) => number;
};

/** Opens the requests to a group. A member that has reported that it knows the group is sent only the version. */
const openRequests = ({ runtime, rpc }: GroupClientOptions): GroupClient['request'] => {
  const { clock } = runtime;
  /** The version of the group that each store has reported to know, by the identity of the store. */
  const knownVersion = new Map<string, number>();
  const requestWithGroup = async <T>(
    group: Group,
    member: Member,
    message: string,
    body: object,
    timeLeft: Microseconds,
  ): Promise<WireReply<T>> => {
    const bodyWithGroup = { to: member.id, group: encodeGroup(group), ...body };
    const reply = await rpc.request<WireReply<T>>(member.at, message, bodyWithGroup, timeLeft);
    if (reply.ok && reply.lean) knownVersion.set(member.id, group.version);
    return reply;
  };
  return <T>(
    group: Group,
    message: string,
    bodyFor: (member: Member) => object,
    timeLeft: Microseconds,
    { only, forUnknown }: RequestOptions = {},
  ): PendingReply<T>[] => {
    const deadline = clock.now() + timeLeft;
    const membersByBody = new Map<object, Member[]>();
    const pending: PendingReply<T>[] = [];
    const sendWithGroup = (member: Member, body: object, requestTimeLeft: Microseconds): Promise<WireReply<T>> =>
      requestWithGroup<T>(group, member, message, { ...forUnknown, ...body }, requestTimeLeft);
    for (const member of only ?? group.members) {
      const body = bodyFor(member);
      if (knownVersion.get(member.id) === group.version)
        membersByBody.set(body, [...(membersByBody.get(body) ?? []), member]);
      else pending.push({ from: member, reply: sendWithGroup(member, body, timeLeft) });
    }
    for (const [body, members] of membersByBody) {
      const addresses = members.map(({ at }) => at);
      const replies = rpc.requestAll<WireReply<T>>(addresses, message, { group: group.version, ...body }, timeLeft);
      for (const [i, member] of members.entries()) {
        const reply = replies[i]!.then((first) => {
          if (first.ok || first.why !== 'unknown') return first;
          // The store has lost its knowledge of the group, or another store has taken over its address.
          knownVersion.delete(member.id);
          return sendWithGroup(member, body, Math.max(0, deadline - clock.now()));
        });
        pending.push({ from: member, reply });
      }
    }
    return pending;
  };
};

/** Opens the client of a group for one proposer. */
export const openGroupClient = (options: GroupClientOptions): GroupClient => {
  const { clock } = options.runtime;
  const distance = options.distance ?? ((): number => 0);
  const health = openMemberHealth(clock);
  let learned: Group | undefined;
  let floor = 0;
  return {
    health,
    group: () => {
      const configured = options.group();
      const newest = learned && (!configured || learned.version > configured.version) ? learned : configured;
      if (newest) return newest;
      throw registerErrors.create('no-majority', { step: 'register', message: 'no store group is known' });
    },
    isGroupKnown: () => learned !== undefined || options.group() !== undefined,
    learnFromRefusals: (refusals) => {
      let highest = ballot.zero;
      for (const refusal of refusals) {
        if (refusal.why === 'group' && (!learned || refusal.group.mark > learned.version))
          learned = decodeGroup(refusal.group);
        if (refusal.why === 'ballot') highest = ballot.max(highest, refusal.promised);
      }
      return highest;
    },
    request: openRequests(options),
    gather: (pending, gatherOptions) => {
      const record = <T>(from: Member, reply: WireReply<T>): WireReply<T> => {
        if (!reply.ok) return reply;
        floor = Math.max(floor, reply.floor ?? 0);
        health.recordFull(from, reply.full === true);
        return reply;
      };
      const recorded = pending.map(({ from, reply }) => ({
        from,
        reply: reply.then((received) => record(from, received)),
      }));
      return gather(clock, health, recorded, gatherOptions);
    },
    byDistance: (group, key) => {
      const rank = (member: Member): number => (health.isSlow(member) ? Infinity : distance(member.id));
      return [...group.members].sort((a, b) => {
        const [first, second] = [rank(a), rank(b)];
        return (first === second ? 0 : first - second) || hash.of(key + a.id) - hash.of(key + b.id);
      });
    },
    floor: () => floor,
  };
};
