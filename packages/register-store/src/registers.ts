/**
 * The client of registers (§6.2): a proposer and learner on each node. There is no leader, so losing a store leaves no
 * gap.
 */
import { duration, type Microseconds } from '@thornsail/runtime';
import { changeRegister, reserveRegister, type ChangeOptions, type Decide } from './change.js';
import { extendRegisters } from './extend.js';
import type { GroupClientOptions } from './group-client.js';
import { openProposer, type Counts } from './proposer.js';
import { openReader, type ReadOptions } from './read.js';
import { requestViews } from './read-requests.js';
import { majority } from './types.js';

/** Registers, as one node reads and changes them. Times left are in microseconds, 2 s unless given. */
export type Registers = {
  /** Reads the agreed value; throws `no-majority` rather than say it is missing. */
  read: (key: string, timeLeft?: Microseconds) => Promise<unknown>;
  /** As `read` for several keys, in their order, with one frame to each store. */
  readMany: (keys: string[], timeLeft?: Microseconds, options?: ReadOptions) => Promise<unknown[]>;
  /**
   * Compare-and-set by function: `decide` sees the agreed value and gives the next. It may be called more than once,
   * but takes effect once: a round whose accepts went to a minority is recognised if its value lives on. Throws
   * `no-majority`; the change may have taken effect then.
   */
  change: <R>(
    key: string,
    decide: Decide<R>,
    timeLeft?: Microseconds,
    options?: Omit<ChangeOptions, 'force'>,
  ) => Promise<R>;
  /** Runs the prepare round ahead of time: the next `change` of this key here takes one round, if no other comes. */
  reserve: (key: string, timeLeft?: Microseconds) => Promise<void>;
  /**
   * Keeps values until this wall time at least, on a majority and without ballots; values that last longer stay as
   * they are. Gives the keys that have no value. Throws `no-majority` if it is not known for all.
   */
  extend: (keys: string[], until: Microseconds, timeLeft?: Microseconds) => Promise<string[]>;
  /** Brings one key onto a majority of the present group under its version (§6.5). */
  settleKey: (key: string, timeLeft?: Microseconds) => Promise<void>;
  /** Whether a majority of the stores answers. */
  reachable: (timeLeft?: Microseconds) => Promise<boolean>;
  /** Whether a store group is known at all. */
  known: () => boolean;
  counts: () => Counts;
};

const defaultTimeLeft = duration.s(2);

/** Clients of registers. */
export const registers = {
  /** `by` names the node; `near` ranks stores, the lower the nearer: values are read from the nearest. */
  open: (options: GroupClientOptions & { by: string }): Registers => {
    const proposer = openProposer(options);
    const { stores, counts } = proposer;
    const settle = (key: string, timeLeft?: Microseconds): Promise<unknown> =>
      changeRegister(proposer, key, (value) => ({ keep: true, result: value }), timeLeft, { force: true });
    const readMany = openReader(proposer, settle);
    return {
      change: (key, decide, timeLeft, changeOptions = {}) =>
        changeRegister(proposer, key, decide, timeLeft, changeOptions),
      reserve: (key, timeLeft = defaultTimeLeft) => reserveRegister(proposer, key, timeLeft),
      extend: (keys, until, timeLeft = defaultTimeLeft) => extendRegisters(proposer, keys, until, timeLeft),
      settleKey: async (key, timeLeft) => void (await settle(key, timeLeft)),
      read: async (key, timeLeft = defaultTimeLeft) => (await readMany([key], timeLeft))[0],
      readMany: (keys, timeLeft = defaultTimeLeft, readOptions = {}) => readMany(keys, timeLeft, readOptions),
      reachable: async (timeLeft = duration.ms(400)) => {
        try {
          const group = stores.group();
          const asked = requestViews(proposer, group, ['reachable'], timeLeft, { isBare: () => true });
          const round = await stores.gather(asked);
          stores.learn(round.refusals);
          return round.answers.length >= majority(group.members.length);
        } catch {
          return false;
        }
      },
      known: stores.isKnown,
      counts: () => ({ ...counts }),
    };
  },
};
