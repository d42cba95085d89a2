/**
 * The agreed configuration (§7.2): a register with compare-and-set. A push names its base, the version that it builds
 * on. At most one push is accepted for each base, and a push that is sent again is recognised.
 */
import { createHash } from 'node:crypto';
import { configSchema, type Config, type Problem } from '@thornsail/config-schema';
import { validate } from '@thornsail/rpc';
import type { Microseconds } from '@thornsail/runtime';
import type { AgreedState, PastConfig, Receipt, Receipts } from './agreed-state.js';

/**
 * A change of the configuration. `base` is the version (`mark`) that it builds on; if the push has a `revision`, it is
 * the operator's own revision number of that version instead. `how` is the way in which `body` is applied.
 */
export type Push = {
  id: string;
  base: number;
  how: 'whole' | 'merge' | 'patch';
  body: unknown;
  revision?: number;
  source?: unknown;
};
/** The outcome of a push; `mark` is the version that it created, or the version in force if it was not accepted. */
export type PushResult =
  | { ok: true; mark: number; repeated?: boolean }
  | { ok: false; why: 'collision'; mark: number }
  /** The base was replaced so long ago that it is not known by which push: it may have been this one. */
  | { ok: false; why: 'forgotten'; mark: number }
  /** Committed, but not known to be in use at these gateways. */
  | { ok: false; why: 'unconfirmed'; mark: number; gateways: string[] }
  | { ok: false; why: 'invalid'; mark: number; problems: Problem[] };

const maximumReceipts = 512;
const maximumRefusedDigests = 64;
/** Push ids are stored for the previous release; enough to recognise repeats while one release replaces the other. */
const maximumPushIds = 64;
const maximumHistoryEntries = 8;
/** In characters of JSON. */
const maximumHistorySize = 65_536;
/** In base64 characters: 16 of them are 96 bits. */
const digestLength = 16;

/** Validates receipts; also accepts `undefined`, as in a state of a release without receipts. */
export const isReceipts = validate.optional(
  validate.object({
    mark: validate.integer,
    forgotten: validate.object({ base: validate.integer, mark: validate.integer }),
    accepted: validate.arrayOf(validate.string),
    refused: validate.arrayOf(validate.string),
  }),
);

const digestOf = (push: Push): string => createHash('sha256').update(push.id).digest('base64').slice(0, digestLength);
const receiptOf = (base: number, mark: number, digest: string): Receipt => `${base} ${mark} ${digest}`;
const parsedReceipt = (receipt: Receipt): { base: number; mark: number } => {
  const [base, mark] = receipt.split(' ');
  return { base: Number(base), mark: Number(mark) };
};
/** The base that a new push must have: the version in force, or its revision if the push has a `revision`. */
const requiredBase = (state: AgreedState, push: Push): number =>
  push.revision === undefined ? state.config.mark : (state.config.revision ?? 0);

/**
 * The receipts of the state. If an older release has accepted pushes without receipts since, everything up to the
 * version in force counts as forgotten: only the push ids of that release are known.
 */
const receiptsOf = (state: AgreedState): Receipts => {
  const { mark, revision = 0 } = state.config;
  const recorded = state.receipts;
  if (recorded?.mark === mark) return recorded;
  return {
    mark,
    forgotten: { base: revision - 1, mark },
    accepted: recorded?.accepted ?? [],
    refused: recorded?.refused ?? [],
  };
};
const withReceipt = (receipts: Receipts, receipt: Receipt): Receipts => {
  const accepted = [...receipts.accepted, receipt];
  const dropped = accepted.length > maximumReceipts ? parsedReceipt(accepted.shift()!) : null;
  const forgotten = dropped
    ? {
        base: Math.max(receipts.forgotten.base, dropped.base),
        mark: Math.max(receipts.forgotten.mark, dropped.mark),
      }
    : receipts.forgotten;
  return { ...receipts, mark: parsedReceipt(receipt).mark, forgotten, accepted };
};

/** The result of a push that can be given without validating its content; null if the push may be accepted. */
const knownResult = (state: AgreedState, push: Push): PushResult | null => {
  const { mark } = state.config;
  const earlierPush = state.pushes.find((earlier) => earlier.id === push.id);
  if (earlierPush) return { ok: true, mark: earlierPush.mark, repeated: true };
  const receipts = receiptsOf(state);
  const digest = digestOf(push);
  const ownReceipt = receipts.accepted.find((receipt) => receipt.endsWith(` ${digest}`));
  if (ownReceipt) return { ok: true, mark: parsedReceipt(ownReceipt).mark, repeated: true };
  if (receipts.refused.includes(digest)) return { ok: false, why: 'collision', mark };
  const currentBase = requiredBase(state, push);
  if (push.base === currentBase) return null;
  const { forgotten } = receipts;
  const isForgotten = push.revision === undefined ? push.base < forgotten.mark : push.base <= forgotten.base;
  return { ok: false, why: push.base < currentBase && isForgotten ? 'forgotten' : 'collision', mark };
};

type Validation = { ok: true; raw: unknown; value: Config } | { ok: false; problems: Problem[] };
/** Applies the push to the configuration in force and validates the outcome. */
const validatePush = (state: AgreedState, push: Push): Validation => {
  const currentBase = requiredBase(state, push);
  if (push.revision !== undefined && push.revision <= currentBase)
    return { ok: false, problems: [{ path: 'revision', text: `must be above ${currentBase}` }] };
  const next = configSchema.change(state.config.raw ?? {}, push.how, push.body);
  if (!next.ok) return next;
  const checked = configSchema.check(next.value);
  return checked.ok ? { ok: true, raw: next.value, value: checked.value } : checked;
};

/**
 * The newest entries of the history, limited in number and total size, since the state is sent in full with every
 * version. The newest entry is always included.
 */
const limitedHistory = (history: PastConfig[]): PastConfig[] => {
  const newest: PastConfig[] = [];
  let size = 0;
  for (const past of [...history].reverse()) {
    size += JSON.stringify(past.raw).length;
    if (newest.length === maximumHistoryEntries || (newest.length > 0 && size > maximumHistorySize)) break;
    newest.unshift(past);
  }
  return newest;
};

const withAcceptedPush = (
  state: AgreedState,
  push: Push,
  next: { raw: unknown; value: Config },
  acceptedAt: Microseconds,
): AgreedState => {
  const mark = state.config.mark + 1;
  // An operator that pushes its own source documents stores them itself and reverts by pushing one again.
  const history =
    push.source === undefined ? [...state.config.history, { mark, at: acceptedAt, push: push.id, raw: next.raw }] : [];
  return {
    ...state,
    config: {
      mark,
      raw: next.raw,
      value: next.value,
      history: limitedHistory(history),
      revision: push.revision ?? state.config.revision ?? 0,
      source: push.source ?? null,
    },
    pushes: [...state.pushes, { id: push.id, mark }].slice(-maximumPushIds),
    receipts: withReceipt(receiptsOf(state), receiptOf(push.base, mark, digestOf(push))),
  };
};
/**
 * Records a refused push whose base is above the newest version, so that it is not accepted when its base comes into
 * force.
 */
const withRefused = (state: AgreedState, push: Push): AgreedState => {
  const receipts = receiptsOf(state);
  const digest = digestOf(push);
  if (push.base <= requiredBase(state, push) || receipts.refused.includes(digest)) return state;
  return { ...state, receipts: { ...receipts, refused: [...receipts.refused, digest].slice(-maximumRefusedDigests) } };
};

/** Pure functions on the configuration in the agreed state (§7.2). */
export const configuration = {
  /** The result of a push that may have been sent before, without validating or applying it; null if it is new. */
  known: knownResult,

  /** Applies a push if its base is the version in force; it takes effect once, however often it is sent (§7.2). */
  push: (state: AgreedState, push: Push, acceptedAt: Microseconds): { state: AgreedState; result: PushResult } => {
    const earlierResult = knownResult(state, push);
    if (earlierResult) return { state: earlierResult.ok ? state : withRefused(state, push), result: earlierResult };
    const next = validatePush(state, push);
    if (!next.ok)
      return {
        state,
        result: { ok: false, why: 'invalid', mark: state.config.mark, problems: next.problems },
      };
    const changed = withAcceptedPush(state, push, next, acceptedAt);
    return { state: changed, result: { ok: true, mark: changed.config.mark } };
  },

  /**
   * The state as disseminated to all nodes (§3.5), without the data that only the coordinators need to check pushes,
   * which is most of its size. A reader that needs this data requests it from the coordinators.
   */
  forDissemination: (state: AgreedState): AgreedState => {
    const { mark, value, revision } = state.config;
    const config = { mark, raw: null, value, history: [], source: null };
    const { receipts: _, ...rest } = state;
    return { ...rest, config: revision === undefined ? config : { ...config, revision }, pushes: [] };
  },
};
