/** Requests replicas of several keys, fetches values that the first replies omitted, and repairs old replicas. */
import type { Microseconds } from '@thornsail/runtime';
import type { QuorumView } from './quorum-view.js';
import { ballot, type Ballot } from './ballot.js';
import { registerErrors } from './errors.js';
import type { PendingReply } from './gather.js';
import type { Proposer } from './proposer.js';
import type { Group, Member } from './types.js';
import { decodeView, encodeGroup, encodeValue, messages, type ReadReply, type WireView } from './wire.js';

/** The replicas of several keys on one store, in the order of the keys. */
export type Views = { views: WireView[] };

/** Reads one key from one store. Throws `no-replica` if it refuses. */
const readOne = async (
  { stores }: Proposer,
  group: Group,
  member: Member,
  key: string,
  timeLeft: Microseconds,
): Promise<WireView> => {
  const [pending] = stores.request<ReadReply>(group, messages.read, () => ({ key }), timeLeft, { only: [member] });
  const reply = await pending!.reply;
  if (reply.ok && reply.copy) return reply.copy;
  throw registerErrors.create('no-replica', {
    step: messages.read,
    peer: member.at,
    message: 'the reply has no replica',
  });
};

/** Requests the replicas of several keys. Members for which `isBare` holds are asked to omit the values. */
export const requestViews = (
  proposer: Proposer,
  group: Group,
  keys: string[],
  timeLeft: Microseconds,
  { isBare, only }: { isBare: (member: Member) => boolean; only?: Member[] },
): PendingReply<Views>[] => {
  const [full, bare] = [{ keys }, { keys, bare: true }];
  const options = { ...(only ? { only } : {}), forUnknown: { key: keys[0] } };
  const bodyFor = (member: Member): object => (isBare(member) ? bare : full);
  const pending = proposer.stores.request<ReadReply>(group, messages.read, bodyFor, timeLeft, options);
  return pending.map(({ from, reply: received }) => ({
    from,
    reply: received.then(async (reply) => {
      if (!reply.ok) return reply;
      // A store of the previous release reads one key per request.
      const readRemaining = (): Promise<WireView[]> =>
        Promise.all(keys.slice(1).map((key) => readOne(proposer, group, from, key, timeLeft)));
      return { ...reply, views: reply.copies ?? [reply.copy!, ...(await readRemaining())] };
    }),
  }));
};

/** A key whose value no reply contained, and the members that have the value. */
export type Missing = { key: string; quorumView: QuorumView; from: Member[] };

/** Fetches the values that the first replies omitted, each from the nearest member with the highest accepted ballot. */
export const fetchValues = async (
  proposer: Proposer,
  group: Group,
  missing: Missing[],
  timeLeft: Microseconds,
): Promise<void> => {
  for (const member of proposer.stores.byDistance(group, missing[0]?.key ?? '')) {
    const keysOfMember = missing.filter(
      ({ quorumView, from }) => quorumView.stored === undefined && from.includes(member),
    );
    if (keysOfMember.length === 0) continue;
    proposer.counts.fetched += keysOfMember.length;
    const keys = keysOfMember.map(({ key }) => key);
    const [pending] = requestViews(proposer, group, keys, timeLeft, { isBare: () => false, only: [member] });
    const reply = await pending!.reply.catch(() => undefined);
    if (!reply?.ok) continue;
    for (const [i, { quorumView }] of keysOfMember.entries()) {
      const view = decodeView(reply.views[i]!);
      if (ballot.equals(view.accepted, quorumView.accepted)) quorumView.stored = view.stored;
    }
  }
};

/** Sends a value that a majority has to the stores that answered with an older one. Does not wait for replies. */
export const repairOlder = (
  { rpc, counts }: Proposer,
  group: Group,
  key: string,
  { accepted, stored, extendedUntil }: QuorumView,
  replicas: Promise<{ from: Member; accepted: Ballot }[]>,
): void => {
  if (stored === undefined) return;
  const extended = extendedUntil > 0 ? { extended: extendedUntil } : {};
  const body = { key, ballot: accepted, held: encodeValue(stored), ...extended };
  void replicas.then((answered) => {
    for (const replica of answered) {
      if (ballot.compare(replica.accepted, accepted) >= 0) continue;
      counts.mended += 1;
      const bodyWithGroup = { to: replica.from.id, group: encodeGroup(group), ...body };
      rpc.request(replica.from.at, messages.repair, bodyWithGroup).catch(() => undefined);
    }
  });
};
