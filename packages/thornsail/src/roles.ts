// The roles (§1.2). Each is given its lens and its checked options, and runs as well in fog as on a machine.
import { workersOf, fairway, type Drain, type EdgeLoad, type Fairway } from '@thornsail/data-plane';
import type { FrontOptions, KeeperOptions, PilotOptions, TowerOptions } from '@thornsail/config-schema';
import { harbour, type PlatformWorker } from '@thornsail/service-catalog';
import { registers, store, type Registers } from '@thornsail/register-store';
import { fault, invariant, time, us, type HttpHandler, type Lens, type Place, type Us } from '@thornsail/runtime';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { logbook } from '@thornsail/durable-files';
import { mooring, type Mooring } from '@thornsail/membership';
import { pipe, type Pipe } from '@thornsail/rpc';
import { control, root, signal, type Control, type NewsResult, type SignalNode } from '@thornsail/admin-api';
import { configuration, core, order, type Ordered, type Marked } from '@thornsail/consensus';
import { watch } from '@thornsail/leases';
import { obeyDrain } from './drain.js';
import { groupOf, sweepDuty } from './sweep-duty.js';

export type Node = {
  id: string;
  role: string;
  http: Place;
  place: Place;
  mooring: Mooring;
  registers: Registers;
  /** What an operator may ask of this node, for interfaces of one's own. */
  control: Control;
  ready: () => { ok: boolean; why: string[] };
  counts: () => Record<string, number>;
  /** Stops taking new work, finishes what runs, and leaves the roster. */
  drain: (o?: Drain) => Promise<void>;
  close: () => Promise<void>;
  /** Calls back if this node must stop: its disk failed, and nothing it says of its state would be safe (§6.1). */
  onFailed: (fn: (why: string) => void) => void;
  fairway?: Fairway;
};
const operatorBody = 1 << 20;
/** Where there are so many coordinators, all vote: a loss right after a loss is borne without any repair (§3.3). */
const usualTowers = 5;

type DiskWatch = { failed: (e: Error) => void; onFailed: Node['onFailed'] };
const diskOf = (lens: Lens): DiskWatch => {
  const log = lens.log('disk');
  let why: string | undefined;
  const told: ((why: string) => void)[] = [];
  return {
    failed: (e) => {
      why = `the disk failed (${fault.text(e)}): this node stops`;
      log(`${why}.`);
      for (const fn of told) fn(why);
    },
    onFailed: (fn) => (why === undefined ? void told.push(fn) : fn(why)),
  };
};
const commonCounts = (p: Pipe, m: Mooring): Record<string, number> => ({
  breaches: invariant.breaches().length,
  frames_sent: p.counts().sent,
  frames_got: p.counts().got,
  suspects: m.lookout.suspects().length,
  freezes: m.freezes(),
  ...Object.fromEntries(Object.entries(m.beam.counts()).map(([k, v]) => [`news_${k}`, v])),
});
type Parts = Omit<SignalNode, 'drain'> & {
  drain: (o?: Drain) => Promise<void>;
  /** Waits, once the leave is told, until another node has this one's place in its group. */
  replaced?: () => Promise<void>;
  http: Place;
  stop: () => void;
  onFailed?: Node['onFailed'];
  callers?: HttpHandler;
  fairway?: Fairway;
  maxBody?: number;
};

/** How long a member of a group that ends in order waits for a spare to take its place (§3.3, §6.5). */
const replacedWithin = us.ms(2500);
const replacedEvery = us.ms(50);
/** Resolves once this node is no member any more, at once if no spare could replace it. */
const untilReplaced = async (
  lens: Lens,
  m: Mooring,
  role: 'tower' | 'keeper',
  members: () => { id: string }[],
): Promise<void> => {
  const end = lens.clock.now() + replacedWithin;
  const isMember = (id: string): boolean => members().some((x) => x.id === id);
  const hasSpare = (): boolean => {
    const s = m.state();
    return s !== undefined && order.live(s, role).some((n) => n.standing === 'live' && !isMember(n.id));
  };
  while (isMember(m.id) && hasSpare() && lens.clock.now() < end) await time.sleep(lens.clock, replacedEvery);
};

/** What all roles share: the operators' HTTP, draining by a sibling's word, closing in order. */
const serve = async (x: Parts): Promise<Node> => {
  let draining: Promise<void> | undefined;
  const drain = (o?: Drain): Promise<void> =>
    (draining ??= (async () => {
      // Nothing new is taken from now on, even if the core cannot be told.
      const done = x.drain(o);
      await x.mooring.leave();
      await done;
      await x.replaced?.();
    })());
  const ops = signal.handler({ ...x, drain: () => drain() });
  const own = x.callers;
  const http = await x.lens.net.serve(
    x.http,
    (ask, say) =>
      own && !ask.path.startsWith(`${root}/`) && ask.path !== '/ready' && ask.path !== '/metrics'
        ? own(ask, say)
        : ops(ask, say),
    x.maxBody ?? operatorBody,
  );
  obeyDrain(x.pipe, x.mooring.id, drain);
  return {
    id: x.mooring.id,
    role: x.role,
    http: http.at,
    place: x.pipe.at,
    mooring: x.mooring,
    registers: x.registers,
    control: control.open({ lens: x.lens, mooring: x.mooring }),
    ready: x.ready,
    counts: x.counts,
    drain,
    onFailed: x.onFailed ?? ((): void => undefined),
    ...(x.fairway ? { fairway: x.fairway } : {}),
    close: async () => {
      x.stop();
      x.mooring.close();
      await Promise.all([http.close(), x.pipe.close()]);
    },
  };
};

export type ReadWorkers = (known: (id: string) => WorkerEntry | undefined) => Promise<PlatformWorker[]>;
/**
 * One pilot's reading of the list serves all: the first of those that live reads it when the newest list is old enough,
 * the next ones only if nothing came for a while longer (§3.8). Nobody has to be elected, and nobody's loss is felt.
 */
const listDue = (m: Mooring, now: Us): boolean => {
  const read = [...m.beam.all('workers/'), ...m.beam.all('read/')];
  const newest = Math.max(-Infinity, ...read.map((x) => x.item.at));
  const s = m.state();
  const pilots = s ? order.live(s, 'pilot').map((n) => n.id) : [];
  const rank = Math.max(0, pilots.indexOf(m.id));
  return now - newest >= us.ms(850) + rank * us.ms(200);
};

export const roles = {
  tower: async (lens: Lens, o: TowerOptions): Promise<Node> => {
    const p = await pipe.open(lens, o.place);
    const disk = diskOf(lens);
    const book = await logbook.open(lens.disk, disk.failed);
    const voter = watch.voter({ lens, pipe: p });
    const here: { moor?: Mooring } = {};
    const give = (v: Marked<Ordered>): void =>
      here.moor?.beam.put('order', v.seq, { ...v, state: configuration.forNodes(v.state) });
    let last: Marked<Ordered> | undefined;
    const c = await core.open({
      lens,
      pipe: p,
      book,
      founders: o.founders,
      onDone: (v) => {
        last = v;
        give(v);
      },
      uses: (id) => {
        const used = here.moor?.beam.get(`uses/${id}`);
        if (used) return used.mark;
        const l = here.moor?.beam.get(`load/${id}`)?.value as Partial<EdgeLoad> | undefined;
        // A front of the release before does not say; it is taken at its word that news reaches it.
        return l === undefined ? -1 : (l.uses ?? Infinity);
      },
      onLead: (mark) => here.moor?.beam.put('core', mark, {}),
      times: {
        keepers: 2 * o.tolerates + 1,
        towers: Math.max(usualTowers, 2 * o.tolerates + 1),
        leastKeepers: o.leastKeepers,
      },
      news: (): NewsResult => ({
        workers: here.moor ? workersOf(here.moor.beam, lens.clock.now()) : [],
        loads: Object.fromEntries((here.moor?.beam.all('load/') ?? []).map((x) => [x.name.slice(5), x.item.value])),
        duties: Object.fromEntries(Object.entries(voter.grants()).map(([k, g]) => [k, { by: g.by, mark: g.mark }])),
      }),
    });
    const m = mooring.open({
      lens,
      pipe: p,
      id: c.views.id,
      name: o.name,
      role: 'tower',
      http: o.http,
      zone: o.zone,
      seeds: o.seeds,
      beat: us.ms(o.beatMs),
      towers: o.founders,
    });
    here.moor = m;
    if (last) give(last);
    const regs = registers.open({ lens, pipe: p, by: `${m.id}.${lens.rand.id()}`, group: () => groupOf(m) });
    return serve({
      lens,
      pipe: p,
      mooring: m,
      registers: regs,
      role: 'tower',
      name: o.name,
      http: o.http,
      ready: () => {
        const s = c.views.standing();
        return {
          ok: s === 'lead' || (s === 'follow' && c.views.head() !== undefined),
          why: s === 'unformed' ? ['not in a view'] : c.views.head() === undefined ? ['no head'] : [],
        };
      },
      counts: () => ({
        ...commonCounts(p, m),
        view: c.views.done()?.view ?? 0,
        version: c.views.done()?.seq ?? 0,
        leads: c.views.standing() === 'lead' ? 1 : 0,
        syncs: book.counts().syncs,
        torn: book.counts().torn,
      }),
      drain: async () => undefined,
      replaced: () => untilReplaced(lens, m, 'tower', () => m.marked()?.members ?? []),
      stop: () => c.close(),
      onFailed: disk.onFailed,
    });
  },

  keeper: async (lens: Lens, o: KeeperOptions): Promise<Node> => {
    const p = await pipe.open(lens, o.place);
    const disk = diskOf(lens);
    const book = await logbook.open(lens.disk, disk.failed);
    const s = await store.open({ lens, pipe: p, book });
    const m = mooring.open({
      lens,
      pipe: p,
      id: s.id,
      name: o.name,
      role: 'keeper',
      http: o.http,
      zone: o.zone,
      seeds: o.seeds,
      beat: us.ms(o.beatMs),
    });
    const regs = registers.open({ lens, pipe: p, by: `${s.id}.${lens.rand.id()}`, group: () => groupOf(m) });
    const counts: Record<string, number> = {};
    m.onState(() => {
      const g = groupOf(m);
      if (g) void s.learn(g);
    });
    const stopSweep = sweepDuty({
      lens,
      pipe: p,
      mooring: m,
      registers: regs,
      id: s.id,
      voters: () => m.marked()?.members.map((x) => x.at) ?? [],
      counts,
    });
    return serve({
      lens,
      pipe: p,
      mooring: m,
      registers: regs,
      role: 'keeper',
      name: o.name,
      http: o.http,
      ready: () => {
        const g = groupOf(m);
        const why = [
          ...(g ? [] : ['no keeper group']),
          ...(g && !g.members.some((k) => k.id === s.id) ? ['not a member'] : []),
        ];
        return { ok: why.length === 0, why };
      },
      counts: () => ({
        ...commonCounts(p, m),
        ...s.counts(),
        ...counts,
        records: s.size(),
        group_mark: s.group()?.mark ?? 0,
        syncs: book.counts().syncs,
        torn: book.counts().torn,
      }),
      drain: async () => undefined,
      replaced: () => untilReplaced(lens, m, 'keeper', () => m.state()?.keepers.members ?? []),
      stop: stopSweep,
      onFailed: disk.onFailed,
    });
  },

  /**
   * `read` brings the list of workers in a format of one's own; it is told what is known of a worker already, so that
   * nobody is asked twice.
   */
  pilot: async (lens: Lens, o: PilotOptions, extra: { read?: ReadWorkers } = {}): Promise<Node> => {
    const p = await pipe.open(lens, o.place);
    const id = `pilot-${lens.rand.id()}`;
    const m = mooring.open({
      lens,
      pipe: p,
      id,
      name: o.name,
      role: 'pilot',
      http: o.http,
      zone: o.zone,
      seeds: o.seeds,
      beat: us.ms(o.beatMs),
    });
    const regs = registers.open({ lens, pipe: p, by: id, group: () => groupOf(m) });
    let mark = 0;
    let last = '';
    let lastPut = 0;
    const known = (worker: string): WorkerEntry | undefined =>
      workersOf(m.beam, lens.clock.now()).find((w) => w.id === worker);
    const { read } = extra;
    const h = harbour.open({
      lens,
      platform: o.platform,
      ...(read ? { read: () => read(known), due: () => listDue(m, lens.clock.now()), every: us.ms(100) } : {}),
      onList: (list) => {
        const text = JSON.stringify(list);
        const now = lens.clock.now();
        // An unchanged list is not sent again; that it was read is.
        if (text === last && now - lastPut < us.s(1.5)) return read ? m.beam.put(`read/${id}`, ++mark, {}) : undefined;
        last = text;
        lastPut = now;
        m.beam.put(`workers/${id}`, ++mark, { list });
      },
    });
    let leaving = false;
    return serve({
      lens,
      pipe: p,
      mooring: m,
      registers: regs,
      role: 'pilot',
      name: o.name,
      http: o.http,
      ready: () => {
        const why = [
          ...(leaving ? ['leaving'] : []),
          ...(m.state() ? [] : ['no agreed state']),
          ...(h.okAt() === undefined ? ['no list of workers'] : []),
        ];
        return { ok: why.length === 0, why };
      },
      counts: () => ({ ...commonCounts(p, m), workers: workersOf(m.beam, lens.clock.now()).length }),
      drain: async () => {
        leaving = true;
      },
      stop: () => h.close(),
    });
  },

  front: async (lens: Lens, o: FrontOptions, extra: { plain?: boolean } = {}): Promise<Node> => {
    const p = await pipe.open(lens, o.place);
    const id = `front-${lens.rand.id()}`;
    const m = mooring.open({
      lens,
      pipe: p,
      id,
      name: o.name,
      role: 'front',
      http: o.http,
      zone: o.zone,
      seeds: o.seeds,
      beat: us.ms(o.beatMs),
      beside: o.pilot,
    });
    const f = fairway.open({
      lens,
      pipe: p,
      mooring: m,
      zone: o.zone,
      ...extra,
    });
    return serve({
      lens,
      pipe: p,
      mooring: m,
      registers: f.registers,
      role: 'front',
      name: o.name,
      http: o.http,
      ready: f.ready,
      counts: () => ({ ...commonCounts(p, m), ...f.counts() }),
      drain: (o) => f.drain(o),
      stop: () => f.close(),
      callers: f.handle,
      fairway: f,
      maxBody: 8 << 20,
    });
  },
};
