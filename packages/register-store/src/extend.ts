/** Extensions of the expiry of several registers, on a majority and without ballots (§6.4). */
import type { Microseconds } from '@thornsail/runtime';
import { changeRegister } from './change.js';
import type { Answered } from './gather.js';
import { roundTimeout, type Proposer } from './proposer.js';
import { majority } from './types.js';
import { messages, type ExtendReply } from './wire.js';

/** By a ballot, for a key of which too few stores have a value; true if there is none. */
const extendByBallot = (
  proposer: Proposer,
  key: string,
  until: Microseconds,
  timeLeft: Microseconds,
): Promise<boolean> =>
  changeRegister<boolean>(
    proposer,
    key,
    // Written even if one store has it extended already: it has to be on a majority.
    (value, _walls, expiresAt) =>
      value === undefined
        ? { keep: true, result: true }
        : { stored: { value, expiresAt: Math.max(expiresAt, until) }, result: false },
    timeLeft,
  );

/** Extends registers; see `Registers.extend`. Throws `no-majority`. */
export const extendRegisters = async (
  proposer: Proposer,
  keys: string[],
  until: Microseconds,
  timeLeft: Microseconds,
): Promise<string[]> => {
  const { stores, cache, counts, runtime } = proposer;
  const { clock } = runtime;
  const deadline = clock.now() + timeLeft;
  const group = stores.group();
  const needed = majority(group.members.length);
  const body = { keys, until };
  const asked = stores.request<ExtendReply>(group, messages.extend, () => body, Math.min(timeLeft, roundTimeout));
  const foundAt = (answers: Answered<ExtendReply>[], i: number): number =>
    answers.filter(({ reply }) => reply.found[i]).length;
  const isClear = (n: number): boolean => n >= needed || n === 0;
  const round = await stores.gather(asked, {
    isEnough: (answers) => keys.every((_, i) => isClear(foundAt(answers, i))),
  });
  stores.learn(round.refusals);
  const hasMajority = round.answers.length >= needed;
  const extendOne = async (key: string, i: number): Promise<boolean> => {
    const n = foundAt(round.answers, i);
    if (!hasMajority || n < needed)
      return (hasMajority && n === 0) || extendByBallot(proposer, key, until, deadline - clock.now());
    const cached = cache.get(key);
    if (cached?.stored) cached.extendedUntil = Math.max(cached.extendedUntil, until);
    counts.extended += 1;
    return false;
  };
  const isMissing = await Promise.all(keys.map(extendOne));
  return keys.filter((_, i) => isMissing[i]);
};
