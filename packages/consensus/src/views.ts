// Ordered views (§3.3). Every version carries the whole (small) state: the head of a view sends version n+1,
// each member syncs it, a majority makes it done. A view change stops the members, trims what was not
// done by any majority, and goes on from the newest version that could have been.
import { createMachine, interpret, state as st, transition } from 'robot3';
import { fault, invariant, lock, place, time, us, type Lens, type Place, type Us } from '@thornsail/runtime';
import { logbook, type Logbook } from '@thornsail/durable-files';
import { shape, type Pipe } from '@thornsail/rpc';

export type Member = { id: string; at: Place };
export type Marked<S> = { view: number; seq: number; members: Member[]; state: S };
export type Change<S, R> = (s: S, members: Member[]) => { state: S; members?: Member[]; result: R };
export type Standing = 'unformed' | 'follow' | 'stop' | 'lead';
export type Views<S> = {
  id: string;
  standing: () => Standing;
  /** The newest version known to be done. */
  done: () => Marked<S> | undefined;
  head: () => Place | undefined;
  /** True while this head has been confirmed by a majority lately. */
  led: () => boolean;
  /** Resolves once synced on a majority. An error with code 'moved' was not taken; 'unknown' may have been. */
  propose: <R>(fn: Change<S, R>) => Promise<{ seq: number; result: R }>;
  /** The agreed state, confirmed by a majority at the time of asking. */
  agreed: () => Promise<Marked<S>>;
  close: () => void;
};
export type ViewTimes = { beat: Us; silent: Us; spread: Us };
const times: ViewTimes = { beat: us.ms(100), silent: us.ms(600), spread: us.ms(600) };

type Ack = { ok: boolean; view: number; seq: number };
type Stopped<S> = { ok: boolean; view: number; accepted?: Marked<S> };
type Job<S> = { fn: Change<S, unknown>; done: (r: { seq: number; result: unknown }) => void; fail: (e: Error) => void };

const isMembers = shape.list(shape.has({ id: shape.text, at: place.ok }));
/** A version by its marks; what its state must be is for its owner to say. */
export const isMarked = shape.has({ view: shape.whole, seq: shape.whole, members: isMembers, state: shape.any });

const standingMachine = createMachine({
  unformed: st(transition('formed', 'follow')),
  follow: st(transition('silent', 'stop')),
  stop: st(transition('won', 'lead'), transition('lost', 'follow')),
  lead: st(transition('lost', 'follow')),
});

const newer = <S>(a: Marked<S>, b: Marked<S>): boolean => a.view > b.view || (a.view === b.view && a.seq > b.seq);
const majority = (n: number): number => Math.floor(n / 2) + 1;
/** What has come in as soon as it is enough, else all that comes. */
const gather = <T>(asked: Promise<T | undefined>[], enough: (got: T[]) => boolean): Promise<T[]> =>
  new Promise((fin) => {
    const got: T[] = [];
    let left = asked.length;
    const check = (): void => {
      if (left === 0 || enough(got)) fin([...got]);
    };
    check();
    for (const a of asked)
      void a.then((r) => {
        left -= 1;
        if (r !== undefined) got.push(r);
        check();
      });
  });

export const views = {
  open: async <S>(o: {
    lens: Lens;
    pipe: Pipe;
    book: Logbook;
    founders: Place[];
    initial: S;
    onDone: (v: Marked<S>) => void;
    /** Whether something has the shape of the state. */
    sound?: (state: unknown) => boolean;
    times?: Partial<ViewTimes>;
  }): Promise<Views<S>> => {
    const { lens, pipe, book } = o;
    const { clock, rand } = lens;
    const T = { ...times, ...o.times };
    const log = lens.log('tower');
    const short = lock.one();
    const machine = interpret(standingMachine, () => log(`standing is ${standing()}.`));
    const standing = (): Standing => machine.machine.current as Standing;

    await logbook.sound(book, log);
    const identity = await book.read<{ id: string }>('identity');
    const id = identity?.value.id ?? `tower-${rand.id()}`;
    if (!identity) await book.write('identity', 1, { id });

    let promised = (await book.read<{ view: number }>('promise'))?.value.view ?? 0;
    const kept = await book.read<Marked<S>>('state');
    let accepted: Marked<S> | undefined = kept?.value;
    let fileMark = kept?.mark ?? 0;
    if (accepted) {
      promised = Math.max(promised, accepted.view);
      machine.send('formed');
    }
    let done: Marked<S> | undefined;
    let head: Place | undefined;
    // A head that lives is heard within a beat or two: one that just started need not wait out the whole silence.
    let heardAt = clock.now() - T.silent + T.beat * 1.5;
    /** A member from an earlier life, and nothing heard in this one: no head, and nobody who wants to be one. */
    let fresh = accepted !== undefined;
    let closed = false;

    const step = (ev: 'formed' | 'silent' | 'won' | 'lost'): void => machine.send(ev);
    const deliver = (v: Marked<S>): void => {
      if (done && v.seq <= done.seq) {
        invariant.hold(v.seq < done.seq || v.view >= done.view, `version ${v.seq} done twice with different views`);
        return;
      }
      done = v;
      o.onDone(v);
    };
    const promise = async (view: number): Promise<void> => {
      if (view <= promised) return;
      await book.write('promise', view, { view });
      promised = view;
    };
    const accept = async (v: Marked<S>): Promise<void> => {
      invariant.hold(v.view >= promised, `accepted view ${v.view} below promise ${promised}`);
      invariant.hold(
        !accepted || newer(v, accepted),
        `accepted ${v.view}.${v.seq} over ${accepted?.view}.${accepted?.seq}`,
      );
      await book.write('state', ++fileMark, v);
      promised = Math.max(promised, v.view);
      accepted = v;
      if (standing() === 'unformed') step('formed');
    };
    /** A step that writes; false if the disk had no room for it, and then nothing has changed (§6.1). */
    const unlessFull = (fn: () => Promise<boolean>): Promise<boolean> =>
      short(fn).catch((e) => {
        if (!['full', 'failed'].includes(fault.info(e).code ?? '')) throw e;
        log(`nothing was written: ${fault.text(e)}.`);
        return false;
      });
    const follow = (view: number, from: Place): void => {
      if (view < promised) return;
      head = from;
      heardAt = clock.now();
      fresh = false;
      if (standing() === 'lead' && from !== pipe.at) loseLead('a newer view');
      if (standing() === 'stop' && from !== pipe.at) step('lost');
    };

    const isSound = (u: unknown): boolean => isMarked(u) && (o.sound?.((u as Marked<unknown>).state) ?? true);
    // --- member side
    /** The newest version that a leader has sent here, whether it has been written yet or not. */
    let offered: Marked<S> | undefined;
    pipe.on<{ to: string; v: Marked<S>; doneSeq: number }>(
      'view.order',
      shape.has({ to: shape.text, v: isSound, doneSeq: shape.whole }),
      ({ to, v, doneSeq }, from) => {
        if (to === id && (!offered || newer(v, offered))) offered = v;
        return short(async (): Promise<Ack> => {
          if (to !== id || v.view < promised) return { ok: false, view: promised, seq: accepted?.seq ?? -1 };
          follow(v.view, from);
          if (accepted && accepted.view === v.view && accepted.seq === doneSeq) deliver(accepted);
          // A newer one waits behind it: on a slow disk all that came meanwhile would have to be written in turn.
          if (offered && newer(offered, v)) return { ok: false, view: promised, seq: accepted?.seq ?? -1 };
          if (!accepted || newer(v, accepted)) await accept(v);
          return { ok: true, view: promised, seq: accepted!.seq };
        });
      },
    );
    pipe.on<{ to: string; view: number; doneSeq: number }>(
      'view.beat',
      shape.has({ to: shape.text, view: shape.whole, doneSeq: shape.whole }),
      ({ to, view, doneSeq }, from) =>
        short(async (): Promise<Ack> => {
          const acc = accepted;
          if (to !== id || view < promised || !acc)
            return { ok: false, view: promised, seq: acc?.view === view ? acc.seq : -1 };
          await promise(view);
          follow(view, from);
          if (acc.view === view && acc.seq === doneSeq) deliver(acc);
          return { ok: true, view: promised, seq: acc.view === view ? acc.seq : -1 };
        }),
    );
    pipe.on<{ view: number }>('view.canvass', shape.has({ view: shape.whole }), ({ view }) => ({
      ok: standing() !== 'unformed' && view > promised && standing() !== 'lead' && clock.now() - heardAt >= T.silent,
      view: promised,
      unformed: standing() === 'unformed',
    }));
    pipe.on<{ to: string; view: number }>(
      'view.stop',
      shape.has({ to: shape.text, view: shape.whole }),
      ({ to, view }) =>
        short(async (): Promise<Stopped<S>> => {
          if (to !== id || view <= promised || !accepted) return { ok: false, view: promised };
          await promise(view);
          if (standing() === 'lead') loseLead('stopped by a sibling');
          head = undefined;
          heardAt = clock.now();
          fresh = false;
          return { ok: true, view, accepted };
        }),
    );
    pipe.on<{ members: Member[] }>('view.form', shape.has({ members: isMembers }), ({ members }) =>
      short(async () => {
        if (accepted || !members.some((m) => m.id === id)) return { ok: false };
        await accept({ view: 0, seq: 0, members, state: o.initial });
        heardAt = clock.now();
        log('formed with the other founders.');
        return { ok: true };
      }),
    );
    pipe.on('view.found', shape.any, () => ({ id, formed: accepted !== undefined }));

    // --- head side
    let buffer: Job<S>[] = [];
    let busy = false;
    let lastMajority = clock.now();
    const loseLead = (why: string): void => {
      if (standing() !== 'lead') return;
      log(`gave up the head's place: ${why}.`);
      step('lost');
      heardAt = clock.now();
      const left = buffer;
      buffer = [];
      for (const j of left) j.fail(fault.make({ step: 'view.propose', code: 'moved' }, 'not the head any more'));
    };
    const others = (v: Marked<S>): Member[] => v.members.filter((m) => m.id !== id);
    const count = (v: Marked<S>, ids: Set<string>): boolean =>
      v.members.filter((m) => ids.has(m.id)).length >= majority(v.members.length);

    /** One round of orders until a majority holds v; false when the lead is lost. */
    const spread = async (v: Marked<S>): Promise<boolean> => {
      const view = v.view;
      const got = new Set<string>([id]);
      const begun = clock.now();
      while (!closed && standing() === 'lead' && promised === view) {
        if (count(v, got)) return true;
        if (clock.now() - begun > us.ms(1500)) {
          loseLead('no majority');
          return false;
        }
        await new Promise<void>((fin) => {
          let left = 0;
          const missing = others(v).filter((m) => !got.has(m.id));
          if (missing.length === 0) {
            void clock.tick(us.ms(20), fin);
            return;
          }
          for (const m of missing) {
            left += 1;
            void pipe
              .ask<Ack>(m.at, 'view.order', { to: m.id, v, doneSeq: done?.seq ?? -1 }, us.ms(300))
              .then(
                (a) => {
                  if (a.ok && a.seq >= v.seq) got.add(m.id);
                  else if (a.view > view) loseLead(`a sibling has promised view ${a.view}`);
                },
                () => undefined,
              )
              .then(() => {
                left -= 1;
                if (left === 0 || count(v, got)) fin();
              });
          }
        });
        if (!count(v, got)) await time.sleep(clock, us.ms(20));
      }
      return false;
    };
    const pump = async (): Promise<void> => {
      if (busy) return;
      busy = true;
      try {
        while (buffer.length && standing() === 'lead' && accepted) {
          const jobs = buffer;
          buffer = [];
          let cur: Marked<S> = { ...accepted, view: promised, seq: accepted.seq + 1 };
          const results: (() => void)[] = [];
          for (const [i, j] of jobs.entries()) {
            try {
              const r = j.fn(cur.state, cur.members);
              if (r.members) {
                const was = new Set(accepted.members.map((m) => m.id));
                const now = new Set(r.members.map((m) => m.id));
                const diff = [...was].filter((x) => !now.has(x)).length + [...now].filter((x) => !was.has(x)).length;
                invariant.hold(diff <= 1, 'a change of members takes one at a time');
              }
              cur = { ...cur, state: r.state, members: r.members ?? cur.members };
              const seq = cur.seq;
              results.push(() => j.done({ seq, result: r.result }));
              if (r.members) {
                buffer = [...jobs.slice(i + 1), ...buffer];
                jobs.length = i + 1;
                break;
              }
            } catch (e) {
              j.fail(e as Error);
              results.push(() => undefined);
            }
          }
          const ok = await unlessFull(async () => {
            if (standing() !== 'lead' || promised !== cur.view) return false;
            await accept(cur);
            return true;
          });
          // Nothing has gone out yet; another member may have room.
          if (!ok && standing() === 'lead') loseLead('its state could not be written');
          if (!ok) {
            for (const j of jobs) j.fail(fault.make({ step: 'view.propose', code: 'moved' }, 'not the head any more'));
            continue;
          }
          if (await spread(cur)) {
            lastMajority = clock.now();
            deliver(cur);
            for (const r of results) r();
            void beat();
            if (!cur.members.some((m) => m.id === id)) loseLead('no longer a member');
          } else {
            for (const j of jobs) j.fail(fault.make({ step: 'view.propose', code: 'unknown' }, 'outcome unknown'));
          }
        }
      } finally {
        busy = false;
      }
    };
    const lagging = new Set<string>();
    /** Sends the newest done version to a member that lacks it. */
    const catchUp = (m: Member): void => {
      const cur = accepted;
      if (!cur || done !== cur || lagging.has(m.id)) return;
      lagging.add(m.id);
      void pipe
        .ask<Ack>(m.at, 'view.order', { to: m.id, v: cur, doneSeq: -1 }, us.ms(500))
        .catch(() => undefined)
        .then(() => lagging.delete(m.id));
    };
    /** True when a majority has confirmed this head just now. */
    const beat = async (): Promise<boolean> => {
      const v = accepted;
      if (!v || standing() !== 'lead') return false;
      const view = promised;
      const ids = new Set<string>([id]);
      return new Promise((fin) => {
        const all = others(v);
        let left = all.length;
        const check = (): void => {
          if (count(v, ids) && standing() === 'lead' && promised === view) {
            lastMajority = clock.now();
            fin(true);
          } else if (left === 0) fin(false);
        };
        check();
        for (const m of all) {
          void pipe
            .ask<Ack>(m.at, 'view.beat', { to: m.id, view, doneSeq: done?.seq ?? -1 }, us.ms(300))
            .then(
              (a) => {
                if (a.ok) {
                  ids.add(m.id);
                  if (accepted && a.seq < accepted.seq) catchUp(m);
                } else if (a.view > view) loseLead(`a sibling has promised view ${a.view}`);
                else if (a.seq === -1) catchUp(m);
              },
              () => undefined,
            )
            .then(() => {
              left -= 1;
              check();
            });
        }
      });
    };

    /**
     * A newcomer's state comes with the order that adds it. If its head was lost before that arrived, it can have no
     * say, and its vote may be needed: whoever accepted the order passes it on, as its head would have.
     */
    const bringUp = (v: Marked<S>, to: string): void => {
      const m = v.members.find((x) => x.id === to);
      if (m) void pipe.ask<Ack>(m.at, 'view.order', { to, v, doneSeq: -1 }, us.ms(300)).catch(() => undefined);
    };
    /** Stop, trim, go on. */
    const takeOver = async (): Promise<void> => {
      const mine = accepted;
      if (!mine || standing() !== 'follow' || !mine.members.some((m) => m.id === id)) return;
      const yesOf = (got: { id: string; ok: boolean }[]): Set<string> =>
        new Set([id, ...got.filter((r) => r.ok).map((r) => r.id)]);
      const canvass = await gather(
        others(mine).map((m) =>
          pipe
            .ask<{ ok: boolean; view: number; unformed?: boolean }>(
              m.at,
              'view.canvass',
              { view: promised + 1 },
              us.ms(200),
            )
            .then(
              (r) => {
                if (r.unformed) bringUp(mine, m.id);
                return { ...r, id: m.id };
              },
              () => undefined,
            ),
        ),
        (got) => count(mine, yesOf(got)),
      );
      const top = Math.max(promised, ...canvass.map((r) => r.view));
      if (!count(mine, yesOf(canvass))) {
        // A sibling that promised a higher view without a head makes us catch up, or no one ever could.
        if (top > promised) await short(() => promise(top));
        return;
      }
      if (clock.now() - heardAt < T.silent || standing() !== 'follow') return;
      const view = top + 1;
      step('silent');
      const ok = await unlessFull(async () => {
        if (standing() !== 'stop' || view <= promised) return false;
        await promise(view);
        return true;
      });
      if (!ok) {
        if (standing() === 'stop') step('lost');
        return;
      }
      head = undefined;
      const held = accepted;
      const newest = (got: { r: Stopped<S> }[]): Marked<S> =>
        got.reduce<Marked<S>>((a, { r }) => (r.ok && r.accepted && newer(r.accepted, a) ? r.accepted : a), held!);
      const idsOf = (got: { r: Stopped<S>; id: string }[]): Set<string> =>
        new Set([id, ...got.filter(({ r }) => r.ok && r.accepted).map((x) => x.id)]);
      // A majority is enough: one that is gone is not waited for.
      const stopped = await gather(
        others(mine).map((m) =>
          pipe.ask<Stopped<S>>(m.at, 'view.stop', { to: m.id, view }, us.ms(400)).then(
            (r) => ({ r, id: m.id }),
            () => undefined,
          ),
        ),
        (got) => count(mine, idsOf(got)) && count(newest(got), idsOf(got)),
      );
      if (standing() !== 'stop' || promised !== view || !accepted) {
        if (standing() === 'stop') step('lost');
        return;
      }
      const ids = idsOf(stopped);
      const best = newest(stopped);
      if (!count(mine, ids) || !count(best, ids) || !best.members.some((m) => m.id === id)) {
        step('lost');
        heardAt = clock.now();
        return;
      }
      const next: Marked<S> = { view, seq: best.seq + 1, members: best.members, state: best.state };
      const go = await unlessFull(async () => {
        if (standing() !== 'stop' || promised !== view) return false;
        await accept(next);
        step('won');
        head = pipe.at;
        return true;
      });
      if (!go) {
        if (standing() === 'stop') step('lost');
        return;
      }
      busy = true;
      lastMajority = clock.now();
      const open = await spread(next);
      busy = false;
      if (open) {
        log(`view ${view} goes on from version ${next.seq}.`);
        deliver(next);
        void beat();
        void pump();
      }
    };

    const found = async (): Promise<void> => {
      if (accepted || o.founders.length === 0) return;
      const seen = await Promise.all(
        o.founders.map((at) =>
          (at === pipe.at
            ? Promise.resolve({ id, formed: false })
            : pipe.ask<{ id: string; formed: boolean }>(at, 'view.found', {}, us.ms(300))
          ).then(
            (r) => ({ ...r, at }),
            () => undefined,
          ),
        ),
      );
      if (accepted || seen.some((s) => !s || s.formed)) return;
      if ([...o.founders].sort()[0] !== pipe.at) return;
      const members = seen.map((s) => ({ id: s!.id, at: s!.at }));
      await Promise.all(
        members.map((m) => pipe.ask(m.at, 'view.form', { members }, us.ms(500)).catch(() => undefined)),
      );
    };

    /**
     * After a start of all nobody was heard, and whoever asks first is not in anyone's way: then the members wait for
     * one another in their order, a beat each, instead of by chance.
     */
    const waitFor = (): Us => {
      const rank = Math.max(0, accepted?.members.findIndex((m) => m.id === id) ?? 0);
      return fresh && clock.now() - heardAt < 2 * T.silent ? T.silent + rank * T.beat : T.silent + rand.int(T.spread);
    };
    let patience = waitFor();
    const stops = [
      time.every(clock, T.beat, async () => {
        if (standing() === 'lead') {
          if (!busy) void beat();
          if (clock.now() - lastMajority > us.ms(1500)) loseLead('no majority heard');
        }
      }),
      time.every(clock, us.ms(50), async () => {
        if (standing() === 'unformed') {
          await found();
          return;
        }
        if (standing() === 'follow' && clock.now() - heardAt > patience) {
          patience = waitFor();
          await takeOver();
        }
      }),
    ];

    return {
      id,
      standing,
      done: () => done,
      led: () => standing() === 'lead' && clock.now() - lastMajority < us.ms(400),
      head: () => (standing() === 'lead' ? pipe.at : head),
      propose: <R>(fn: Change<S, R>) =>
        new Promise<{ seq: number; result: R }>((fin, fail) => {
          if (standing() !== 'lead') {
            fail(fault.make({ step: 'view.propose', code: 'moved' }, 'not the head'));
            return;
          }
          buffer.push({
            fn: fn as Change<S, unknown>,
            done: fin as (r: { seq: number; result: unknown }) => void,
            fail,
          });
          void pump();
        }),
      agreed: async () => {
        if (standing() !== 'lead') throw fault.make({ step: 'view.read', code: 'moved' }, 'not the head');
        const v = done;
        if (v && v.view === promised && (await beat())) return v;
        throw fault.make({ step: 'view.read', code: 'unknown' }, 'no majority confirms this head');
      },
      close: () => {
        closed = true;
        for (const s of stops) s();
        loseLead('closing');
      },
    };
  },
};
