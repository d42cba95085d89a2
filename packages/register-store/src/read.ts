/**
 * The Paxos learner (§6.2): the nearest store sends the value, the others only its ballot. A majority with the same
 * ballot is enough; otherwise the value is settled, that is, decided by a new ballot.
 */
import type { Microseconds } from '@thornsail/runtime';
import {
  quorumViewOf,
  dependsOnExtension,
  isDecided,
  isExpired,
  lacksLastMember,
  type QuorumView,
} from './quorum-view.js';
import { ballot } from './ballot.js';
import type { Answer, Round } from './gather.js';
import { extraAnswerTimeout } from './member-health.js';
import { roundTimeout, type Proposer } from './proposer.js';
import { fetchValues, repairOlder, requestViews, type Views } from './read-requests.js';
import { majority, type Group, type Member } from './types.js';
import type { WireView } from './wire.js';

/** Decides the value by a ballot, which also brings the latest extension seen onto a majority, and returns it. */
export type Settle = (key: string, timeLeft: Microseconds) => Promise<unknown>;
/** `once`: the keys are written only once, so the value of any replica is the value and need not be settled (§6.2). */
export type ReadOptions = { once?: boolean };

/** The state of one key of a read. */
type KeyRead = {
  key: string;
  quorumView: QuorumView;
  /** Members that have the highest accepted ballot. */
  from: Member[];
  /** How many members have the latest extension. */
  extendedCount: number;
  viewOf: (answer: Answer<Views>) => WireView;
};
const viewAt =
  (i: number) =>
  ({ reply }: Answer<Views>): WireView =>
    reply.views[i]!;

const gatherViews = (
  proposer: Proposer,
  group: Group,
  keys: string[],
  timeLeft: Microseconds,
  once: boolean,
): Promise<Round<Views>> => {
  const { stores } = proposer;
  const nearest = stores.byDistance(group, keys[0]!)[0]!;
  const pending = requestViews(proposer, group, keys, timeLeft, { isBare: (member) => member !== nearest });
  const quorumViewsOf = (answers: Answer<Views>[]): QuorumView[] =>
    keys.map((_, i) => quorumViewOf(answers, viewAt(i)));
  return stores.gather(pending, {
    // A store that is still syncing a change answers with the previous value; then another answer is needed.
    isEnough: (answers, failed) =>
      (failed.includes(nearest) || answers.some(({ from }) => from === nearest)) &&
      (once || quorumViewsOf(answers).every((quorumView) => isDecided(group, quorumView))),
    waitForMore: (answers) =>
      quorumViewsOf(answers).some((quorumView) => lacksLastMember(group, quorumView))
        ? stores.health.lastMemberTimeout(group)
        : extraAnswerTimeout,
  });
};
const keyReads = (keys: string[], { answers }: Round<Views>): KeyRead[] =>
  keys.map((key, i) => {
    const viewOf = viewAt(i);
    const quorumView = quorumViewOf(answers, viewOf);
    const from = answers.filter((answer) => ballot.equals(viewOf(answer).accepted, quorumView.accepted));
    const extendedCount = answers.filter((answer) => (viewOf(answer).extended ?? 0) >= quorumView.extendedUntil).length;
    return { key, quorumView, from: from.map((answer) => answer.from), extendedCount, viewOf };
  });

/** Opens the reads of a proposer. They return the values in the order of the keys, undefined for absent ones. */
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
    stores.learnFromRefusals(round.refusals);
    const settleKey = (key: string): Promise<unknown> => settle(key, deadline - clock.now());
    if (round.answers.length < needed) return Promise.all(keys.map(settleKey));
    const reads = keyReads(keys, round);
    // A key that is written once has only one possible value, so a single replica of it is enough; and if the value is
    // decided, every majority has a replica of it.
    const isOnlyValue = (quorumView: QuorumView): boolean =>
      once && quorumView.stored !== null && !isExpired(quorumView);
    const isFinal = (quorumView: QuorumView): boolean => isDecided(group, quorumView) || isOnlyValue(quorumView);
    const missing = reads.filter(
      ({ quorumView }) => isFinal(quorumView) && quorumView.stored === undefined && !isExpired(quorumView),
    );
    await fetchValues(proposer, group, missing, Math.min(Math.max(0, deadline - clock.now()), roundTimeout));
    const resolveKey = async ({ key, quorumView, extendedCount, viewOf }: KeyRead): Promise<unknown> => {
      if (!isFinal(quorumView)) return settleKey(key);
      if (once && quorumView.stored && !isExpired(quorumView)) return quorumView.stored.value;
      const replicas = round.allAnswers.then((answers) =>
        answers.map((answer) => ({ from: answer.from, accepted: viewOf(answer).accepted })),
      );
      repairOlder(proposer, group, key, quorumView, replicas);
      if (quorumView.stored === null || isExpired(quorumView)) return undefined;
      if (quorumView.stored === undefined || (dependsOnExtension(quorumView) && extendedCount < needed))
        return settleKey(key);
      return quorumView.stored.value;
    };
    return Promise.all(reads.map(resolveKey));
  };
