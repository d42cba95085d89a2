/**
 * Requests to the stores of the group (§6.2): the same frame to all that know the group, the whole group to others.
 */
import { hash, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { ballot, type Ballot } from './ballot.js';
import { registerErrors } from './errors.js';
import { gather, type Asked, type GatherOptions, type Round } from './gather.js';
import { openMemberHealth, type MemberHealth } from './member-health.js';
import type { Group, Member } from './types.js';
import { decodeGroup, encodeGroup, type WireRefusal, type WireReply } from './wire.js';

/** Where requests go, beside the group. */
export type RequestOptions = {
  /** Only these members. */
  only?: Member[];
  /** Fields for those that do not know the group yet, which may be of the release before. */
  forUnknown?: object;
};
/** The stores, as one proposer sees them. */
export type GroupClient = {
  health: MemberHealth;
  /** The newest group that this node knows; throws `no-majority` if it knows none. */
  group: () => Group;
  isKnown: () => boolean;
  /** Takes in a newer group, and gives the highest ballot that stood in the way. */
  learn: (refusals: WireRefusal[]) => Ballot;
  /** Members for which `bodyFor` gives the same object are sent the same frame. */
  request: <T>(
    group: Group,
    message: string,
    bodyFor: (member: Member) => object,
    timeLeft: Microseconds,
    options?: RequestOptions,
  ) => Asked<T>[];
  gather: <T>(asked: Asked<T>[], options?: GatherOptions<T>) => Promise<Round<T>>;
  /** Members by nearness, for this key; those that were slow just now come last. */
  byNearness: (group: Group, key: string) => Member[];
  /** No ballot up to this number will do for a key that is not there (§6.4). */
  floor: () => number;
};
/** How the stores are reached. */
export type GroupClientOptions = {
  runtime: Runtime;
  rpc: Rpc;
  group: () => Group | undefined;
  /** Ranks stores by identity, the lower the nearer. */
  near?: (storeId: string) => number;
};

/** Opens the requests to a group; a member that said that it knows the group is sent its version alone. */
const openRequests = ({ runtime, rpc }: GroupClientOptions): GroupClient['request'] => {
  const { clock } = runtime;
  /** The version under which a store said that it knows the group. */
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
  ): Asked<T>[] => {
    const deadline = clock.now() + timeLeft;
    const sameBody = new Map<object, Member[]>();
    const asked: Asked<T>[] = [];
    const askWithGroup = (member: Member, body: object, left: Microseconds): Promise<WireReply<T>> =>
      requestWithGroup<T>(group, member, message, { ...forUnknown, ...body }, left);
    for (const member of only ?? group.members) {
      const body = bodyFor(member);
      if (knownVersion.get(member.id) === group.version) sameBody.set(body, [...(sameBody.get(body) ?? []), member]);
      else asked.push({ from: member, reply: askWithGroup(member, body, timeLeft) });
    }
    for (const [body, members] of sameBody) {
      const addresses = members.map(({ at }) => at);
      const replies = rpc.requestAll<WireReply<T>>(addresses, message, { group: group.version, ...body }, timeLeft);
      for (const [i, member] of members.entries()) {
        const reply = replies[i]!.then((first) => {
          if (first.ok || first.why !== 'unknown') return first;
          // One that lost what it knew, or another one at its address.
          knownVersion.delete(member.id);
          return askWithGroup(member, body, Math.max(0, deadline - clock.now()));
        });
        asked.push({ from: member, reply });
      }
    }
    return asked;
  };
};

/** Opens the stores for one proposer. */
export const openGroupClient = (options: GroupClientOptions): GroupClient => {
  const { clock } = options.runtime;
  const near = options.near ?? ((): number => 0);
  const health = openMemberHealth(clock);
  let learned: Group | undefined;
  let floor = 0;
  return {
    health,
    group: () => {
      const given = options.group();
      const newest = learned && (!given || learned.version > given.version) ? learned : given;
      if (newest) return newest;
      throw registerErrors.create('no-majority', { step: 'register', message: 'no store group is known' });
    },
    isKnown: () => learned !== undefined || options.group() !== undefined,
    learn: (refusals) => {
      let highest = ballot.zero;
      for (const refusal of refusals) {
        if (refusal.why === 'group' && (!learned || refusal.group.mark > learned.version))
          learned = decodeGroup(refusal.group);
        if (refusal.why === 'ballot') highest = ballot.max(highest, refusal.promised);
      }
      return highest;
    },
    request: openRequests(options),
    gather: (asked, gatherOptions) => {
      const noteFloor = <T>(reply: WireReply<T>): WireReply<T> => {
        if (reply.ok) floor = Math.max(floor, reply.floor ?? 0);
        return reply;
      };
      const noted = asked.map(({ from, reply }) => ({ from, reply: reply.then(noteFloor) }));
      return gather(clock, health, noted, gatherOptions);
    },
    byNearness: (group, key) => {
      const rank = (member: Member): number => (health.isSlow(member) ? Infinity : near(member.id));
      return [...group.members].sort((a, b) => {
        const [first, second] = [rank(a), rank(b)];
        return (first === second ? 0 : first - second) || hash.of(key + a.id) - hash.of(key + b.id);
      });
    },
    floor: () => floor,
  };
};
