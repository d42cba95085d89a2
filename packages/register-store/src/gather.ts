/** Collects the replies of the members of a group until a majority has answered (§6.2). */
import type { Clock, Microseconds } from '@thornsail/runtime';
import { extraAnswerTimeout, type MemberHealth } from './member-health.js';
import { majority, type Member } from './types.js';
import type { WireAnswer, WireRefusal, WireReply } from './wire.js';

/** A request in flight to one store. */
export type PendingReply<T> = { from: Member; reply: Promise<WireReply<T>> };
/** The successful reply of one store. */
export type Answer<T> = { from: Member; reply: WireAnswer<T> };
/** The replies to a request that was sent to a group. */
export type Round<T> = {
  /** At least a majority, unless too many members refused or failed. */
  answers: Answer<T>[];
  refusals: WireRefusal[];
  /** All answers, including those that arrive after the round has ended; resolves when no request is in flight. */
  allAnswers: Promise<Answer<T>[]>;
};
/** When a round ends. */
export type GatherOptions<T> = {
  /** Whether the answers of a majority are enough; any majority is by default. `failed` refused or did not answer. */
  isEnough?: (answers: Answer<T>[], failed: Member[]) => boolean;
  /** How long to wait for more answers once a majority has answered and is not enough. */
  waitForMore?: (answers: Answer<T>[]) => Microseconds;
};

const unanswered = <T>(pending: PendingReply<T>[], answers: Answer<T>[]): Member[] =>
  pending.map(({ from }) => from).filter((member) => !answers.some(({ from }) => from === member));

/** Resolves once a majority has answered, or up to `waitForMore` later if it is not enough. Never rejects. */
export const gather = <T>(
  clock: Clock,
  health: MemberHealth,
  pending: PendingReply<T>[],
  { isEnough = () => true, waitForMore = () => extraAnswerTimeout }: GatherOptions<T> = {},
): Promise<Round<T>> =>
  new Promise((resolve) => {
    const answers: Answer<T>[] = [];
    const refusals: WireRefusal[] = [];
    const failed: Member[] = [];
    const needed = majority(pending.length);
    let inFlight = pending.length;
    let isOver = false;
    let cancelWait: (() => void) | undefined;
    const finish = (): void => {
      if (isOver) return;
      isOver = true;
      cancelWait?.();
      const allAnswers = settled.then((list) => list.flatMap((answer) => (answer ? [answer] : [])));
      resolve({ answers: [...answers], refusals: [...refusals], allAnswers });
    };
    const waitUpTo = (timeout: Microseconds): (() => void) =>
      clock.schedule(timeout, () => {
        for (const member of unanswered(pending, answers)) health.recordLate(member, timeout);
        finish();
      });
    const check = (): void => {
      if (isOver) return;
      if (inFlight === 0 || answers.length + inFlight < needed) finish();
      else if (answers.length < needed) return;
      else if (isEnough(answers, failed)) finish();
      else cancelWait ??= waitUpTo(waitForMore(answers));
    };
    const recordRefusal = (from: Member, refusal: WireRefusal): undefined => {
      refusals.push(refusal);
      failed.push(from);
      if (refusal.why === 'filling') health.recordFilling(from);
    };
    const awaitReply = async ({ from, reply }: PendingReply<T>): Promise<Answer<T> | undefined> => {
      try {
        const received = await reply;
        inFlight -= 1;
        if (!received.ok) return recordRefusal(from, received);
        health.recordWallClock(from, received.wall);
        answers.push({ from, reply: received });
        return { from, reply: received };
      } catch {
        inFlight -= 1;
        failed.push(from);
        health.recordFailure(from);
        return undefined;
      } finally {
        check();
      }
    };
    const settled = Promise.all(pending.map(awaitReply));
    if (pending.length === 0) finish();
  });
