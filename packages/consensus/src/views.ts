// The former names of the consensus interface, for callers that still use them (§3.3).
import type { Runtime, Address } from '@thornsail/runtime';
import type { DurableStore } from '@thornsail/durable-files';
import type { Rpc } from '@thornsail/rpc';
import { consensus } from './driver.js';
import type { Change, Member, Role, Snapshot, Timing } from './types.js';
import type { StateCodec } from './wire.js';

/** A version of the agreed state. */
export type Marked<S> = { view: number; seq: number; members: Member[]; state: S };
export type { Change, Member } from './types.js';

export type Standing = 'unformed' | 'follow' | 'stop' | 'lead';
export type Views<S> = {
  id: string;
  standing: () => Standing;
  /** The newest version known to be held by a quorum. */
  done: () => Marked<S> | undefined;
  head: () => Address | undefined;
  led: () => boolean;
  isInTouch: (memberId: string) => boolean;
  propose: <R>(change: Change<S, R>) => Promise<{ seq: number; result: R }>;
  agreed: () => Promise<Marked<S>>;
  close: () => void;
};

const standings: Record<Role, Standing> = {
  unformed: 'unformed',
  follower: 'follow',
  candidate: 'stop',
  leader: 'lead',
};

export const toMarked = <S>({ term, index, members, state }: Snapshot<S>): Marked<S> => ({
  view: term,
  seq: index,
  members,
  state,
});
/** One object for each version, so that callers may compare by identity. */
const markedOnce = <S>(): ((snapshot: Snapshot<S>) => Marked<S>) => {
  const known = new WeakMap<Snapshot<S>, Marked<S>>();
  return (snapshot) => {
    const marked = known.get(snapshot) ?? toMarked(snapshot);
    known.set(snapshot, marked);
    return marked;
  };
};

export const views = {
  open: async <S>(options: {
    runtime: Runtime;
    rpc: Rpc;
    durable: DurableStore;
    founders: Address[];
    initial: S;
    onDone: (version: Marked<S>) => void;
    codec?: StateCodec<S>;
    timing?: Partial<Timing>;
  }): Promise<Views<S>> => {
    const { onDone, ...rest } = options;
    const marked = markedOnce<S>();
    const onCommit = (snapshot: Snapshot<S>): void => onDone(marked(snapshot));
    const inner = await consensus.open<S>({ ...rest, onCommit });
    return {
      id: inner.id,
      standing: () => standings[inner.role()],
      done: () => {
        const snapshot = inner.committed();
        return snapshot && marked(snapshot);
      },
      head: inner.leader,
      led: inner.isLeaseValid,
      isInTouch: inner.isInTouch,
      propose: async (change) => {
        const { index, result } = await inner.propose(change);
        return { seq: index, result };
      },
      agreed: async () => marked(await inner.readAgreed()),
      close: inner.close,
    };
  },
};
