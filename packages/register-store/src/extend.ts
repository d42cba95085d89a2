/** Extends the expiry of several registers on a majority of the stores, without ballots (§6.4). */
import type { Microseconds } from '@thornsail/runtime';
import { changeRegister } from './change.js';
import type { Answer } from './gather.js';
import { roundTimeout, type Proposer } from './proposer.js';
import { majority } from './types.js';
import { messages, type ExtendReply } from './wire.js';

/** Extends one key by a ballot, because too few stores have its value; true if the key has no value. */
const extendByBallot = (
  proposer: Proposer,
  key: string,
  until: Microseconds,
  timeLeft: Microseconds,
): Promise<boolean> =>
  changeRegister<boolean>(
    proposer,
    key,
    // Written even if `expiresAt` is late enough: the extension may be on one store only, and needs a majority.
    (value, _walls, expiresAt) =>
      value === undefined
        ? { keep: true, result: true }
        : { stored: { value, expiresAt: Math.max(expiresAt, until) }, result: false },
    timeLeft,
  );

/** Extends registers and returns the keys without a value; see `Registers.extend`. Throws `no-majority`. */
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
  const pending = stores.request<ExtendReply>(group, messages.extend, () => body, Math.min(timeLeft, roundTimeout));
  const countFound = (answers: Answer<ExtendReply>[], i: number): number =>
    answers.filter(({ reply }) => reply.found[i]).length;
  const isConclusive = (found: number): boolean => found >= needed || found === 0;
  const round = await stores.gather(pending, {
    isEnough: (answers) => keys.every((_, i) => isConclusive(countFound(answers, i))),
  });
  stores.learnFromRefusals(round.refusals);
  const hasMajority = round.answers.length >= needed;
  const extendOne = async (key: string, i: number): Promise<boolean> => {
    const found = countFound(round.answers, i);
    if (!hasMajority || found < needed)
      return (hasMajority && found === 0) || extendByBallot(proposer, key, until, deadline - clock.now());
    const cached = cache.get(key);
    if (cached?.stored) cached.extendedUntil = Math.max(cached.extendedUntil, until);
    counts.extended += 1;
    return false;
  };
  const isMissing = await Promise.all(keys.map(extendOne));
  return keys.filter((_, i) => isMissing[i]);
};
