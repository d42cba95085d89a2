// The keeper's side of registers (§6.2): promises and accepted values, each synced before its reply.
import { invariant, lock, place, time, us, type Lens, type Place, type Us } from '@thornsail/lens';
import { batches, logbook, type Limits, type Logbook } from '@thornsail/logbook';
import { neededUntil, ranges, shelf } from './shelf.js';
import { shape, type Pipe } from '@thornsail/pipe';

export type Ballot = [n: number, by: string];
export const ballot = {
  zero: [0, ''] as Ballot,
  cmp: (a: Ballot, b: Ballot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0),
  max: (a: Ballot, b: Ballot): Ballot => (ballot.cmp(a, b) >= 0 ? a : b),
};
/** A value; `until` is wall time, after which it counts as absent (§6.4); `ops` names its last changes (§6.2). */
export type Held = { value: unknown; until: Us; ops: string[] };
export type Copy = { promised: Ballot; accepted: Ballot; held: Held | null; touched: Us };
export type Keep = { id: string; at: Place };
export type Group = { mark: number; members: Keep[] };

type Base = { to: string; group: Group; key: string };
export type PrepareAsk = Base & { ballot: Ballot };
export type AcceptAsk = Base & { ballot: Ballot; held: Held | null; next: Ballot | null };
export type Reply =
  | { ok: true; copy: Copy; wall: Us }
  | { ok: false; why: 'ballot'; promised: Ballot }
  | { ok: false; why: 'group'; group: Group }
  | { ok: false; why: 'identity' };
export type ListResult =
  | { ok: true; keys: { key: string; accepted: Ballot; until: Us; touched: Us }[]; next: string | null; wall: Us }
  | { ok: false; group: Group | null };

export type DigestResult =
  { ok: true; digests: number[]; due: boolean[]; wall: Us } | { ok: false; group: Group | null };

export type Store = {
  id: string;
  group: () => Group | undefined;
  learn: (g: Group) => Promise<void>;
  size: () => number;
  counts: () => {
    prepares: number;
    accepts: number;
    rejected: number;
    mended: number;
    purged: number;
    longest: number;
    batches: number;
    batched: number;
    merges: number;
    files: number;
    disk_bytes: number;
  };
};

/** What a keeper waits beyond `until` before it may drop a copy: longer than any message or freeze lives (§6.4). */
export const grace = us.s(600);

const isGroup = shape.has({
  mark: shape.whole,
  members: shape.list(shape.has({ id: shape.text, at: place.ok })),
});
const base = { to: shape.text, group: isGroup, key: shape.text };
const isHeld = shape.maybe(shape.has({ until: shape.num, ops: shape.list(shape.text) }));

/** Registers were documents of such names before they were kept in batches. */
const former = 'reg:';

export const store = {
  open: async (o: {
    lens: Lens;
    pipe: Pipe;
    book: Logbook;
    freshId?: string;
    /** How many files, and how large (§6.1). */
    limits?: Partial<Limits>;
  }): Promise<Store> => {
    const { lens, pipe, book } = o;
    const log = lens.log('keeper');
    const c = { prepares: 0, accepts: 0, rejected: 0, mended: 0, purged: 0 };
    const copies = shelf.open();
    const records = batches.open<Copy>({ book, index: copies, prefix: former, limits: o.limits ?? {} });
    // What does not read back, and was acknowledged, shows that the disk is damaged (§6.1).
    const sound = await logbook.sound(
      book,
      log,
      (name, d) => {
        if (name.startsWith(former)) records.former(name.slice(former.length), d.value as Copy);
      },
      records.load,
    );
    if (!sound) records.clear();
    const kept = await book.read<{ id: string }>('identity');
    const id = kept?.value.id ?? o.freshId ?? `keeper-${lens.rand.id()}`;
    if (!kept) await book.write('identity', 1, { id });
    let group = (await book.read<Group>('group'))?.value;
    const short = lock.keyed();
    const learn = (g: Group): Promise<void> =>
      short('group', async () => {
        if (group && g.mark <= group.mark) {
          invariant.hold(
            g.mark < group.mark || JSON.stringify(g.members) === JSON.stringify(group.members),
            `two groups with mark ${g.mark}`,
          );
          return;
        }
        await book.write('group', g.mark, g);
        group = g;
        log(`group mark is ${g.mark}.`);
      });
    const guard = async (m: Base): Promise<Reply | undefined> => {
      if (m.to !== id) return { ok: false, why: 'identity' };
      if (!group || m.group.mark > group.mark) await learn(m.group);
      if (group!.mark > m.group.mark) return { ok: false, why: 'group', group: group! };
      if (!group!.members.some((k) => k.id === id)) return { ok: false, why: 'identity' };
      return undefined;
    };
    const none: Copy = { promised: ballot.zero, accepted: ballot.zero, held: null, touched: 0 };
    const reject = (promised: Ballot): Reply => {
      c.rejected += 1;
      return { ok: false, why: 'ballot', promised };
    };

    pipe.on<PrepareAsk>('reg.prepare', shape.has({ ...base, ballot: shape.ballot }), (m) =>
      short(m.key, async (): Promise<Reply> => {
        const no = await guard(m);
        if (no) return no;
        const cur = copies.get(m.key)?.value ?? none;
        if (ballot.cmp(m.ballot, cur.promised) <= 0) return reject(cur.promised);
        const next = { ...cur, promised: m.ballot, touched: lens.clock.wall() };
        await records.write(m.key, next);
        // The group may have moved on while the disk was busy.
        if (group!.mark > m.group.mark) return { ok: false, why: 'group', group: group! };
        c.prepares += 1;
        return { ok: true, copy: next, wall: lens.clock.wall() };
      }),
    );
    pipe.on<AcceptAsk>(
      'reg.accept',
      shape.has({ ...base, ballot: shape.ballot, held: isHeld, next: shape.maybe(shape.ballot) }),
      (m) =>
        short(m.key, async (): Promise<Reply> => {
          const no = await guard(m);
          if (no) return no;
          const cur = copies.get(m.key)?.value ?? none;
          if (ballot.cmp(m.ballot, cur.promised) < 0) return reject(cur.promised);
          invariant.hold(ballot.cmp(m.ballot, cur.accepted) >= 0, `register ${m.key} accepted a lower ballot`);
          const next: Copy = {
            promised: m.next ? ballot.max(m.next, m.ballot) : m.ballot,
            accepted: m.ballot,
            held: m.held,
            touched: lens.clock.wall(),
          };
          await records.write(m.key, next);
          if (group!.mark > m.group.mark) return { ok: false, why: 'group', group: group! };
          c.accepts += 1;
          return { ok: true, copy: next, wall: lens.clock.wall() };
        }),
    );
    pipe.on<Base>('reg.read', shape.has(base), async (m): Promise<Reply> => {
      const no = await guard(m);
      if (no) return no;
      return { ok: true, copy: copies.get(m.key)?.value ?? none, wall: lens.clock.wall() };
    });
    /** A copy already agreed on by a majority, brought to a keeper that has an older one. */
    pipe.on<Base & { ballot: Ballot; held: Held | null }>(
      'reg.mend',
      shape.has({ ...base, ballot: shape.ballot, held: isHeld }),
      (m) =>
        short(m.key, async (): Promise<Reply> => {
          const no = await guard(m);
          if (no) return no;
          const cur = copies.get(m.key)?.value ?? none;
          if (ballot.cmp(m.ballot, cur.accepted) <= 0) return { ok: true, copy: cur, wall: lens.clock.wall() };
          const next: Copy = {
            promised: ballot.max(cur.promised, m.ballot),
            accepted: m.ballot,
            held: m.held,
            touched: lens.clock.wall(),
          };
          await records.write(m.key, next);
          c.mended += 1;
          return { ok: true, copy: next, wall: lens.clock.wall() };
        }),
    );
    /** The first keys after one over all ranges, a few ranges at a time: others get their turn in between. */
    const everywhere = async (after: string, limit: number): Promise<string[]> => {
      let first: string[] = [];
      for (let r = 0; r < ranges; r++) {
        first = [...first, ...copies.keys(r, after, limit)].sort().slice(0, limit + 1);
        if (r % 8 === 7) await time.sleep(lens.clock, 0);
      }
      return first;
    };
    /** A page of keys in order, for the sweep. Learning the group first is what fences older marks (§6.5). */
    pipe.on<{ to: string; group: Group }>(
      'reg.digest',
      shape.has({ to: shape.text, group: isGroup }),
      async (m): Promise<DigestResult> => {
        if (await guard({ ...m, key: '' })) return { ok: false, group: group ?? null };
        const wall = lens.clock.wall();
        const each = Array.from({ length: ranges }, (_, r) => r);
        const digests = each.map((r) => copies.digest(r));
        const due: boolean[] = [];
        for (const r of each) {
          due.push(copies.due(r, wall - grace));
          if (r % 8 === 7) await time.sleep(lens.clock, 0);
        }
        return { ok: true, digests, due, wall };
      },
    );
    pipe.on<{ to: string; group: Group; after: string; limit: number; range?: number }>(
      'reg.list',
      shape.has({ to: shape.text, group: isGroup, after: shape.text, limit: shape.whole }),
      async (m): Promise<ListResult> => {
        if (await guard({ ...m, key: '' })) return { ok: false, group: group ?? null };
        const keys =
          m.range === undefined ? await everywhere(m.after, m.limit) : copies.keys(m.range, m.after, m.limit);
        const page = keys.slice(0, m.limit);
        return {
          ok: true,
          wall: lens.clock.wall(),
          next: keys.length > m.limit ? page[page.length - 1]! : null,
          keys: page.flatMap((key) => {
            const slot = copies.get(key);
            if (!slot) return [];
            const { accepted, held, touched } = slot.value;
            return [{ key, accepted, until: held?.until ?? 0, touched }];
          }),
        };
      },
    );
    pipe.on<Base & { ballot: Ballot; wall: Us }>(
      'reg.purge',
      shape.has({ ...base, ballot: shape.ballot, wall: shape.num }),
      (m) =>
        short(m.key, async () => {
          const cur = copies.get(m.key)?.value;
          if (m.to !== id || !cur || ballot.cmp(cur.accepted, m.ballot) !== 0) return { ok: false };
          // Forgetting a promise is only safe once nothing that relied on it can still be on its way.
          if (neededUntil(cur) + grace > Math.min(m.wall, lens.clock.wall())) return { ok: false };
          await records.remove(m.key);
          c.purged += 1;
          return { ok: true };
        }),
    );
    const counts: Store['counts'] = () => {
      const { batches, records: batched, merges, files, bytes } = records.counts();
      return { ...c, longest: copies.longest(), batches, batched, merges, files, disk_bytes: bytes };
    };
    return { id, group: () => group, learn, size: copies.size, counts };
  },
};
