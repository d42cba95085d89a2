// admission scheduler: the ThunderAgent program scheduler (§4), pure: (state, event, now) -> effects.
// The state handed in is consumed and handed back changed; no clock, no random source, no input or output.
import { invariant, duration, type Microseconds } from '@thornsail/runtime';

/** Values of §4.1; times in whole microseconds. */
export type Options = {
  pauseThreshold: number;
  pauseTarget: number;
  resumeHysteresis: number;
  resumeTimeout: Microseconds;
  retention: Microseconds;
  interval: Microseconds;
  actingTokenWeight: number;
  actingHalfLife: Microseconds;
  headroom: number;
  maxTurns: number;
  maxPrograms: number;
  /** Ours: the longest hold that keeps a client from giving up (§4.3). */
  holdLimit: Microseconds;
  /** Ours: also run the resume phase when a turn ends or room appears (§4.3). */
  resumeOnRoom: boolean;
  /** Ours: by which part of its capacity a worker of the edge's zone may be fuller and still be chosen (§4.3). */
  localPreference: number;
};
export type Phase = 'reasoning' | 'acting';
export type Standing = 'active' | 'paused';
export type Program = {
  id: string;
  phase: Phase;
  standing: Standing;
  tokens: number;
  worker: string | null;
  marked: boolean;
  turn: string | null;
  touched: Microseconds;
  actingSince: Microseconds;
  pausedAt: Microseconds;
  /** When it has ended by what its caller said; Infinity if nothing was said. */
  endsAt: Microseconds;
};
export type Held = { turn: string; program: string; since: Microseconds; forceAt: Microseconds };
/** `near`: in the zone of this edge. */
export type Worker = { id: string; capacity: number; eligible: boolean; near?: boolean };
/** What the siblings say: tokens of active programs by worker, how many hold paused ones, the smallest of those. */
export type Sibling = { tokens: Map<string, number>; sharers: number; smallest: number };
export type State = {
  options: Options;
  programs: Map<string, Program>;
  held: Map<string, Held>;
  running: Map<string, string>;
  workers: Map<string, Worker>;
  siblings: Sibling;
  lastTick: Microseconds;
  counts: {
    arrived: number;
    released: number;
    held: number;
    resumed: number;
    forced: number;
    rejected: number;
    paused: number;
    marked: number;
    ended: number;
    expired: number;
    moved: number;
    repacked: number;
  };
};
export type Why = 'ordinary' | 'resumed' | 'forced';
/** `timeLeft` less `expected` bounds a hold by the whole service, `silence` by the client's patience (§4.3). */
export type Event =
  | {
      kind: 'arrive';
      turn: string;
      program: string;
      tokens: number;
      timeLeft: Microseconds;
      expected: Microseconds;
      silence: Microseconds;
      /** Until the program should be over; with no turn in flight it has ended then (§4.3). */
      remaining?: Microseconds;
      known?: { tokens: number; worker: string | null };
    }
  | { kind: 'grow'; program: string; tokens: number }
  | { kind: 'end'; turn: string; tokens: number | null; final: boolean; worker: string | null }
  | { kind: 'gone'; turn: string }
  | { kind: 'due' }
  | { kind: 'moved'; program: string }
  | { kind: 'tick' }
  | { kind: 'workers'; list: Worker[] }
  | { kind: 'siblings'; siblings: Sibling }
  | { kind: 'options'; options: Options };
export type Effect =
  | { kind: 'release'; turn: string; program: string; worker: string | null; why: Why; waited: Microseconds }
  | { kind: 'hold'; turn: string; program: string; why: 'paused' | 'busy'; forceAt: Microseconds }
  | { kind: 'reject'; turn: string; why: 'turns' | 'programs' | 'busy' }
  | { kind: 'paused'; program: string; worker: string | null }
  | { kind: 'marked'; program: string; worker: string | null }
  | { kind: 'resumed'; program: string; worker: string }
  | { kind: 'ended'; program: string; why: 'final' | 'idle' | 'evicted' | 'moved' };

const weight = (s: State, p: Program): number =>
  p.phase === 'acting' ? p.tokens * s.options.actingTokenWeight : p.tokens;
const counts = (p: Program): boolean => p.standing === 'active' && p.worker !== null;

/** Own tokens on each worker: active and retained programs (§4.2). */
export const own = (s: State): Map<string, number> => {
  const m = new Map<string, number>();
  for (const p of s.programs.values()) if (counts(p)) m.set(p.worker!, (m.get(p.worker!) ?? 0) + weight(s, p));
  return m;
};
const utilization = (s: State, w: Worker, mine: Map<string, number>): number =>
  w.capacity <= 0 ? Infinity : ((mine.get(w.id) ?? 0) + (s.siblings.tokens.get(w.id) ?? 0)) / w.capacity;

const eligible = (s: State): Worker[] => [...s.workers.values()].filter((w) => w.eligible);
const pickLeast = (s: State, load: (w: Worker) => number): Worker | undefined => {
  let best: { w: Worker; u: number } | undefined;
  for (const w of eligible(s)) {
    const u = load(w);
    if (best === undefined || u < best.u) best = { w, u };
  }
  return best?.w;
};
const leastUsed = (s: State, mine: Map<string, number>): string | null =>
  pickLeast(s, (w) => utilization(s, w, mine) - (w.near ? s.options.localPreference : 0))?.id ?? null;
const bySize = (a: Program, b: Program): number => a.tokens - b.tokens || (a.id < b.id ? -1 : 1);

const release = (s: State, turn: string, p: Program, why: Why, waited: Microseconds, now: Microseconds): Effect => {
  invariant.hold(p.standing === 'active', `released a turn of a paused program ${p.id}`);
  invariant.hold(p.turn === null, `two turns of ${p.id} at once`);
  p.turn = turn;
  p.phase = 'reasoning';
  p.touched = now;
  if (p.worker === null || !s.workers.get(p.worker)?.eligible) {
    if (p.worker !== null) s.counts.repacked += 1;
    p.worker = leastUsed(s, own(s));
  }
  s.running.set(turn, p.id);
  s.held.delete(turn);
  s.counts.released += 1;
  return { kind: 'release', turn, program: p.id, worker: p.worker, why, waited };
};

const heldOf = (s: State, program: string): Held | undefined => {
  for (const h of s.held.values()) if (h.program === program) return h;
  return undefined;
};
/** Oldest held turn of each program, in one pass. */
const heldByProgram = (s: State): Map<string, Held> => {
  const m = new Map<string, Held>();
  for (const h of s.held.values()) if (!m.has(h.program)) m.set(h.program, h);
  return m;
};

const pauseAt = (s: State, p: Program, now: Microseconds): Effect => {
  invariant.hold(p.turn === null && p.phase === 'acting', `paused ${p.id} with a turn at a worker`);
  p.standing = 'paused';
  p.marked = false;
  p.pausedAt = now;
  s.counts.paused += 1;
  return { kind: 'paused', program: p.id, worker: p.worker };
};

/** Resume: smallest first, best fit under the threshold, headroom for each (§4.2). */
const resume = (s: State, now: Microseconds, except: ReadonlySet<string>): Effect[] => {
  const paused = [...s.programs.values()].filter((p) => p.standing === 'paused' && !except.has(p.id)).sort(bySize);
  if (paused.length === 0) return [];
  const { pauseThreshold, resumeHysteresis, headroom } = s.options;
  const mine = own(s);
  const active = new Map<string, number>();
  for (const p of s.programs.values()) if (counts(p)) active.set(p.worker!, (active.get(p.worker!) ?? 0) + 1);
  const rooms: { id: string; room: number; share: number }[] = [];
  for (const w of eligible(s)) {
    if (utilization(s, w, mine) > pauseThreshold - resumeHysteresis) continue;
    const used = (mine.get(w.id) ?? 0) + (s.siblings.tokens.get(w.id) ?? 0) + (active.get(w.id) ?? 0) * headroom;
    const room = w.capacity * pauseThreshold - used;
    // Smallest first holds over all edges: the edge with the smallest paused program may use all the room.
    // For its larger ones, as for the other edges, it is one share among those that hold paused programs (§4.4).
    rooms.push({ id: w.id, room, share: room / (1 + s.siblings.sharers) });
  }
  const out: Effect[] = [];
  const held = heldByProgram(s);
  for (const p of paused) {
    const need = p.tokens + headroom;
    const first = p.tokens < s.siblings.smallest;
    let best: { id: string; room: number; share: number } | undefined;
    for (const r of rooms)
      if ((first ? r.room : r.share) >= need && (best === undefined || r.room < best.room)) best = r;
    if (!best) break;
    best.room -= need;
    best.share = Math.min(best.share - (first ? 0 : need), best.room);
    p.standing = 'active';
    p.worker = best.id;
    p.touched = now;
    s.counts.resumed += 1;
    out.push({ kind: 'resumed', program: p.id, worker: best.id });
    const h = held.get(p.id);
    if (h && p.turn === null) out.push(release(s, h.turn, p, 'resumed', now - h.since, now));
  }
  return out;
};

/** Pause until safe: smallest ACTING first; with none, mark the smallest REASONING (§4.2). */
const pauseUntilSafe = (s: State, now: Microseconds): Effect[] => {
  const out: Effect[] = [];
  const mine = own(s);
  for (const w of s.workers.values()) {
    if (w.capacity <= 0 || utilization(s, w, mine) < s.options.pauseThreshold) continue;
    const mineHere = mine.get(w.id) ?? 0;
    const all = mineHere + (s.siblings.tokens.get(w.id) ?? 0);
    if (mineHere <= 0) continue;
    let excess = (all - w.capacity * s.options.pauseTarget) * (mineHere / all);
    const here = [...s.programs.values()].filter((p) => counts(p) && p.worker === w.id).sort(bySize);
    const acting = here.filter((p) => p.phase === 'acting' && p.turn === null);
    // A program already marked gives its tokens back at its next boundary.
    for (const p of here) if (p.marked) excess -= weight(s, p);
    for (const p of acting) {
      if (excess <= 0) break;
      excess -= weight(s, p);
      out.push(pauseAt(s, p, now));
    }
    if (excess > 0 && acting.length === 0) {
      const p = here.find((x) => x.phase === 'reasoning' && !x.marked);
      if (p) {
        p.marked = true;
        s.counts.marked += 1;
        out.push({ kind: 'marked', program: p.id, worker: w.id });
      }
    }
  }
  return out;
};

/** Forced release: through, never rejected for want of room; placed with ACTING tokens decayed (§4.2). */
const force = (s: State, now: Microseconds): Effect[] => {
  const out: Effect[] = [];
  let loads: Map<string, number> | undefined;
  for (const h of [...s.held.values()]) {
    if (h.forceAt > now) continue;
    const p = s.programs.get(h.program)!;
    if (p.turn !== null) {
      // Another turn of the program is at a worker: the brief forbids two, so this one is given up at once (§4.3).
      s.held.delete(h.turn);
      s.counts.rejected += 1;
      out.push({ kind: 'reject', turn: h.turn, why: 'busy' });
      continue;
    }
    if (!loads) {
      loads = new Map(s.siblings.tokens);
      for (const q of s.programs.values())
        if (counts(q)) {
          const t =
            q.phase === 'acting' ? q.tokens * 0.5 ** ((now - q.actingSince) / s.options.actingHalfLife) : q.tokens;
          loads.set(q.worker!, (loads.get(q.worker!) ?? 0) + t);
        }
    }
    const now_ = loads;
    const best = pickLeast(s, (w) => (w.capacity > 0 ? ((now_.get(w.id) ?? 0) + p.tokens) / w.capacity : Infinity));
    if (p.standing === 'paused') {
      p.standing = 'active';
      p.worker = best?.id ?? null;
      if (best) loads.set(best.id, (loads.get(best.id) ?? 0) + p.tokens);
    }
    s.counts.forced += 1;
    out.push(release(s, h.turn, p, 'forced', now - h.since, now));
  }
  return out;
};

const expire = (s: State, now: Microseconds): Effect[] => {
  const out: Effect[] = [];
  const held = heldByProgram(s);
  for (const p of s.programs.values()) {
    if (p.turn !== null || held.has(p.id)) continue;
    if (now - p.touched < s.options.retention && now < p.endsAt) continue;
    s.programs.delete(p.id);
    s.counts.expired += 1;
    out.push({ kind: 'ended', program: p.id, why: 'idle' });
  }
  return out;
};

const arrive = (s: State, e: Event & { kind: 'arrive' }, now: Microseconds): Effect[] => {
  s.counts.arrived += 1;
  const out: Effect[] = [];
  const no = (why: 'turns' | 'programs'): Effect[] => {
    s.counts.rejected += 1;
    return [...out, { kind: 'reject', turn: e.turn, why }];
  };
  if (s.held.size + s.running.size >= s.options.maxTurns) return no('turns');
  let p = s.programs.get(e.program);
  if (!p) {
    if (s.programs.size >= s.options.maxPrograms) {
      let idle: Program | undefined;
      const held = heldByProgram(s);
      for (const q of s.programs.values())
        if (q.turn === null && !held.has(q.id) && (!idle || q.touched < idle.touched)) idle = q;
      if (!idle) return no('programs');
      s.programs.delete(idle.id);
      s.counts.ended += 1;
      out.push({ kind: 'ended', program: idle.id, why: 'evicted' });
    }
    p = {
      id: e.program,
      phase: 'acting',
      standing: 'active',
      tokens: e.known?.tokens ?? 0,
      worker: e.known?.worker ?? null,
      marked: false,
      turn: null,
      touched: now,
      actingSince: now,
      pausedAt: 0,
      endsAt: Infinity,
    };
    s.programs.set(p.id, p);
  } else if (e.known && p.turn === null) p.tokens = Math.max(p.tokens, e.known.tokens);
  p.touched = now;
  if (e.remaining !== undefined) p.endsAt = now + e.remaining;
  if (p.turn === null) p.tokens = Math.max(p.tokens, e.tokens);
  const busy = p.turn !== null || heldOf(s, p.id) !== undefined;
  if (p.standing === 'active' && !busy) return [...out, release(s, e.turn, p, 'ordinary', 0, now)];
  const forceAt =
    now + Math.max(0, Math.min(s.options.resumeTimeout, s.options.holdLimit, e.timeLeft - e.expected, e.silence));
  s.held.set(e.turn, { turn: e.turn, program: p.id, since: now, forceAt });
  s.counts.held += 1;
  out.push({ kind: 'hold', turn: e.turn, program: p.id, why: p.standing === 'paused' ? 'paused' : 'busy', forceAt });
  return forceAt <= now ? [...out, ...force(s, now)] : out;
};

const end = (
  s: State,
  turn: string,
  e: { tokens: number | null; final: boolean; worker: string | null },
  now: Microseconds,
): Effect[] => {
  const id = s.running.get(turn);
  if (id === undefined) return [];
  s.running.delete(turn);
  const p = s.programs.get(id)!;
  invariant.hold(p.turn === turn, `turn ${turn} ended while ${p.turn} is the open one of ${id}`);
  p.turn = null;
  p.phase = 'acting';
  p.actingSince = now;
  p.touched = now;
  if (e.tokens !== null) p.tokens = e.tokens;
  if (e.worker !== null) p.worker = e.worker;
  const out: Effect[] = [];
  const justPaused = new Set<string>();
  const next = heldOf(s, id);
  if (e.final && !next) {
    s.programs.delete(id);
    s.counts.ended += 1;
    out.push({ kind: 'ended', program: id, why: 'final' });
  } else if (p.marked) {
    justPaused.add(id);
    out.push(pauseAt(s, p, now));
  } else if (next) out.push(release(s, next.turn, p, 'ordinary', now - next.since, now));
  if (s.options.resumeOnRoom) out.push(...resume(s, now, justPaused));
  return out;
};

export const admissionScheduler = {
  defaults: (): Options => ({
    pauseThreshold: 0.95,
    pauseTarget: 0.8,
    resumeHysteresis: 0.1,
    resumeTimeout: duration.s(1800),
    retention: duration.s(1800),
    interval: duration.s(5),
    actingTokenWeight: 1,
    actingHalfLife: duration.s(1),
    headroom: 100,
    maxTurns: 10_000,
    maxPrograms: 10_000,
    holdLimit: duration.ms(1500),
    resumeOnRoom: true,
    localPreference: 0,
  }),
  open: (options: Options, now: Microseconds): State => ({
    options,
    programs: new Map(),
    held: new Map(),
    running: new Map(),
    workers: new Map(),
    siblings: { tokens: new Map(), sharers: 0, smallest: Infinity },
    lastTick: now,
    counts: {
      arrived: 0,
      released: 0,
      held: 0,
      resumed: 0,
      forced: 0,
      rejected: 0,
      paused: 0,
      marked: 0,
      ended: 0,
      expired: 0,
      moved: 0,
      repacked: 0,
    },
  }),
  step: (s: State, e: Event, now: Microseconds): { state: State; effects: Effect[] } => {
    const effects = ((): Effect[] => {
      switch (e.kind) {
        case 'arrive':
          return arrive(s, e, now);
        case 'grow': {
          const p = s.programs.get(e.program);
          if (p && e.tokens > p.tokens) p.tokens = e.tokens;
          return [];
        }
        case 'end':
          return end(s, e.turn, e, now);
        case 'gone': {
          if (s.held.delete(e.turn)) return [];
          return end(s, e.turn, { tokens: null, final: false, worker: null }, now);
        }
        case 'due':
          return force(s, now);
        case 'moved': {
          // Another edge has taken the program over by its register; it no longer counts here (§4.4).
          const p = s.programs.get(e.program);
          if (!p || p.turn !== null || heldOf(s, p.id)) return [];
          s.programs.delete(p.id);
          s.counts.moved += 1;
          return [{ kind: 'ended', program: p.id, why: 'moved' }];
        }
        case 'tick': {
          s.lastTick = now;
          // Resume before pause: what is paused in this pass cannot be resumed in it (§4.2).
          return [...expire(s, now), ...force(s, now), ...resume(s, now, new Set()), ...pauseUntilSafe(s, now)];
        }
        case 'workers': {
          s.workers = new Map(e.list.map((w) => [w.id, w]));
          // Programs that have ended by what their caller said take no room until the next tick (§4.3).
          return [...expire(s, now), ...(s.options.resumeOnRoom ? resume(s, now, new Set()) : [])];
        }
        case 'siblings':
          s.siblings = e.siblings;
          return s.options.resumeOnRoom ? resume(s, now, new Set()) : [];
        case 'options':
          s.options = e.options;
          return [];
      }
    })();
    return { state: s, effects };
  },
  /** When the next forced release is due. */
  dueAt: (s: State): Microseconds | undefined => {
    let at: Microseconds | undefined;
    for (const h of s.held.values()) if (at === undefined || h.forceAt < at) at = h.forceAt;
    return at;
  },
  /** For the siblings: own tokens on each worker, how many programs here are paused, and the smallest of them. */
  totals: (s: State): { tokens: Record<string, number>; paused: number; smallest: number | null } => {
    let paused = 0;
    let smallest: number | null = null;
    for (const p of s.programs.values())
      if (p.standing === 'paused') {
        paused += 1;
        if (smallest === null || p.tokens < smallest) smallest = p.tokens;
      }
    return { tokens: Object.fromEntries(own(s)), paused, smallest };
  },
  /** What must hold between events (§9.1); the tests' random load calls it after each. */
  check: (s: State): void => {
    for (const h of s.held.values()) invariant.hold(s.programs.has(h.program), `held turn ${h.turn} has no program`);
    for (const [turn, id] of s.running)
      invariant.hold(s.programs.get(id)?.turn === turn, `running turn ${turn} is not its program's`);
    for (const p of s.programs.values()) {
      invariant.hold(p.turn === null || p.phase === 'reasoning', `${p.id} is ACTING with a turn at a worker`);
      invariant.hold(p.standing === 'active' || p.turn === null, `${p.id} is paused with a turn at a worker`);
      invariant.hold(p.tokens >= 0, `${p.id} has negative tokens`);
    }
    invariant.hold(s.programs.size <= s.options.maxPrograms, 'too many programs');
    invariant.hold(s.held.size + s.running.size <= s.options.maxTurns, 'too many turns');
  },
};
