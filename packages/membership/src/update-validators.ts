/** The forms of the items that are disseminated, by the first part of their names (§3.5). */
import { snapshotCodec } from '@thornsail/consensus';
import type { Update } from '@thornsail/dissemination';
import { validate, type Validator } from '@thornsail/rpc';
import { address } from '@thornsail/runtime';

const isWorkers = validate.object({
  list: validate.arrayOf(
    validate.object({
      id: validate.string,
      at: address.ok,
      kind: validate.oneOf('model', 'app'),
      leaving: validate.boolean,
    }),
  ),
});
const isCounts = validate.recordOf(validate.integer);

const isExchangeCounts = (counts: unknown): boolean =>
  validate.arrayOf(validate.integer)(counts) && (counts as number[]).length === 2;

/** What a gateway tells of its load (§4.4). */
export const isLoad = validate.object({
  load: validate.object({ running: validate.recordOf(isCounts), waiting: isCounts }),
  tokens: validate.recordOf(validate.finiteNumber),
  paused: validate.integer,
  smallest: validate.optional(validate.finiteNumber),
  took: validate.optional(validate.arrayOf(validate.string)),
  uses: validate.optional(validate.integer),
  exchanges: validate.optional(validate.recordOf(isExchangeCounts)),
});

const validators = new Map<string, Validator>([
  ['order', snapshotCodec.isValid],
  ['workers', isWorkers],
  ['load', isLoad],
]);

/** Items of other names are not used by this release, and are passed on as they are. */
export const isValidUpdate = ({ name, value }: Update): boolean => validators.get(name.split('/')[0]!)?.(value) ?? true;
