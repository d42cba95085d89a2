/** Validators of disseminated items, by the first part of the item name (§3.5). */
import { snapshotCodec } from '@thornsail/consensus';
import type { Update } from '@thornsail/dissemination';
import { validate, type Validator } from '@thornsail/rpc';
import { address } from '@thornsail/runtime';

const isWorkerList = validate.object({
  list: validate.arrayOf(
    validate.object({
      id: validate.string,
      at: address.ok,
      kind: validate.oneOf('model', 'app'),
      leaving: validate.boolean,
    }),
  ),
});
const isCountRecord = validate.recordOf(validate.integer);

const isExchangeCounts = (counts: unknown): boolean =>
  validate.arrayOf(validate.integer)(counts) && (counts as number[]).length === 2;

/** The load report of a gateway: running and waiting requests, tokens, and further counts for load balancing (§4.4). */
export const isLoad = validate.object({
  load: validate.object({ running: validate.recordOf(isCountRecord), waiting: isCountRecord }),
  tokens: validate.recordOf(validate.finiteNumber),
  paused: validate.integer,
  smallest: validate.optional(validate.finiteNumber),
  took: validate.optional(validate.arrayOf(validate.string)),
  uses: validate.optional(validate.integer),
  exchanges: validate.optional(validate.recordOf(isExchangeCounts)),
});

const validators = new Map<string, Validator>([
  ['order', snapshotCodec.isValid],
  ['workers', isWorkerList],
  ['load', isLoad],
]);

/** Whether an update has a valid value. Items with unknown names are accepted, so that they are forwarded unchanged. */
export const isValidUpdate = ({ name, value }: Update): boolean => validators.get(name.split('/')[0]!)?.(value) ?? true;
