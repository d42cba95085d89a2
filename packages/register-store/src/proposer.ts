/** What the operations of a proposer share (§6.2), and attempts with backoff. */
import { duration, hash, lock, time, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { registerErrors } from './errors.js';
import { openGroupClient, type GroupClient, type GroupClientOptions } from './group-client.js';
import type { Group } from './types.js';
import { openValueCache, type ValueCache } from './value-cache.js';

/** How often a proposer did what. */
export type Counts = {
  rounds: number;
  quick: number;
  conflicts: number;
  mended: number;
  reads: number;
  done: number;
  reserved: number;
  extended: number;
  fetched: number;
  openings: number;
  opened: number;
};
/** What the operations of a proposer share. */
export type Proposer = {
  runtime: Runtime;
  rpc: Rpc;
  stores: GroupClient;
  cache: ValueCache;
  /** In every ballot and every operation: short, and of no other proposer before or after. */
  id: string;
  /** A name for a change. */
  nextOperation: () => string;
  /** One operation at a time for each key. */
  exclusive: <T>(key: string, work: () => Promise<T>) => Promise<T>;
  counts: Counts;
};

/** Opens a proposer. `by` names its node. */
export const openProposer = (options: GroupClientOptions & { by: string }): Proposer => {
  const { runtime, rpc, by } = options;
  const id = hash.of(by).toString(36) + runtime.rand.id().slice(0, 10);
  let operations = 0;
  return {
    runtime,
    rpc,
    stores: openGroupClient(options),
    cache: openValueCache(),
    id,
    nextOperation: () => `${id}.${(++operations).toString(36)}`,
    exclusive: lock.keyed(),
    counts: {
      rounds: 0,
      quick: 0,
      conflicts: 0,
      mended: 0,
      reads: 0,
      done: 0,
      reserved: 0,
      extended: 0,
      fetched: 0,
      openings: 0,
      opened: 0,
    },
  };
};

/** How long one round waits for the stores. */
export const roundTimeout = duration.ms(400);
const groupPollInterval = duration.ms(50);
/** A pause is 2 ms and up to 6 ms more for each attempt, 60 ms at most. */
const backoff = { baseMs: 2, stepMs: 6, mostMs: 60 };

/** How one attempt ended: with a result, or to be repeated at once, or after a pause. */
export type Attempt<R> = { type: 'done'; result: R } | { type: 'again' } | { type: 'backoff' };
/** What is attempted, for the text of errors, and until when by this node's clock. */
export type AttemptOptions = { step: string; key: string; deadline: Microseconds };

/** Repeats `once` until it gives a result; throws `no-majority` at the deadline. The pause grows, and is jittered. */
export const retry = async <R>(
  { runtime, stores }: Proposer,
  { step, key, deadline }: AttemptOptions,
  once: (group: Group, attempt: number, timeLeft: Microseconds) => Promise<Attempt<R>>,
): Promise<R> => {
  const { clock, rand } = runtime;
  for (let attempt = 0; ; attempt++) {
    const left = deadline - clock.now();
    if (left <= 0) throw registerErrors.create('no-majority', { step, message: `${key}: no majority in time` });
    let group: Group;
    try {
      group = stores.group();
    } catch (error) {
      if (left < groupPollInterval) throw error;
      await time.sleep(clock, groupPollInterval);
      continue;
    }
    const ended = await once(group, attempt, Math.min(left, roundTimeout));
    if (ended.type === 'done') return ended.result;
    if (ended.type === 'again') continue;
    const { baseMs, stepMs, mostMs } = backoff;
    await time.sleep(clock, duration.ms(baseMs + rand.int(Math.min(mostMs, stepMs * (attempt + 1)))));
  }
};
