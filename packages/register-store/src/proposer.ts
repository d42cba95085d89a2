/** The state that the operations of a proposer share (§6.2), and retries with backoff. */
import { duration, hash, lock, time, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { registerErrors } from './errors.js';
import { openGroupClient, type GroupClient, type GroupClientOptions } from './group-client.js';
import type { Group } from './types.js';
import { openValueCache, type ValueCache } from './value-cache.js';

/** Counters of a proposer. */
export type Counts = {
  /** Prepare rounds. */
  rounds: number;
  /** Changes whose first attempt used a cached promise instead of a prepare round. */
  quick: number;
  /** Prepare and accept rounds that failed. */
  conflicts: number;
  /** Repair requests sent to stores with an older replica. */
  mended: number;
  /** Keys read. */
  reads: number;
  /** Values that a majority accepted, or all members in an opening. */
  done: number;
  /** Keys reserved by a prepare round. */
  reserved: number;
  /** Keys extended without a ballot. */
  extended: number;
  /** Keys whose value had to be fetched by a separate request. */
  fetched: number;
  /** Openings attempted. */
  openings: number;
  /** Openings that all members accepted. */
  opened: number;
};
/** The state that the operations of a proposer share. */
export type Proposer = {
  runtime: Runtime;
  rpc: Rpc;
  stores: GroupClient;
  cache: ValueCache;
  /** The identity of this proposer in its ballots and operations: short, and never used by another proposer. */
  id: string;
  /** A unique identity for a change. */
  nextOperation: () => string;
  /** Runs one operation at a time for each key. */
  exclusive: <T>(key: string, work: () => Promise<T>) => Promise<T>;
  counts: Counts;
};

/** Opens a proposer for the client `clientId`. */
export const openProposer = (options: GroupClientOptions & { clientId: string }): Proposer => {
  const { runtime, rpc, clientId } = options;
  const id = hash.of(clientId).toString(36) + runtime.rand.id().slice(0, 10);
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
/** A pause is 2 ms and a random part: below 6 ms for each attempt so far, and below 60 ms in all. */
const backoff = { baseMs: 2, stepMs: 6, maxJitterMs: 60 };

/** The outcome of one attempt: a result, or a retry at once (`again`) or after a pause (`backoff`). */
export type Attempt<R> = { type: 'done'; result: R } | { type: 'again' } | { type: 'backoff' };
/** The step and key for error messages, and the deadline by the local clock. */
export type AttemptOptions = { step: string; key: string; deadline: Microseconds };

/**
 * Repeats an attempt until it returns a result, with growing, jittered pauses; throws `no-majority` at the deadline.
 */
export const retry = async <R>(
  { runtime, stores }: Proposer,
  { step, key, deadline }: AttemptOptions,
  runAttempt: (group: Group, attempt: number, timeLeft: Microseconds) => Promise<Attempt<R>>,
): Promise<R> => {
  const { clock, rand } = runtime;
  for (let attempt = 0; ; attempt++) {
    const timeLeft = deadline - clock.now();
    if (timeLeft <= 0) throw registerErrors.create('no-majority', { step, message: `${key}: no majority in time` });
    let group: Group;
    try {
      group = stores.group();
    } catch (error) {
      if (timeLeft < groupPollInterval) throw error;
      await time.sleep(clock, groupPollInterval);
      continue;
    }
    const outcome = await runAttempt(group, attempt, Math.min(timeLeft, roundTimeout));
    if (outcome.type === 'done') return outcome.result;
    if (outcome.type === 'again') continue;
    const { baseMs, stepMs, maxJitterMs } = backoff;
    await time.sleep(clock, duration.ms(baseMs + rand.int(Math.min(maxJitterMs, stepMs * (attempt + 1)))));
  }
};
