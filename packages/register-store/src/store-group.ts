/**
 * The group as a store knows it (§6.2, §6.5). The store answers requests of the current group only, adopts newer
 * groups, and records whether it is filled, that is, has every opening that was decided before it joined.
 */
import { invariant, lock, time, type Runtime } from '@thornsail/runtime';
import type { DurableStore } from '@thornsail/durable-files';
import type { Rpc } from '@thornsail/rpc';
import type { ReplicaStorage } from './replica-storage.js';
import type { Group } from './types.js';
import {
  decodeGroup,
  documents,
  encodeGroup,
  type Target,
  type WireGroup,
  type WireRefusal,
  type WireReply,
} from './wire.js';

/** The group of a store. */
export type StoreGroup = {
  /** The newest group that the store knows. */
  group: () => Group | undefined;
  /** Adopts a group that is newer than the known one; resolves once it is synced. */
  adopt: (group: Group) => Promise<void>;
  /** Whether it has every decided opening: it was in the first group, or anti-entropy has reported so since (§6.5). */
  isFilled: () => boolean;
  /** Marks the store as filled: the members of the request's group have equal replicas, or were repaired (§6.5). */
  setFilled: (target: Target) => Promise<void>;
  /** The refusal of a request; undefined if it may be answered. A newer group in the request is adopted first. */
  check: (target: Target) => Promise<WireRefusal | undefined>;
  /** The reply to a request; a refusal if the group has changed since, while the disk was busy. */
  answer: <T>(target: Target, body: T) => WireReply<T>;
};
type StoreGroupOptions = {
  runtime: Runtime;
  rpc: Rpc;
  durable: DurableStore;
  storage: ReplicaStorage;
  id: string;
  log: (text: string) => void;
};
/** The state that changes while a store runs. */
type State = {
  group: Group | undefined;
  filled: boolean;
  /** Its replicas are being removed, so all requests are refused. */
  isErasing: boolean;
};

const versionOf = ({ group }: Target): number => (typeof group === 'number' ? group : group.mark);
const hasMember = (group: Group, id: string): boolean => group.members.some((member) => member.id === id);
const assertSameMembers = (known: Group, other: Group): void =>
  invariant.hold(
    other.version < known.version || JSON.stringify(other.members) === JSON.stringify(known.members),
    `two groups with version ${other.version}`,
  );

const loadState = async (durable: DurableStore): Promise<State> => {
  const document = await durable.read<WireGroup>(documents.group);
  const group = document && decodeGroup(document.value);
  const filled =
    group !== undefined && (await durable.read<{ mark: number }>(documents.filled))?.value.mark === group.version;
  return { group, filled, isErasing: false };
};
const markFilled = async (durable: DurableStore, state: State): Promise<void> => {
  const { version } = state.group!;
  await durable.write(documents.filled, version, { mark: version });
  state.filled = state.group!.version === version;
};

const adoptGroup = async (
  { runtime, durable, storage, id, log }: StoreGroupOptions,
  state: State,
  next: Group,
): Promise<void> => {
  const known = state.group;
  if (known && next.version <= known.version) return assertSameMembers(known, next);
  // It was not a member, or missed a group: its replicas may be outdated, and a majority has the values without it.
  const wasAbsent = known && hasMember(next, id) && (!hasMember(known, id) || next.version > known.version + 1);
  if (wasAbsent) {
    if (storage.table.size() > 0) log('this store was not a member, or missed a group version; removing its replicas');
    state.filled = false;
    state.isErasing = true;
    // Requests accepted earlier reach the disk queue in this turn of the event loop; removeAll waits for their batches.
    await time.sleep(runtime.clock, 0);
    await storage.removeAll();
    state.isErasing = false;
  }
  await durable.write(documents.group, next.version, encodeGroup(next));
  const willBeFilled = state.filled || (!state.group && next.version === 1);
  state.filled = false;
  state.group = next;
  if (willBeFilled) await markFilled(durable, state);
  log(`adopted group version ${next.version}`);
};

/** Reads the group of a store from its documents. */
export const openStoreGroup = async (options: StoreGroupOptions): Promise<StoreGroup> => {
  const { runtime, rpc, durable, storage, id } = options;
  const state = await loadState(durable);
  const exclusive = lock.single();
  const adopt = (group: Group): Promise<void> => exclusive(() => adoptGroup(options, state, group));
  /** Whether the group has this store at this address; a request with a version alone does not identify the store. */
  const isMemberAtAddress = (): boolean =>
    state.group!.members.some((member) => member.id === id && member.at === rpc.address);
  const outdated = (target: Target): WireRefusal | undefined =>
    state.group!.version > versionOf(target)
      ? { ok: false, why: 'group', group: encodeGroup(state.group!) }
      : undefined;
  const checkVersion = (target: Target, version: number): WireRefusal | undefined => {
    if (!state.group || version > state.group.version) return { ok: false, why: 'unknown' };
    return outdated(target) ?? (isMemberAtAddress() ? undefined : { ok: false, why: 'unknown' });
  };
  const check = async (target: Target): Promise<WireRefusal | undefined> => {
    if (state.isErasing) return { ok: false, why: 'identity' };
    if (typeof target.group === 'number') return checkVersion(target, target.group);
    if (target.to !== id) return { ok: false, why: 'identity' };
    const group = decodeGroup(target.group);
    if (!state.group || group.version > state.group.version) await adopt(group);
    return outdated(target) ?? (hasMember(state.group!, id) ? undefined : { ok: false, why: 'identity' });
  };
  return {
    group: () => state.group,
    adopt,
    isFilled: () => state.filled,
    setFilled: (target) =>
      exclusive(async () => {
        // The group may have changed meanwhile, and this store may have removed its replicas.
        if (!state.filled && state.group!.version === versionOf(target)) await markFilled(durable, state);
      }),
    check,
    answer: (target, body) =>
      outdated(target) ?? {
        ok: true,
        wall: runtime.clock.wallTime(),
        ...(typeof target.group === 'number' || !isMemberAtAddress() ? {} : { lean: true }),
        ...(storage.floor() > 0 ? { floor: storage.floor() } : {}),
        ...(storage.isNearlyFull() ? { full: true } : {}),
        ...body,
      },
  };
};
