/** Requests for the replicas of several keys, for values that first answers left out, and repair of old replicas. */
import type { Microseconds } from '@thornsail/runtime';
import type { Agreement } from './agreement.js';
import { ballot, type Ballot } from './ballot.js';
import { registerErrors } from './errors.js';
import type { Asked } from './gather.js';
import type { Proposer } from './proposer.js';
import type { Group, Member } from './types.js';
import { decodeView, encodeGroup, encodeValue, messages, type ReadReply, type WireView } from './wire.js';

/** The replicas of several keys at one store, in the order of the keys. */
export type Views = { views: WireView[] };

/** Reads one key at one store. */
const readOne = async (
  { stores }: Proposer,
  group: Group,
  member: Member,
  key: string,
  timeLeft: Microseconds,
): Promise<WireView> => {
  const [asked] = stores.request<ReadReply>(group, messages.read, () => ({ key }), timeLeft, { only: [member] });
  const reply = await asked!.reply;
  if (reply.ok && reply.copy) return reply.copy;
  throw registerErrors.create('no-replica', { step: messages.read, peer: member.at, message: 'no copy' });
};

/** Asks for the replicas of several keys; the values of members that `isBare` names are left out. */
export const requestViews = (
  proposer: Proposer,
  group: Group,
  keys: string[],
  timeLeft: Microseconds,
  { isBare, only }: { isBare: (member: Member) => boolean; only?: Member[] },
): Asked<Views>[] => {
  const [full, bare] = [{ keys }, { keys, bare: true }];
  const options = { ...(only ? { only } : {}), forUnknown: { key: keys[0] } };
  const bodyFor = (member: Member): object => (isBare(member) ? bare : full);
  const asked = proposer.stores.request<ReadReply>(group, messages.read, bodyFor, timeLeft, options);
  return asked.map(({ from, reply: replied }) => ({
    from,
    reply: replied.then(async (reply) => {
      if (!reply.ok) return reply;
      // A store of the release before knows one key at a time.
      const rest = (): Promise<WireView[]> =>
        Promise.all(keys.slice(1).map((key) => readOne(proposer, group, from, key, timeLeft)));
      return { ...reply, views: reply.copies ?? [reply.copy!, ...(await rest())] };
    }),
  }));
};

/** A key whose value no answer brought, and the members that have it. */
export type Missing = { key: string; agreement: Agreement; from: Member[] };

/** Asks for the values that the first answers did not bring, each from a member that has the agreed ballot. */
export const fetchValues = async (
  proposer: Proposer,
  group: Group,
  missing: Missing[],
  timeLeft: Microseconds,
): Promise<void> => {
  for (const member of proposer.stores.byNearness(group, missing[0]?.key ?? '')) {
    const here = missing.filter(({ agreement, from }) => agreement.stored === undefined && from.includes(member));
    if (here.length === 0) continue;
    proposer.counts.fetched += here.length;
    const keys = here.map(({ key }) => key);
    const [asked] = requestViews(proposer, group, keys, timeLeft, { isBare: () => false, only: [member] });
    const reply = await asked!.reply.catch(() => undefined);
    if (!reply?.ok) continue;
    for (const [i, { agreement }] of here.entries()) {
      const view = decodeView(reply.views[i]!);
      if (ballot.equals(view.accepted, agreement.accepted)) agreement.stored = view.stored;
    }
  }
};

/** Brings a value that a majority has to stores that answered with an older one. */
export const repairOlder = (
  { rpc, counts }: Proposer,
  group: Group,
  key: string,
  { accepted, stored, extendedUntil }: Agreement,
  replicas: Promise<{ from: Member; accepted: Ballot }[]>,
): void => {
  if (stored === undefined) return;
  const extended = extendedUntil > 0 ? { extended: extendedUntil } : {};
  const body = { key, ballot: accepted, held: encodeValue(stored), ...extended };
  void replicas.then((all) => {
    for (const replica of all) {
      if (ballot.compare(replica.accepted, accepted) >= 0) continue;
      counts.mended += 1;
      const bodyWithGroup = { to: replica.from.id, group: encodeGroup(group), ...body };
      rpc.request(replica.from.at, messages.repair, bodyWithGroup).catch(() => undefined);
    }
  });
};
