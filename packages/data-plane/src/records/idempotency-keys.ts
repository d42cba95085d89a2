/**
 * Idempotency keys (§5.4): one register for each key holds the claim of the first request, and later its result, with
 * which duplicates are answered. Registers are changed by compare-and-set.
 */
import type { Config } from '@thornsail/config-schema';
import type { Registers, Write } from '@thornsail/register-store';
import { duration, fault, time, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { ChatPlan, JobPlan } from '../plan.js';
import { retainUntil } from './retention.js';

/** A key: the name of its register, and the digest of the request (`sum`). */
export type IdempotencyKey = { name: string; sum: string };
/** Result of a product API request as stored. `finish`: the finish reason; `prompt`, `completion`: tokens. */
export type RecordedResult = {
  status: number;
  type: string;
  body: string;
  finish: string | null;
  prompt: number;
  completion: number;
};
/** A forwarded worker's answer as stored; the body as Latin-1, one character per byte (§5.7). */
export type RecordedAnswer = { status: number; headers: string[]; body: string };
/**
 * A claim as stored. `by`: ID of the claiming gateway; `at`: wall-clock time of the claim; `turn`: ID of the request;
 * `done`: its result, null while there is none; `sum`: digest of the request that claimed the key.
 */
export type KeyClaim = {
  by: string;
  at: Microseconds;
  turn: string;
  done: RecordedResult | RecordedAnswer | null;
  sum?: string;
};
/** `taken`: another request had already claimed the key. */
export type ClaimResult = { type: 'claimed' } | { type: 'taken'; claim: KeyClaim };
/** Operations on idempotency keys. `turn` is the ID of the request. */
export type IdempotencyKeys = {
  /** Rejects if no majority of stores answers; the claim may have been written nevertheless. */
  claim: (key: IdempotencyKey, turn: string, timeout: Microseconds) => Promise<ClaimResult>;
  /**
   * Frees the key of a request of which nothing was sent, after `delay`: the time during which duplicates of this
   * attempt may still arrive. Never rejects.
   */
  release: (key: IdempotencyKey, turn: string, delay?: Microseconds) => Promise<void>;
  /** Stores the result for duplicates of the request. Never rejects: without it they get `outcome_unknown`. */
  recordResult: (key: IdempotencyKey, turn: string, result: RecordedResult | RecordedAnswer) => Promise<void>;
};

/** Name of the register of a key. */
export const registerOfKey = (key: IdempotencyKey): string => `once/${key.name}`;
/** The key of a request; its plan must have one. */
export const idempotencyKeyOf = (plan: ChatPlan | JobPlan): IdempotencyKey => ({
  name: `${plan.className}/${plan.key!}`,
  sum: plan.sum,
});

/** Delay before the key of a rejected request is freed: less than the shortest Retry-After, which is 1 s (§5.4). */
const releaseDelay = duration.ms(900);
const releaseTimeout = duration.s(2);
const recordTimeout = duration.ms(900);
/** In characters of the body. */
const maxRecordedLength = 65_536;

/** `type` of a result that was too large to be stored: duplicates get `outcome_unknown`. */
export const tooLargeType = 'too-large';
const withoutBody = (result: RecordedResult | RecordedAnswer): RecordedResult | RecordedAnswer =>
  'type' in result ? { ...result, body: '', type: tooLargeType } : { status: 0, headers: [], body: '' };

type Options = { runtime: Runtime; registers: Registers; id: string; limits: () => Config['limits'] };
const open = ({ runtime, registers, id, limits }: Options): IdempotencyKeys => {
  const log = runtime.log('data-plane');
  const claim: IdempotencyKeys['claim'] = (key, turn, timeout) =>
    registers.change<ClaimResult>(
      registerOfKey(key),
      (value, wall, promised) => {
        const current = value as KeyClaim | undefined;
        if (current && current.turn !== turn) return { keep: true, result: { type: 'taken', claim: current } };
        const next: KeyClaim = { by: id, at: wall.max, turn, done: null, sum: key.sum };
        return {
          stored: { value: next, expiresAt: retainUntil(wall, promised, limits().onceKeepSeconds) },
          result: { type: 'claimed' },
        };
      },
      timeout,
      { expectAbsent: true },
    );
  const release: IdempotencyKeys['release'] = async (key, turn, delay = releaseDelay) => {
    // A duplicate that is already in transit must not run after the caller got "not run": the key stays claimed until
    // the caller may retry. Only this gateway's clock is used; clocks of machines are never compared (§5.4).
    if (delay > 0) await time.sleep(runtime.clock, delay);
    const free = (value: unknown): Write<void> =>
      (value as KeyClaim | undefined)?.turn === turn
        ? { stored: null, result: undefined }
        : { keep: true, result: undefined };
    await registers.change<void>(registerOfKey(key), free, releaseTimeout).catch(() => undefined);
  };
  const recordResult: IdempotencyKeys['recordResult'] = (key, turn, result) => {
    const done = result.body.length > maxRecordedLength ? withoutBody(result) : result;
    return registers
      .change<void>(
        registerOfKey(key),
        (value, wall, promised) => {
          const current = value as KeyClaim | undefined;
          // The result is stored only in this request's own claim.
          if (current?.turn !== turn) return { keep: true, result: undefined };
          const expiresAt = retainUntil(wall, promised, limits().onceKeepSeconds);
          return { stored: { value: { ...current, done }, expiresAt }, result: undefined };
        },
        recordTimeout,
      )
      .catch((error) => log(`the result for an idempotency key was not recorded: ${fault.text(error)}.`));
  };
  return { claim, release, recordResult };
};

/** Opens the idempotency keys of one gateway. */
export const idempotencyKeys = { open };
