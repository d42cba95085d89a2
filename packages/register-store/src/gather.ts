/** Collects the answers of a group until a majority has given them (§6.2). */
import type { Clock, Microseconds } from '@thornsail/runtime';
import { graceForOneMore, type MemberHealth } from './member-health.js';
import { majority, type Member } from './types.js';
import type { WireAnswer, WireRefusal, WireReply } from './wire.js';

/** A request to one store that is under way. */
export type Asked<T> = { from: Member; reply: Promise<WireReply<T>> };
/** The answer of one store. */
export type Answered<T> = { from: Member; reply: WireAnswer<T> };
/** What a group answered. */
export type Round<T> = {
  /** A majority, unless there can be none. */
  answers: Answered<T>[];
  refusals: WireRefusal[];
  /** All answers that there were in the end. */
  late: Promise<Answered<T>[]>;
};
/** When a round is over. */
export type GatherOptions<T> = {
  /** Whether the answers of a majority are enough; all are unless it is given. `failed` gave none. */
  isEnough?: (answers: Answered<T>[], failed: Member[]) => boolean;
  /** How long a majority that isn't enough waits for more. */
  waitForMore?: (answers: Answered<T>[]) => Microseconds;
};

const withoutAnswer = <T>(asked: Asked<T>[], answers: Answered<T>[]): Member[] =>
  asked.map(({ from }) => from).filter((member) => !answers.some(({ from }) => from === member));

/** Resolves with a majority; if more is wanted, up to `waitForMore` later. Never fails. */
export const gather = <T>(
  clock: Clock,
  health: MemberHealth,
  asked: Asked<T>[],
  { isEnough = () => true, waitForMore = () => graceForOneMore }: GatherOptions<T> = {},
): Promise<Round<T>> =>
  new Promise((resolve) => {
    const answers: Answered<T>[] = [];
    const refusals: WireRefusal[] = [];
    const failed: Member[] = [];
    const needed = majority(asked.length);
    let open = asked.length;
    let isOver = false;
    let cancelWait: (() => void) | undefined;
    const finish = (): void => {
      if (isOver) return;
      isOver = true;
      cancelWait?.();
      const late = all.then((ended) => ended.flatMap((answer) => (answer ? [answer] : [])));
      resolve({ answers: [...answers], refusals: [...refusals], late });
    };
    const waitUpTo = (time: Microseconds): (() => void) =>
      clock.schedule(time, () => {
        for (const member of withoutAnswer(asked, answers)) health.wasLate(member, time);
        finish();
      });
    const check = (): void => {
      if (isOver) return;
      if (open === 0 || answers.length + open < needed) finish();
      else if (answers.length < needed) return;
      else if (isEnough(answers, failed)) finish();
      else cancelWait ??= waitUpTo(waitForMore(answers));
    };
    const takeRefusal = (from: Member, refusal: WireRefusal): undefined => {
      refusals.push(refusal);
      failed.push(from);
      if (refusal.why === 'filling') health.isFilling(from);
    };
    const follow = async ({ from, reply }: Asked<T>): Promise<Answered<T> | undefined> => {
      try {
        const ended = await reply;
        open -= 1;
        if (!ended.ok) return takeRefusal(from, ended);
        health.readWall(from, ended.wall);
        answers.push({ from, reply: ended });
        return { from, reply: ended };
      } catch {
        open -= 1;
        failed.push(from);
        health.hasFailed(from);
        return undefined;
      } finally {
        check();
      }
    };
    const all = Promise.all(asked.map(follow));
    if (asked.length === 0) finish();
  });
