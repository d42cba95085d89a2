/** Reads of values by the handlers of a store, which may have left its group before a value is read (§6.5). */
import type { StoreContext } from './store-context.js';
import type { Replica } from './types.js';
import type { Target, WireRefusal } from './wire.js';

/** Replicas with their values, or the refusal of a group that has changed while they were read. */
type CheckedReplicas = { ok: true; replicas: Replica[] } | WireRefusal;
/**
 * Reads replicas with their values. The group is checked again afterwards: this store may have adopted another one, and
 * removed its replicas, during the read (§6.5).
 */
export const readChecked = async (
  { storage, group }: StoreContext,
  body: Target,
  keys: string[],
): Promise<CheckedReplicas> => {
  const replicas = await storage.read(keys);
  return (await group.check(body)) ?? { ok: true, replicas };
};
