// The configuration as the coordinators order it (§7.2): a register with compare-and-set. A push names the version
// that it
// builds on, and at most one push is accepted for each of these; it is recognised when it is sent again.
import { createHash } from 'node:crypto';
import { configSchema, type Config, type Problem } from '@thornsail/config-schema';
import { validate } from '@thornsail/rpc';
import type { Microseconds } from '@thornsail/runtime';
import type { Ordered } from './order.js';

/** An earlier configuration as it was pushed; the last few are kept so that one can be gone back to (§7.2). */
export type PastConfig = { mark: number; at: Microseconds; push: string; raw: unknown };
/**
 * `mark` is ours and grows by one. An operator may number changes by a `revision` of his own, and hand in the
 * `source` from which `raw` was made: it is kept and given back as it came (§7.2).
 */
export type ConfigurationState = {
  mark: number;
  raw: unknown;
  value: Config | null;
  history: PastConfig[];
  revision?: number;
  source?: unknown;
};
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

/**
 * Which push replaced which base. `accepted` holds the last ones, oldest first; of what lies at or below `forgotten`
 * and isn't among them nothing is known. `refused` holds pushes on bases above the newest: none may be accepted later.
 */
export type Receipts = {
  /** The mark of the newest configuration that is counted in here; a release before this one doesn't write receipts. */
  mark: number;
  forgotten: { base: number; mark: number };
  accepted: Receipt[];
  refused: string[];
};
/** The base, the mark that came of it, and the digest of the push's id, separated by spaces: short when encoded. */
export type Receipt = string;

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
const presentFor = (ordered: Ordered, push: Push): number =>
  push.revision === undefined ? ordered.config.mark : (ordered.config.revision ?? 0);

/** Of what was accepted without a receipt, by a release before this one, nothing but the kept ids is known. */
const receiptsOf = (ordered: Ordered): Receipts => {
  const { mark, revision = 0 } = ordered.config;
  const kept = ordered.receipts;
  if (kept?.mark === mark) return kept;
  return {
    mark,
    forgotten: { base: revision - 1, mark },
    accepted: kept?.accepted ?? [],
    refused: kept?.refused ?? [],
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
const known = (ordered: Ordered, push: Push): PushResult | null => {
  const { mark } = ordered.config;
  const kept = ordered.pushes.find((earlier) => earlier.id === push.id);
  if (kept) return { ok: true, mark: kept.mark, repeated: true };
  const receipts = receiptsOf(ordered);
  const digest = digestOf(push);
  const same = receipts.accepted.find((receipt) => receipt.endsWith(` ${digest}`));
  if (same) return { ok: true, mark: parsedReceipt(same).mark, repeated: true };
  if (receipts.refused.includes(digest)) return { ok: false, why: 'collision', mark };
  const present = presentFor(ordered, push);
  if (push.base === present) return null;
  const { forgotten } = receipts;
  const isForgotten = push.revision === undefined ? push.base < forgotten.mark : push.base <= forgotten.base;
  return { ok: false, why: push.base < present && isForgotten ? 'forgotten' : 'collision', mark };
};

type Judged = { ok: true; raw: unknown; value: Config } | { ok: false; problems: Problem[] };
const judged = (ordered: Ordered, push: Push): Judged => {
  const present = presentFor(ordered, push);
  if (push.revision !== undefined && push.revision <= present)
    return { ok: false, problems: [{ path: 'revision', text: `must be above ${present}` }] };
  const next = configSchema.change(ordered.config.raw ?? {}, push.how, push.body);
  if (!next.ok) return next;
  const checked = configSchema.check(next.value);
  return checked.ok ? { ok: true, raw: next.value, value: checked.value } : checked;
};

/** The newest few, and no more than the ordered state can carry: it goes whole with every version. */
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

const accepted = (ordered: Ordered, push: Push, next: { raw: unknown; value: Config }, at: Microseconds): Ordered => {
  const mark = ordered.config.mark + 1;
  // Who hands in sources of his own keeps them himself, and goes back by pushing one again.
  const past = push.source === undefined ? [...ordered.config.history, { mark, at, push: push.id, raw: next.raw }] : [];
  return {
    ...ordered,
    config: {
      mark,
      raw: next.raw,
      value: next.value,
      history: newestOf(past),
      revision: push.revision ?? ordered.config.revision ?? 0,
      source: push.source ?? null,
    },
    pushes: [...ordered.pushes, { id: push.id, mark }].slice(-idsKept),
    receipts: withAccepted(receiptsOf(ordered), receiptOf(push.base, mark, digestOf(push))),
  };
};
const withRefused = (ordered: Ordered, push: Push): Ordered => {
  const receipts = receiptsOf(ordered);
  const digest = digestOf(push);
  if (push.base <= presentFor(ordered, push) || receipts.refused.includes(digest)) return ordered;
  return { ...ordered, receipts: { ...receipts, refused: [...receipts.refused, digest].slice(-refusedKept) } };
};

/** Changes of the configuration and questions about them: pure functions of the ordered state (§7.2). */
export const configuration = {
  /** What is known of a push that may have been sent before, without its being judged; null where it is not known. */
  known,

  /** A push is judged against its base and has one effect however often it is repeated (§7.2). */
  push: (ordered: Ordered, push: Push, at: Microseconds): { state: Ordered; result: PushResult } => {
    const before = known(ordered, push);
    if (before) return { state: before.ok ? ordered : withRefused(ordered, push), result: before };
    const next = judged(ordered, push);
    if (!next.ok)
      return {
        state: ordered,
        result: { ok: false, why: 'invalid', mark: ordered.config.mark, problems: next.problems },
      };
    const state = accepted(ordered, push, next, at);
    return { state, result: { ok: true, mark: state.config.mark } };
  },

  /**
   * The state as news for all nodes (§3.5): only members of the core need what a push is judged by, and it is most of
   * the bytes. A reader who needs it asks the core.
   */
  forNodes: (ordered: Ordered): Ordered => {
    const { mark, value, revision } = ordered.config;
    const config = { mark, raw: null, value, history: [], source: null };
    const { receipts: _, ...rest } = ordered;
    return { ...rest, config: revision === undefined ? config : { ...config, revision }, pushes: [] };
  },
};
