/**
 * What a store knows of its group (§6.2, §6.5): it answers for the present group only, takes in newer groups, and knows
 * whether it has every opening that was decided before it joined.
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
  group: () => Group | undefined;
  /** Takes in a group that is newer than the one known; resolves once it is synced. */
  learn: (group: Group) => Promise<void>;
  /** Whether it holds every opening that was decided: it was a founder, or anti-entropy has said so since (§6.5). */
  isFilled: () => boolean;
  /** Anti-entropy found the same with all members of the group of this request, or settled it (§6.5). */
  setFilled: (target: Target) => Promise<void>;
  /** Why a request is refused; undefined if it may be answered. A newer group in it is learned first. */
  check: (target: Target) => Promise<WireRefusal | undefined>;
  /** A reply. The group may have moved on while the disk was busy. */
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
/** What changes while a store runs. */
type State = {
  group: Group | undefined;
  filled: boolean;
  /** Its replicas are being removed: it answers nothing. */
  emptying: boolean;
};

const versionOf = ({ group }: Target): number => (typeof group === 'number' ? group : group.mark);
const hasMember = (group: Group, id: string): boolean => group.members.some((member) => member.id === id);
const assertSame = (known: Group, other: Group): void =>
  invariant.hold(
    other.version < known.version || JSON.stringify(other.members) === JSON.stringify(known.members),
    `two groups with mark ${other.version}`,
  );

const loadState = async (durable: DurableStore): Promise<State> => {
  const document = await durable.read<WireGroup>(documents.group);
  const group = document && decodeGroup(document.value);
  const filled =
    group !== undefined && (await durable.read<{ mark: number }>(documents.filled))?.value.mark === group.version;
  return { group, filled, emptying: false };
};
const fill = async (durable: DurableStore, state: State): Promise<void> => {
  const { version } = state.group!;
  await durable.write(documents.filled, version, { mark: version });
  state.filled = state.group!.version === version;
};

const learnGroup = async (
  { runtime, durable, storage, id, log }: StoreGroupOptions,
  state: State,
  next: Group,
): Promise<void> => {
  const known = state.group;
  if (known && next.version <= known.version) return assertSame(known, next);
  // It was no member, or missed a group: what it holds may be outdated, and is on a majority without it.
  const wasOut = known && hasMember(next, id) && (!hasMember(known, id) || next.version > known.version + 1);
  if (wasOut) {
    if (storage.table.size() > 0) log('this store was out of the group: it begins empty.');
    state.filled = false;
    state.emptying = true;
    // What was let in before goes to the disk in this turn of the loop; a batch after it shows that it is there.
    await time.sleep(runtime.clock, 0);
    await storage.removeAll();
    state.emptying = false;
  }
  await durable.write(documents.group, next.version, encodeGroup(next));
  const fills = state.filled || (!state.group && next.version === 1);
  state.filled = false;
  state.group = next;
  if (fills) await fill(durable, state);
  log(`group mark is ${next.version}.`);
};

/** Opens the group of a store from its documents. */
export const openStoreGroup = async (options: StoreGroupOptions): Promise<StoreGroup> => {
  const { runtime, rpc, durable, storage, id } = options;
  const state = await loadState(durable);
  const exclusive = lock.single();
  const learn = (group: Group): Promise<void> => exclusive(() => learnGroup(options, state, group));
  /** Whether the group has this store at the address where it was asked: a version alone names no store. */
  const isHere = (): boolean => state.group!.members.some((member) => member.id === id && member.at === rpc.address);
  const outdated = (target: Target): WireRefusal | undefined =>
    state.group!.version > versionOf(target)
      ? { ok: false, why: 'group', group: encodeGroup(state.group!) }
      : undefined;
  const checkVersion = (target: Target, version: number): WireRefusal | undefined => {
    if (!state.group || version > state.group.version) return { ok: false, why: 'unknown' };
    return outdated(target) ?? (isHere() ? undefined : { ok: false, why: 'unknown' });
  };
  const check = async (target: Target): Promise<WireRefusal | undefined> => {
    if (state.emptying) return { ok: false, why: 'identity' };
    if (typeof target.group === 'number') return checkVersion(target, target.group);
    if (target.to !== id) return { ok: false, why: 'identity' };
    const group = decodeGroup(target.group);
    if (!state.group || group.version > state.group.version) await learn(group);
    return outdated(target) ?? (hasMember(state.group!, id) ? undefined : { ok: false, why: 'identity' });
  };
  return {
    group: () => state.group,
    learn,
    isFilled: () => state.filled,
    setFilled: (target) =>
      exclusive(async () => {
        // The group may have moved on meanwhile, and this store begun anew.
        if (!state.filled && state.group!.version === versionOf(target)) await fill(durable, state);
      }),
    check,
    answer: (target, body) =>
      outdated(target) ?? {
        ok: true,
        wall: runtime.clock.wallTime(),
        ...(typeof target.group === 'number' || !isHere() ? {} : { lean: true }),
        ...(storage.floor() > 0 ? { floor: storage.floor() } : {}),
        ...body,
      },
  };
};
