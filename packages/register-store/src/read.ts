/**
 * The learner (§6.2): the value comes from the nearest store, from the others only its ballot; a majority with the same
 * ballot is enough, else the value is settled by a ballot.
 */
import type { Microseconds } from '@thornsail/runtime';
import { agreementOf, dependsOnExtension, isDecided, isExpired, lacksLastMember, type Agreement } from './agreement.js';
import { ballot } from './ballot.js';
import type { Answered, Round } from './gather.js';
import { graceForOneMore } from './member-health.js';
import { roundTimeout, type Proposer } from './proposer.js';
import { fetchValues, repairOlder, requestViews, type Views } from './read-requests.js';
import { majority, type Group, type Member } from './types.js';
import type { WireView } from './wire.js';

/** Gives the value by a ballot, on a majority with the latest extension that was seen. */
export type Settle = (key: string, timeLeft: Microseconds) => Promise<unknown>;
/** `once`: these are written once, so any replica's value is the value, and need not be settled (§6.2). */
export type ReadOptions = { once?: boolean };

/** One key of a read. */
type KeyRead = {
  key: string;
  agreement: Agreement;
  /** Members that have the agreed ballot. */
  from: Member[];
  /** Members that have the latest extension. */
  extendedAt: number;
  viewOf: (answer: Answered<Views>) => WireView;
};
const viewAt =
  (i: number) =>
  ({ reply }: Answered<Views>): WireView =>
    reply.views[i]!;

const gatherViews = (
  proposer: Proposer,
  group: Group,
  keys: string[],
  timeLeft: Microseconds,
  once: boolean,
): Promise<Round<Views>> => {
  const { stores } = proposer;
  const nearest = stores.byNearness(group, keys[0]!)[0]!;
  const asked = requestViews(proposer, group, keys, timeLeft, { isBare: (member) => member !== nearest });
  const agreementsOf = (answers: Answered<Views>[]): Agreement[] => keys.map((_, i) => agreementOf(answers, viewAt(i)));
  return stores.gather(asked, {
    // A store that is just syncing a change answers with what was before it: the third one decides.
    isEnough: (answers, failed) =>
      (failed.includes(nearest) || answers.some(({ from }) => from === nearest)) &&
      (once || agreementsOf(answers).every((agreement) => isDecided(group, agreement))),
    waitForMore: (answers) =>
      agreementsOf(answers).some((agreement) => lacksLastMember(group, agreement))
        ? stores.health.lastMemberTimeout(group)
        : graceForOneMore,
  });
};
const keyReads = (keys: string[], { answers }: Round<Views>): KeyRead[] =>
  keys.map((key, i) => {
    const viewOf = viewAt(i);
    const agreement = agreementOf(answers, viewOf);
    const from = answers.filter((answer) => ballot.equals(viewOf(answer).accepted, agreement.accepted));
    const extendedAt = answers.filter((answer) => (viewOf(answer).extended ?? 0) >= agreement.extendedUntil).length;
    return { key, agreement, from: from.map((answer) => answer.from), extendedAt, viewOf };
  });

/** Opens the reads of a proposer: values by keys, in their order; undefined for absent ones. */
export const openReader =
  (proposer: Proposer, settle: Settle) =>
  async (keys: string[], timeLeft: Microseconds, { once = false }: ReadOptions = {}): Promise<unknown[]> => {
    const { stores, counts, runtime } = proposer;
    const { clock } = runtime;
    counts.reads += keys.length;
    const deadline = clock.now() + timeLeft;
    const group = stores.group();
    if (keys.length === 0) return [];
    const needed = majority(group.members.length);
    const round = await gatherViews(proposer, group, keys, Math.min(timeLeft, roundTimeout), once);
    stores.learn(round.refusals);
    const settleKey = (key: string): Promise<unknown> => settle(key, deadline - clock.now());
    if (round.answers.length < needed) return Promise.all(keys.map(settleKey));
    const reads = keyReads(keys, round);
    // What is written once has one value: whoever shows it is believed, and nobody who has it is in no majority.
    const isOnlyValue = (agreement: Agreement): boolean => once && agreement.stored !== null && !isExpired(agreement);
    const isSure = (agreement: Agreement): boolean => isDecided(group, agreement) || isOnlyValue(agreement);
    const missing = reads.filter(
      ({ agreement }) => isSure(agreement) && agreement.stored === undefined && !isExpired(agreement),
    );
    await fetchValues(proposer, group, missing, Math.min(Math.max(0, deadline - clock.now()), roundTimeout));
    const conclude = async ({ key, agreement, extendedAt, viewOf }: KeyRead): Promise<unknown> => {
      if (!isSure(agreement)) return settleKey(key);
      if (once && agreement.stored && !isExpired(agreement)) return agreement.stored.value;
      const replicas = round.late.then((answers) =>
        answers.map((answer) => ({ from: answer.from, accepted: viewOf(answer).accepted })),
      );
      repairOlder(proposer, group, key, agreement, replicas);
      if (agreement.stored === null || isExpired(agreement)) return undefined;
      if (agreement.stored === undefined || (dependsOnExtension(agreement) && extendedAt < needed))
        return settleKey(key);
      return agreement.stored.value;
    };
    return Promise.all(reads.map(conclude));
  };
