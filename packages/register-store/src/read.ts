// Reads (§6.2): the value comes from the nearest store, from the others only its ballot; a majority with the same
// ballot is enough, else the value is settled by a ballot.
import { duration, type Microseconds } from '@thornsail/runtime';
import { majority, patience, type Good } from './members.js';
import { ballot, keptUntil, type Ballot, type Group, type Keep, type Seen } from './messages.js';
import { agreed, askCopies, decided, lacksLast, type Agreed, type Proposer, type ReadMany } from './proposer.js';

const askWithin = duration.ms(400);
const expired = (a: Agreed): boolean => keptUntil(a.until, a.extended) <= a.walls.min;
/** An extension that decides whether the value is there has to be on a majority before anybody is told of it. */
export const hangsOnExtension = (a: Agreed): boolean =>
  a.held !== null && a.until <= a.walls.min && a.extended > a.walls.min;

/** Brings a copy that a majority has to stores that answered with an older one. */
export const mend = (
  x: Proposer,
  g: Group,
  key: string,
  a: Agreed,
  copies: Promise<{ from: Keep; accepted: Ballot }[]>,
): void => {
  if (a.held === undefined) return;
  const body = { key, ballot: a.accepted, held: a.held, ...(a.extended > 0 ? { extended: a.extended } : {}) };
  void copies.then((all) => {
    for (const { from, accepted } of all) {
      if (ballot.cmp(accepted, a.accepted) >= 0) continue;
      x.c.mended += 1;
      x.rpc.request(from.at, 'reg.mend', { to: from.id, group: g, ...body }).catch(() => undefined);
    }
  });
};

/** Asks for the values that the first answers did not bring, each from a member that has the agreed ballot. */
export const fetchValues = async (
  x: Proposer,
  g: Group,
  lacking: { key: string; a: Agreed; from: Keep[] }[],
  left: Microseconds,
): Promise<void> => {
  const order = x.members.near(g, lacking[0]?.key ?? '');
  for (const k of order) {
    const some = lacking.filter((l) => l.a.held === undefined && l.from.includes(k));
    if (some.length === 0) continue;
    x.c.fetched += some.length;
    const keys = some.map((l) => l.key);
    const [asked] = askCopies(x, g, keys, left, { bare: () => false, only: [k] });
    const r = await asked!.reply.catch(() => undefined);
    if (!r?.ok) continue;
    for (const [i, l] of some.entries()) {
      const s = r.copies[i]!;
      if (ballot.same(s.accepted, l.a.accepted)) l.a.held = s.held;
    }
  }
};

/** `settle` gives the value by a ballot, on a majority with the latest end of keeping that was seen. */
export const reader = (
  x: Proposer,
  settle: (key: string, left: Microseconds) => Promise<unknown>,
): ((keys: string[], timeLeft: Microseconds, o?: { once?: boolean }) => Promise<unknown[]>) => {
  const { clock } = x.runtime;
  return async (keys, timeLeft, { once = false } = {}) => {
    x.c.reads += keys.length;
    const end = clock.now() + timeLeft;
    const g = x.members.group();
    const first = keys[0];
    if (first === undefined) return [];
    const need = majority(g.members.length);
    const nearest = x.members.near(g, first)[0];
    const seenOf =
      (i: number) =>
      (y: Good<ReadMany>): Seen =>
        y.reply.copies[i]!;
    const r = await x.members.gather(
      askCopies(x, g, keys, Math.min(timeLeft, askWithin), { bare: (k) => k !== nearest }),
      // A store that is just syncing a change answers with what was before it: the third one decides.
      (ok, failed) =>
        (failed.includes(nearest!) || ok.some((y) => y.from === nearest)) &&
        keys.every((_, i) => once || decided(g, agreed(ok, seenOf(i)))),
      (ok) => (keys.some((_, i) => lacksLast(g, agreed(ok, seenOf(i)))) ? x.members.lastWithin(g) : patience),
    );
    x.members.learn(r.no);
    if (r.ok.length < need) return Promise.all(keys.map((key) => settle(key, end - clock.now())));
    const all = keys.map((key, i) => {
      const a = agreed(r.ok, seenOf(i));
      const from = r.ok.filter((y) => ballot.same(seenOf(i)(y).accepted, a.accepted)).map((y) => y.from);
      const extended = r.ok.filter((y) => (seenOf(i)(y).extended ?? 0) >= a.extended).length;
      return { key, i, a, from, extended };
    });
    // What is written once has one value: whoever shows it is believed, and nobody who has it is in no majority.
    const sure = (a: Agreed): boolean => decided(g, a) || (once && a.held !== null && !expired(a));
    const lacking = all.filter((l) => sure(l.a) && l.a.held === undefined && !expired(l.a));
    await fetchValues(x, g, lacking, Math.min(Math.max(0, end - clock.now()), askWithin));
    const conclude = async ({ key, i, a, extended }: (typeof all)[number]): Promise<unknown> => {
      if (!sure(a)) return settle(key, end - clock.now());
      if (once && a.held && !expired(a)) return a.held.value;
      const copies = r.late.then((l) => l.map((y) => ({ from: y.from, accepted: y.reply.copies[i]!.accepted })));
      mend(x, g, key, a, copies);
      if (a.held === null || expired(a)) return undefined;
      if (a.held === undefined || (hangsOnExtension(a) && extended < need)) return settle(key, end - clock.now());
      return a.held.value;
    };
    return Promise.all(all.map(conclude));
  };
};
