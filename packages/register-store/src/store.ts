// The store's side of registers (§6.2): promises and accepted values, each synced before its reply.
import { fault, invariant, lock, time, duration, type Runtime, type Microseconds } from '@thornsail/runtime';
import {
  recordStore,
  type RecordIndex,
  type Limits,
  type DurableStore,
  type RecordEntry,
  recoverFolder,
} from '@thornsail/durable-files';
import type { Rpc } from '@thornsail/rpc';
import {
  ballot,
  isAsk,
  keptUntil,
  type AcceptAsk,
  type AcceptReply,
  type Ballot,
  type Base,
  type Copy,
  type DigestResult,
  type DropAsk,
  type DueResult,
  type ExtendAsk,
  type ExtendReply,
  type Group,
  type ListResult,
  type MendAsk,
  type OpenAsk,
  type PrepareAsk,
  type PrepareReply,
  type ReadAsk,
  type ReadReply,
  type Refusal,
  type Reply,
  type Seen,
} from './messages.js';
import { neededUntil, ranges, replicaTable, type ReplicaTable } from './replica-table.js';

export type Store = {
  id: string;
  group: () => Group | undefined;
  learn: (g: Group) => Promise<void>;
  size: () => number;
  counts: () => {
    prepares: number;
    accepts: number;
    opened: number;
    rejected: number;
    mended: number;
    extended: number;
    purged: number;
    refused: number;
    waiting: number;
    longest: number;
    batches: number;
    batched: number;
    merges: number;
    files: number;
    disk_bytes: number;
  };
};

/** What a store waits beyond `until` before it may drop a copy, unless it is told otherwise (§6.4). */
export const grace = duration.s(600);
const leastGrace = duration.s(10);

/** So many messages may wait for the disk at once; those beyond are refused, as if this store were not there (§8). */
const mostWaiting = 2000;

/** Registers were documents of such names before they were kept in batches. */
const former = 'reg:';
/** The record of the floor; no register has this key. */
const floorKey = '';
/** Nothing is ever held under this: its removal shows that all batches before are synced. */
const barrierKey = '\n';
const none: Copy = { promised: ballot.zero, accepted: ballot.zero, held: null, touched: 0 };
const markOf = (m: Base): number => (typeof m.group === 'number' ? m.group : m.group.mark);

/** The replica table, and beside it the floor: the highest ballot of any copy that was dropped. */
const withFloor = (copies: ReplicaTable): { index: RecordIndex<Copy>; floor: () => number } => {
  let slot: RecordEntry<Copy> | undefined;
  return {
    floor: () => slot?.value.promised[0] ?? 0,
    index: {
      get: (key) => (key === floorKey ? slot : copies.get(key)),
      set: (key, s) => (key === floorKey ? void (slot = s) : copies.set(key, s)),
      delete: (key) => (key === floorKey ? void (slot = undefined) : copies.delete(key)),
      clear: () => {
        slot = undefined;
        copies.clear();
      },
    },
  };
};
/** A copy as the asker wants it: its value only if it may not know it. */
const seen = (c: Copy, o: { has?: Ballot; bare?: boolean }): Seen => {
  const known = o.bare || (o.has && ballot.same(o.has, c.accepted));
  return {
    accepted: c.accepted,
    ...(c.held ? { until: c.held.until } : {}),
    ...(c.extended ? { extended: c.extended } : {}),
    ...(known && c.held ? {} : { held: c.held }),
  };
};

export const store = {
  open: async (o: {
    runtime: Runtime;
    rpc: Rpc;
    durable: DurableStore;
    freshId?: string;
    /** How many files, and how large (§6.1). */
    limits?: Partial<Limits>;
    /** How long a copy stays after its end of keeping, 10 s at least (§6.4). */
    grace?: Microseconds;
  }): Promise<Store> => {
    const { runtime, rpc, durable } = o;
    const wait = o.grace ?? grace;
    if (!(Number.isSafeInteger(wait) && wait >= leastGrace))
      throw fault.make({ step: 'store.open', code: 'grace' }, `grace is ${wait} us, it is ${leastGrace} us at least`);
    const log = runtime.log('store');
    const c = { prepares: 0, accepts: 0, opened: 0, rejected: 0, mended: 0, extended: 0, purged: 0, refused: 0 };
    const copies = replicaTable.open();
    const { index, floor } = withFloor(copies);
    const records = recordStore.open<Copy>({ durable, index, prefix: former, limits: o.limits ?? {} });
    // What does not read back, and was acknowledged, shows that the disk is damaged (§6.1).
    const sound = await recoverFolder(
      durable,
      log,
      (name, d) => {
        if (name.startsWith(former)) records.addLegacy(name.slice(former.length), d.value as Copy);
      },
      records.load,
    );
    if (!sound) records.clear();
    const kept = await durable.read<{ id: string }>('identity');
    const id = kept?.value.id ?? o.freshId ?? `store-${runtime.rand.id()}`;
    if (!kept) await durable.write('identity', 1, { id });
    let group = (await durable.read<Group>('group'))?.value;
    const short = lock.keyed();
    /** Whether it holds every opening that was decided: it was a founder, or the sweep has said so since (§6.5). */
    let filled = group !== undefined && (await durable.read<{ mark: number }>('filled'))?.value.mark === group.mark;
    const fill = async (): Promise<void> => {
      const { mark } = group!;
      await durable.write('filled', mark, { mark });
      filled = group!.mark === mark;
    };
    let emptying = false;
    const has = (g: Group): boolean => g.members.some((k) => k.id === id);
    /** It was no member, or missed a group: what it holds may be of before, and is on a majority without it. */
    const wasOut = (g: Group): boolean => group !== undefined && has(g) && (!has(group) || g.mark > group.mark + 1);
    const empty = async (): Promise<void> => {
      emptying = true;
      // What was let in before goes to the disk in this turn of the loop; a batch after it shows that it is there.
      await time.sleep(runtime.clock, 0);
      do {
        await records.remove(barrierKey);
        const keys = Array.from({ length: ranges }, (_, r) => copies.keys(r, '', Infinity)).flat();
        await Promise.all(keys.map((key) => records.remove(key)));
        await records.remove(barrierKey);
      } while (copies.size() > 0);
      emptying = false;
    };
    const learn = (g: Group): Promise<void> =>
      short('group', async () => {
        if (group && g.mark <= group.mark) {
          invariant.hold(
            g.mark < group.mark || JSON.stringify(g.members) === JSON.stringify(group.members),
            `two groups with mark ${g.mark}`,
          );
          return;
        }
        if (wasOut(g)) {
          if (copies.size() > 0) log('this store was out of the group: it begins empty.');
          filled = false;
          await empty();
        }
        await durable.write('group', g.mark, g);
        const fills = filled || (!group && g.mark === 1);
        filled = false;
        group = g;
        if (fills) await fill();
        log(`group mark is ${g.mark}.`);
      });
    /** Whether the group has this store at the place where it was asked: a bare mark names no store. */
    const here = (): boolean => group!.members.some((k) => k.id === id && k.at === rpc.at);
    const guard = async (m: Base): Promise<Refusal | undefined> => {
      if (emptying) return { ok: false, why: 'identity' };
      if (typeof m.group === 'number') {
        if (!group || m.group > group.mark) return { ok: false, why: 'unknown' };
        if (group.mark > markOf(m)) return { ok: false, why: 'group', group };
        return here() ? undefined : { ok: false, why: 'unknown' };
      }
      if (m.to !== id) return { ok: false, why: 'identity' };
      if (!group || m.group.mark > group.mark) await learn(m.group);
      if (group!.mark > markOf(m)) return { ok: false, why: 'group', group: group! };
      if (!group!.members.some((k) => k.id === id)) return { ok: false, why: 'identity' };
      return undefined;
    };
    /** What every reply says. The group may have moved on while the disk was busy. */
    const reply = <T>(m: Base, body: T): Reply<T> => {
      if (group!.mark > markOf(m)) return { ok: false, why: 'group', group: group! };
      return {
        ok: true,
        wall: runtime.clock.wall(),
        ...(typeof m.group === 'number' || !here() ? {} : { lean: true }),
        ...(floor() > 0 ? { floor: floor() } : {}),
        ...body,
      };
    };
    const reject = (promised: Ballot): Refusal => {
      c.rejected += 1;
      return { ok: false, why: 'ballot', promised };
    };
    let waiting = 0;
    const bounded = async <T>(work: () => Promise<T>): Promise<T> => {
      if (waiting >= mostWaiting) {
        c.refused += 1;
        throw fault.make({ step: 'store', code: 'busy' }, 'too much waits for the disk');
      }
      waiting += 1;
      try {
        return await work();
      } finally {
        waiting -= 1;
      }
    };
    /** One at a time for each key. */
    const inLine = <T>(key: string, work: () => Promise<T>): Promise<T> => bounded(() => short(key, work));
    const copyOf = (key: string): Copy => copies.get(key)?.value ?? none;
    /** What a copy has promised. Of one that was dropped only this is known: no ballot of it was above the floor. */
    const promisedOf = (key: string): Ballot =>
      copies.get(key)?.value.promised ?? (floor() > 0 ? [floor(), '~'] : ballot.zero);
    /** An extension stays as long as the copy: what says more may be of a ballot that comes to nothing. */
    const extendedOf = (cur: Copy, m: { extended?: Microseconds }): { extended?: Microseconds } => {
      const extended = Math.max(cur.extended ?? 0, m.extended ?? 0);
      return extended > 0 ? { extended } : {};
    };

    rpc.on<PrepareAsk>('reg.prepare', isAsk.prepare, (m) =>
      inLine(m.key, async (): Promise<Reply<PrepareReply>> => {
        const no = await guard(m);
        if (no) return no;
        const promised = promisedOf(m.key);
        if (ballot.cmp(m.ballot, promised) <= 0) return reject(promised);
        const next: Copy = { ...copyOf(m.key), promised: m.ballot, touched: runtime.clock.wall() };
        await records.write(m.key, next);
        c.prepares += 1;
        // An asker of the release before takes the whole copy.
        return reply(m, { copy: m.lean ? seen(next, m) : next });
      }),
    );
    rpc.on<AcceptAsk>('reg.accept', isAsk.accept, (m) =>
      inLine(m.key, async (): Promise<Reply<AcceptReply>> => {
        const no = await guard(m);
        if (no) return no;
        const cur = copyOf(m.key);
        const promised = promisedOf(m.key);
        if (ballot.cmp(m.ballot, promised) < 0) return reject(promised);
        invariant.hold(ballot.cmp(m.ballot, cur.accepted) >= 0, `register ${m.key} accepted a lower ballot`);
        const next: Copy = {
          promised: m.next ? ballot.max(m.next, m.ballot) : m.ballot,
          accepted: m.ballot,
          held: m.held,
          touched: runtime.clock.wall(),
          ...extendedOf(cur, m),
        };
        await records.write(m.key, next);
        c.accepts += 1;
        return reply(m, m.lean ? {} : { copy: next });
      }),
    );
    /** An opening was not prepared: it is taken only where nothing was ever promised (§6.2). */
    rpc.on<OpenAsk>('reg.open', isAsk.open, (m) =>
      inLine(m.key, async (): Promise<Reply<AcceptReply>> => {
        const no = await guard(m);
        if (no) return no;
        if (!filled) return { ok: false, why: 'filling' };
        const promised = promisedOf(m.key);
        if (copies.get(m.key) || ballot.cmp(m.ballot, promised) <= 0) return reject(promised);
        await records.write(m.key, {
          promised: ballot.max(m.next, m.ballot),
          accepted: ballot.opening(m.op),
          held: m.held,
          touched: runtime.clock.wall(),
        });
        c.opened += 1;
        return reply(m, {});
      }),
    );
    /** The sweep found the same with all members, or settled it (§6.5). */
    rpc.on<Base>('reg.filled', isAsk.filled, async (m) => {
      if (await guard(m)) return { ok: false };
      await short('group', async () => {
        // The group may have moved on meanwhile, and this store begun anew.
        if (!filled && group!.mark === markOf(m)) await fill();
      });
      return { ok: true };
    });
    rpc.on<ReadAsk>('reg.read', isAsk.read, async (m): Promise<Reply<ReadReply>> => {
      const no = await guard(m);
      if (no) return no;
      if (m.keys) return reply(m, { copies: m.keys.map((key) => seen(copyOf(key), m)) });
      return reply(m, { copy: copyOf(m.key!) });
    });
    /** A copy already agreed on by a majority, brought to a store that has an older one. */
    rpc.on<MendAsk>('reg.mend', isAsk.mend, (m) =>
      inLine(m.key, async (): Promise<Reply<AcceptReply>> => {
        const no = await guard(m);
        if (no) return no;
        const cur = copyOf(m.key);
        if (ballot.cmp(m.ballot, cur.accepted) <= 0) return reply(m, { copy: cur });
        if (!copies.get(m.key) && m.ballot[0] <= floor()) return reject(promisedOf(m.key));
        const next: Copy = {
          promised: ballot.max(cur.promised, m.ballot),
          accepted: m.ballot,
          held: m.held,
          touched: runtime.clock.wall(),
          ...extendedOf(cur, m),
        };
        await records.write(m.key, next);
        c.mended += 1;
        return reply(m, { copy: next });
      }),
    );
    /** Raises the end of keeping of one value; false if there is none. */
    const extendOne = (key: string, until: Microseconds): Promise<boolean> =>
      short(key, async () => {
        const cur = copies.get(key)?.value;
        // One that has ended counts as absent: it is not brought back.
        if (!cur || keptUntil(cur.held?.until ?? 0, cur.extended ?? 0) <= runtime.clock.wall()) return false;
        if ((cur.extended ?? 0) >= until) return true;
        await records.write(key, { ...cur, extended: until });
        c.extended += 1;
        return true;
      });
    rpc.on<ExtendAsk>('reg.extend', isAsk.extend, async (m): Promise<Reply<ExtendReply>> => {
      const no = await guard(m);
      if (no) return no;
      const found = await bounded(() => Promise.all(m.keys.map((key) => extendOne(key, m.until))));
      return reply(m, { found });
    });

    /** The first keys after one over all ranges, a few ranges at a time: others get their turn in between. */
    const everywhere = async (after: string, limit: number): Promise<string[]> => {
      let first: string[] = [];
      for (let r = 0; r < ranges; r++) {
        first = [...first, ...copies.keys(r, after, limit)].sort().slice(0, limit + 1);
        if (r % 8 === 7) await time.sleep(runtime.clock, 0);
      }
      return first;
    };
    /** For the sweep. Learning the group first is what fences older marks (§6.5). */
    rpc.on<Base>('reg.digest', isAsk.digest, async (m): Promise<DigestResult> => {
      if (await guard(m)) return { ok: false, group: group ?? null };
      const digests = Array.from({ length: ranges }, (_, r) => copies.digest(r));
      // A sweep of the release before asks which ranges hold something that may be dropped: `reg.due` says it.
      return { ok: true, digests, due: [], wall: runtime.clock.wall() };
    });
    rpc.on<Base & { after: string; limit: number; range?: number }>(
      'reg.list',
      isAsk.list,
      async (m): Promise<ListResult> => {
        if (await guard(m)) return { ok: false, group: group ?? null };
        const keys =
          m.range === undefined ? await everywhere(m.after, m.limit) : copies.keys(m.range, m.after, m.limit);
        const page = keys.slice(0, m.limit);
        return {
          ok: true,
          wall: runtime.clock.wall(),
          next: keys.length > m.limit ? page[page.length - 1]! : null,
          keys: page.flatMap((key) => {
            const slot = copies.get(key);
            if (!slot) return [];
            const { accepted, held, touched, extended } = slot.value;
            return [{ key, accepted, until: held?.until ?? 0, touched, ...(extended ? { extended } : {}) }];
          }),
        };
      },
    );
    rpc.on<Base & { limit: number }>('reg.due', isAsk.due, async (m): Promise<DueResult> => {
      if (await guard(m)) return { ok: false };
      const wall = runtime.clock.wall();
      return { ok: true, keys: copies.due(wall - wait, Math.min(m.limit, 1024)), wall };
    });
    /** Whether a copy is the one that is meant, and nothing has needed it since the grace began (§6.4). */
    const mayDrop = (key: string, accepted: Ballot, wall: Microseconds): boolean => {
      const cur = copies.get(key)?.value;
      if (!cur || !ballot.same(cur.accepted, accepted)) return false;
      return neededUntil(cur) + wait <= Math.min(wall, runtime.clock.wall());
    };
    const raiseFloor = (to: number): Promise<void> =>
      short(floorKey, async () => {
        if (to > floor()) await records.write(floorKey, { ...none, promised: [to, ''] });
      });
    const dropOne = (key: string, accepted: Ballot, wall: Microseconds): Promise<boolean> =>
      short(key, async () => {
        if (!mayDrop(key, accepted, wall)) return false;
        // Its ballots are forgotten with it: whatever comes under this key again has to be above them.
        await raiseFloor(copyOf(key).promised[0]);
        await records.remove(key);
        c.purged += 1;
        return true;
      });
    rpc.on<DropAsk>('reg.drop', isAsk.drop, async (m) => {
      if (await guard(m)) return { ok: false, dropped: 0 };
      const those = m.keys.filter(([key, accepted]) => mayDrop(key, accepted, m.wall));
      await raiseFloor(those.reduce((most, [key]) => Math.max(most, copyOf(key).promised[0]), 0));
      const done = await Promise.all(m.keys.map(([key, accepted]) => dropOne(key, accepted, m.wall)));
      return { ok: true, dropped: done.filter((x) => x).length };
    });
    rpc.on<Base & { key: string; ballot: Ballot; wall: Microseconds }>('reg.purge', isAsk.purge, async (m) => ({
      ok: m.to === id && (await dropOne(m.key, m.ballot, m.wall)),
    }));

    const counts: Store['counts'] = () => {
      const { batches: n, records: batched, merges, files, bytes } = records.counts();
      return { ...c, waiting, longest: copies.longest(), batches: n, batched, merges, files, disk_bytes: bytes };
    };
    return { id, group: () => group, learn, size: copies.size, counts };
  },
};
