/**
 * Idempotency keys (§5.4): a register for each key holds its claim, and later the result that a copy of the request is
 * answered with. Registers are changed by compare-and-set.
 */
import type { Config } from '@thornsail/config-schema';
import type { Registers, Write } from '@thornsail/register-store';
import { duration, fault, time, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { ChatPlan, JobPlan } from '../plan.js';
import { retainUntil } from './retention.js';

/** A key: the name of its register, and the digest of the request that comes with it. */
export type IdempotencyKey = { name: string; sum: string };
/** Result of a request of the product's interface, as it is stored. */
export type RecordedResult = {
  status: number;
  type: string;
  body: string;
  finish: string | null;
  prompt: number;
  completion: number;
};
/** A worker's answer that was forwarded, as it is stored; its body as Latin-1, a character a byte (§5.7). */
export type RecordedAnswer = { status: number; headers: string[]; body: string };
/**
 * A claim as it is stored: by which gateway, when (wall-clock time), for which request, and its result once there is
 * one. `sum` is the digest of the request that first came with the key.
 */
export type KeyClaim = {
  by: string;
  at: Microseconds;
  turn: string;
  done: RecordedResult | RecordedAnswer | null;
  sum?: string;
};
/** `taken`: another request claimed the key before. */
export type ClaimResult = { type: 'claimed' } | { type: 'taken'; claim: KeyClaim };
/** The idempotency keys, as one gateway uses them. Time limits are microseconds; `turn` names the request. */
export type IdempotencyKeys = {
  /** Rejects where no majority answered; the claim may have been written all the same. */
  claim: (key: IdempotencyKey, turn: string, timeout: Microseconds) => Promise<ClaimResult>;
  /**
   * Frees the key of a request of which nothing was sent. `quiet`: how long copies of this very attempt may still be on
   * their way. Never rejects.
   */
  release: (key: IdempotencyKey, turn: string, quiet?: Microseconds) => Promise<void>;
  /** Stores the result for copies of the request. Never rejects: without it they are told of an unknown outcome. */
  recordResult: (key: IdempotencyKey, turn: string, result: RecordedResult | RecordedAnswer) => Promise<void>;
};

/** The register of a key. */
export const registerOfKey = (key: IdempotencyKey): string => `once/${key.name}`;
/** The key of a request that has one. */
export const idempotencyKeyOf = (plan: ChatPlan | JobPlan): IdempotencyKey => ({
  name: `${plan.cls}/${plan.key!}`,
  sum: plan.sum,
});

/** A rejected key is free again after so long by its gateway's own clock: less than the shortest Retry-After (§5.4). */
const quietAfterReject = duration.ms(900);
const releaseTimeout = duration.s(2);
const recordTimeout = duration.ms(900);
/** Characters of a result's body at most. */
const maxRecordedLength = 65_536;

/** Type of a result that was too large to be stored: a copy is told that its outcome is not known. */
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
      { fresh: true },
    );
  const release: IdempotencyKeys['release'] = async (key, turn, quiet = quietAfterReject) => {
    // A copy that was already on its way must not run after "not run" was said: until the caller may come back
    // the key stays claimed. The time is this gateway's own; no two machines' clocks are compared (§5.4).
    if (quiet > 0) await time.sleep(runtime.clock, quiet);
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
          // Only this request's own claim takes its result.
          if (current?.turn !== turn) return { keep: true, result: undefined };
          const expiresAt = retainUntil(wall, promised, limits().onceKeepSeconds);
          return { stored: { value: { ...current, done }, expiresAt }, result: undefined };
        },
        recordTimeout,
      )
      .catch((error) => log(`a once-result was not recorded: ${fault.text(error)}.`));
  };
  return { claim, release, recordResult };
};

/** Opens the idempotency keys for one gateway. */
export const idempotencyKeys = { open };
