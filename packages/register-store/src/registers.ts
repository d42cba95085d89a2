/**
 * The client of registers (§6.2): a proposer and learner on each node. There is no leader, so the loss of a store
 * causes no gap in service.
 */
import { duration, type Microseconds } from '@thornsail/runtime';
import { changeRegister, reserveRegister, type ChangeOptions, type UpdateFunction } from './change.js';
import { extendRegisters } from './extend.js';
import type { GroupClientOptions } from './group-client.js';
import { openProposer, type Counts } from './proposer.js';
import { openReader, type ReadOptions } from './read.js';
import { requestViews } from './read-requests.js';
import { majority } from './types.js';

/** The client by which one node reads and changes registers. `timeLeft` is in microseconds, 2 s by default. */
export type Registers = {
  /** Reads the decided value, undefined if it is absent. Throws `no-majority` if that cannot be established. */
  read: (key: string, timeLeft?: Microseconds) => Promise<unknown>;
  /** Reads several keys, with one frame to each store. The values are in the order of the keys; else as `read`. */
  readMany: (keys: string[], timeLeft?: Microseconds, options?: ReadOptions) => Promise<unknown[]>;
  /**
   * Compare-and-set: `update` computes the next value from the decided one. It may be called several times, but the
   * change takes effect once: if an attempt that only a minority accepted is decided later, a retry recognises it.
   * Throws `no-majority`; the change may have taken effect nevertheless.
   */
  change: <R>(
    key: string,
    update: UpdateFunction<R>,
    timeLeft?: Microseconds,
    options?: Omit<ChangeOptions, 'force'>,
  ) => Promise<R>;
  /** Runs the prepare round in advance, so that the next `change` takes one round unless another client comes first. */
  reserve: (key: string, timeLeft?: Microseconds) => Promise<void>;
  /**
   * Extends the expiry of values to at least this wall time, on a majority and without ballots; a later expiry is left
   * as it is. Returns the keys that have no value. Throws `no-majority` if the outcome is unknown for any key.
   */
  extend: (keys: string[], until: Microseconds, timeLeft?: Microseconds) => Promise<string[]>;
  /** Decides one key anew by a ballot, so that a majority of the current group has its value (§6.5). */
  settleKey: (key: string, timeLeft?: Microseconds) => Promise<void>;
  /** Whether a majority of the stores answers; the time-out is 400 ms by default. */
  reachable: (timeLeft?: Microseconds) => Promise<boolean>;
  /**
   * Whether the stores take new values, by what they have answered in the last second. Work that ends with a new value
   * should not be started otherwise.
   */
  hasSpace: () => boolean;
  /** Whether any store group is known. */
  isGroupKnown: () => boolean;
  counts: () => Counts;
};

const defaultTimeLeft = duration.s(2);

/** Opens clients of registers. */
export const registers = {
  /** Opens a client. `clientId` identifies it among the clients; values are read from the store of least `distance`. */
  open: (options: GroupClientOptions & { clientId: string }): Registers => {
    const proposer = openProposer(options);
    const { stores, counts } = proposer;
    const settle = (key: string, timeLeft?: Microseconds): Promise<unknown> =>
      changeRegister(proposer, key, (value) => ({ keep: true, result: value }), timeLeft, { force: true });
    const readMany = openReader(proposer, settle);
    return {
      change: (key, update, timeLeft, changeOptions = {}) =>
        changeRegister(proposer, key, update, timeLeft, changeOptions),
      reserve: (key, timeLeft = defaultTimeLeft) => reserveRegister(proposer, key, timeLeft),
      extend: (keys, until, timeLeft = defaultTimeLeft) => extendRegisters(proposer, keys, until, timeLeft),
      settleKey: async (key, timeLeft) => void (await settle(key, timeLeft)),
      read: async (key, timeLeft = defaultTimeLeft) => (await readMany([key], timeLeft))[0],
      readMany: (keys, timeLeft = defaultTimeLeft, readOptions = {}) => readMany(keys, timeLeft, readOptions),
      reachable: async (timeLeft = duration.ms(400)) => {
        try {
          const group = stores.group();
          const pending = requestViews(proposer, group, ['reachable'], timeLeft, { isBare: () => true });
          const round = await stores.gather(pending);
          stores.learnFromRefusals(round.refusals);
          return round.answers.length >= majority(group.members.length);
        } catch {
          return false;
        }
      },
      hasSpace: () => !stores.isGroupKnown() || stores.health.hasSpace(stores.group()),
      isGroupKnown: stores.isGroupKnown,
      counts: () => ({ ...counts }),
    };
  },
};
