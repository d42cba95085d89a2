/**
 * The configuration as the coordinators agree on it (§7.2): a register with compare-and-set. A push names the version
 * that it builds on, and at most one push is accepted for each of these; it is recognised when it is sent again.
 */
import { createHash } from 'node:crypto';
import { configSchema, type Config, type Problem } from '@thornsail/config-schema';
import { validate } from '@thornsail/rpc';
import type { Microseconds } from '@thornsail/runtime';
import type { AgreedState, PastConfig, Receipt, Receipts } from './agreed-state.js';

/** With a `revision`, `base` is the operator's own number of what is changed; else it is our mark. */
export type Push = {
  id: string;
  base: number;
  how: 'whole' | 'merge' | 'patch';
  body: unknown;
  revision?: number;
  source?: unknown;
};
/** What came of a push, with the mark of the configuration that it made or met. */
export type PushResult =
  | { ok: true; mark: number; repeated?: boolean }
  | { ok: false; why: 'collision'; mark: number }
  /** Its base was replaced so long ago that nothing is known of who replaced it: it may have been this push. */
  | { ok: false; why: 'forgotten'; mark: number }
  /** Ordered and durable, and not yet in use at these gateways. */
  | { ok: false; why: 'unconfirmed'; mark: number; gateways: string[] }
  | { ok: false; why: 'invalid'; mark: number; problems: Problem[] };

const receiptsKept = 512;
const refusedKept = 64;
/** Ids as the release before reads them, enough for repeats while one release replaces the other. */
const idsKept = 64;
const historyKept = 8;
const historyBytes = 65_536;
/** In characters of base64: 96 bits. */
const digestLength = 16;

/** Whether something has the shape of receipts; a state of a release without them passes too. */
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
/** The number that the next push has to build on. */
const presentFor = (state: AgreedState, push: Push): number =>
  push.revision === undefined ? state.config.mark : (state.config.revision ?? 0);

/** Of what was accepted without a receipt, by a release before this one, nothing but the recorded ids is known. */
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
const withAccepted = (receipts: Receipts, receipt: Receipt): Receipts => {
  const accepted = [...receipts.accepted, receipt];
  const dropped = accepted.length > receiptsKept ? parsedReceipt(accepted.shift()!) : null;
  const forgotten = dropped
    ? {
        base: Math.max(receipts.forgotten.base, dropped.base),
        mark: Math.max(receipts.forgotten.mark, dropped.mark),
      }
    : receipts.forgotten;
  return { ...receipts, mark: parsedReceipt(receipt).mark, forgotten, accepted };
};

/** What is known of a push before it is judged: null where it is new, or may be accepted. */
const known = (state: AgreedState, push: Push): PushResult | null => {
  const { mark } = state.config;
  const earlierPush = state.pushes.find((earlier) => earlier.id === push.id);
  if (earlierPush) return { ok: true, mark: earlierPush.mark, repeated: true };
  const receipts = receiptsOf(state);
  const digest = digestOf(push);
  const same = receipts.accepted.find((receipt) => receipt.endsWith(` ${digest}`));
  if (same) return { ok: true, mark: parsedReceipt(same).mark, repeated: true };
  if (receipts.refused.includes(digest)) return { ok: false, why: 'collision', mark };
  const present = presentFor(state, push);
  if (push.base === present) return null;
  const { forgotten } = receipts;
  const isForgotten = push.revision === undefined ? push.base < forgotten.mark : push.base <= forgotten.base;
  return { ok: false, why: push.base < present && isForgotten ? 'forgotten' : 'collision', mark };
};

type Judged = { ok: true; raw: unknown; value: Config } | { ok: false; problems: Problem[] };
const judged = (state: AgreedState, push: Push): Judged => {
  const present = presentFor(state, push);
  if (push.revision !== undefined && push.revision <= present)
    return { ok: false, problems: [{ path: 'revision', text: `must be above ${present}` }] };
  const next = configSchema.change(state.config.raw ?? {}, push.how, push.body);
  if (!next.ok) return next;
  const checked = configSchema.check(next.value);
  return checked.ok ? { ok: true, raw: next.value, value: checked.value } : checked;
};

/** The newest few, and no more than the state state can carry: it goes whole with every version. */
const newestOf = (all: PastConfig[]): PastConfig[] => {
  const out: PastConfig[] = [];
  let size = 0;
  for (const past of [...all].reverse()) {
    size += JSON.stringify(past.raw).length;
    if (out.length === historyKept || (out.length > 0 && size > historyBytes)) break;
    out.unshift(past);
  }
  return out;
};

const accepted = (
  state: AgreedState,
  push: Push,
  next: { raw: unknown; value: Config },
  at: Microseconds,
): AgreedState => {
  const mark = state.config.mark + 1;
  // Who hands in sources of his own keeps them himself, and goes back by pushing one again.
  const past = push.source === undefined ? [...state.config.history, { mark, at, push: push.id, raw: next.raw }] : [];
  return {
    ...state,
    config: {
      mark,
      raw: next.raw,
      value: next.value,
      history: newestOf(past),
      revision: push.revision ?? state.config.revision ?? 0,
      source: push.source ?? null,
    },
    pushes: [...state.pushes, { id: push.id, mark }].slice(-idsKept),
    receipts: withAccepted(receiptsOf(state), receiptOf(push.base, mark, digestOf(push))),
  };
};
const withRefused = (state: AgreedState, push: Push): AgreedState => {
  const receipts = receiptsOf(state);
  const digest = digestOf(push);
  if (push.base <= presentFor(state, push) || receipts.refused.includes(digest)) return state;
  return { ...state, receipts: { ...receipts, refused: [...receipts.refused, digest].slice(-refusedKept) } };
};

/** Changes of the configuration and questions about them: pure functions of the agreed state (§7.2). */
export const configuration = {
  /** What is known of a push that may have been sent before, without its being judged; null where it is not known. */
  known,

  /** A push is judged against its base and has one effect however often it is repeated (§7.2). */
  push: (state: AgreedState, push: Push, at: Microseconds): { state: AgreedState; result: PushResult } => {
    const before = known(state, push);
    if (before) return { state: before.ok ? state : withRefused(state, push), result: before };
    const next = judged(state, push);
    if (!next.ok)
      return {
        state,
        result: { ok: false, why: 'invalid', mark: state.config.mark, problems: next.problems },
      };
    const changed = accepted(state, push, next, at);
    return { state: changed, result: { ok: true, mark: changed.config.mark } };
  },

  /**
   * The state as news for all nodes (§3.5): only members of the core need what a push is judged by, and it is most of
   * the bytes. A reader who needs it asks the core.
   */
  forNodes: (state: AgreedState): AgreedState => {
    const { mark, value, revision } = state.config;
    const config = { mark, raw: null, value, history: [], source: null };
    const { receipts: _, ...rest } = state;
    return { ...rest, config: revision === undefined ? config : { ...config, revision }, pushes: [] };
  },
};
