// membership: what every node does to be one of the fleet (§3.2): find the siblings from any live seed,
// join the roster, refute a wrong death, hold the newest agreed state, and notice its own freezes.
import { dissemination, type Dissemination, type Update } from '@thornsail/dissemination';
import { address, time, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { failureDetector, type FailureDetector, type Peer } from '@thornsail/failure-detector';
import { validate, type Rpc } from '@thornsail/rpc';
import {
  coreClient,
  coreCodec,
  coreRequestName,
  agreedState,
  roleCodec,
  snapshotCodec,
  type CoreClient,
  type NodeEntry,
  type NodeRole,
  type AgreedState,
  type EncodedRole,
  type EncodedSnapshot,
  type Snapshot,
} from '@thornsail/consensus';

type Hello = { place: Address; role: NodeRole | '' };
/** As between nodes: roles have their encoded names, and versions their encoded form. */
type EncodedHello = { place: Address; role: EncodedRole | '' };
type HelloResult = { known: EncodedHello[]; order: EncodedSnapshot | null };
export type Membership = {
  id: string;
  dissemination: Dissemination;
  core: CoreClient;
  failureDetector: FailureDetector;
  state: () => AgreedState | undefined;
  mark: () => number;
  marked: () => Snapshot<AgreedState> | undefined;
  inRoster: () => boolean;
  inc: () => number;
  /** For how long this node has known another one to be dead; 0 while it is not. By its own clock: walls may differ. */
  deadFor: (id: string) => Microseconds;
  /** True when this process has just been frozen and has not yet refreshed its news (§3.7). */
  stale: () => boolean;
  /** How often this process was found to have slept. */
  freezes: () => number;
  refresh: (timeLeft?: Microseconds) => Promise<boolean>;
  /** Further places at which a sibling may be found. */
  learn: (places: Address[]) => void;
  onState: (fn: (s: AgreedState, mark: number) => void) => void;
  leave: () => Promise<void>;
  close: () => void;
};

const isHello = validate.object({ place: address.ok, role: validate.anyOf(roleCodec.isEncoded, validate.oneOf('')) });
const encodeHello = ({ place, role }: Hello): EncodedHello => ({ place, role: role && roleCodec.encode(role) });
const decodeHello = ({ place, role }: EncodedHello): Hello => ({ place, role: roleCodec.decode(role) ?? '' });
/** Gives the same object for the same version: callers compare by identity. */
const decodeOrder = (value: unknown): Snapshot<AgreedState> => snapshotCodec.decode(value as EncodedSnapshot);
const isWorkers = validate.object({
  list: validate.arrayOf(
    validate.object({
      id: validate.string,
      at: address.ok,
      kind: validate.oneOf('model', 'app'),
      leaving: validate.boolean,
    }),
  ),
});
const counts = validate.recordOf(validate.integer);
/** What an edge tells of its load (§4.4). */
export const isLoad = validate.object({
  load: validate.object({ running: validate.recordOf(counts), waiting: counts }),
  tokens: validate.recordOf(validate.finiteNumber),
  paused: validate.integer,
  smallest: validate.optional(validate.finiteNumber),
  took: validate.optional(validate.arrayOf(validate.string)),
  uses: validate.optional(validate.integer),
});
/** News by the first word of its name; what goes by another name is nobody's here. */
const soundNews = (n: Update): boolean => {
  const of = n.name.split('/')[0];
  if (of === 'order') return snapshotCodec.isValid(n.value);
  if (of === 'workers') return isWorkers(n.value);
  return of === 'load' ? isLoad(n.value) : true;
};

const freezeLimit = duration.ms(700);

export const membership = {
  open: (o: {
    runtime: Runtime;
    rpc: Rpc;
    id: string;
    name: string;
    role: NodeRole;
    http: Address;
    zone: string;
    seeds: Address[];
    towers?: Address[];
    beside?: Address;
    /** Between two heartbeats; five of them missed are a silence. */
    beat?: Microseconds;
  }): Membership => {
    const { runtime, rpc, id, role } = o;
    const { clock, rand } = runtime;
    const log = runtime.log('membership');
    const known = new Map<Address, NodeRole | ''>();
    for (const s of [...o.seeds, ...(o.beside ? [o.beside] : [])]) if (s !== rpc.at) known.set(s, '');
    for (const t of o.towers ?? []) if (t !== rpc.at) known.set(t, 'coordinator');
    let inc = 1;
    let leaving = false;
    let closed = false;
    let lastTick = clock.now();
    let frozen = false;
    let slept = 0;
    const marked = (): Snapshot<AgreedState> | undefined => {
      const item = b.get('order');
      return item && decodeOrder(item.value);
    };
    const state = (): AgreedState | undefined => marked()?.state;
    /** Made anew only with a new state: who gets the same list can tell that nothing has changed. */
    let roster: { of: AgreedState | undefined; live: NodeEntry[]; peers: Peer[]; relays: Peer[] } = {
      of: undefined,
      live: [],
      peers: [],
      relays: [],
    };
    const current = (): typeof roster => {
      const s = state();
      if (s === roster.of) return roster;
      const all = s ? agreedState.liveNodes(s) : [];
      const peers = all.map((n) => ({ id: n.id, address: n.place, incarnation: n.incarnation }));
      return (roster = { of: s, live: all, peers, relays: peers.filter((_, i) => all[i]!.role !== 'gateway') });
    };
    const live = (): NodeEntry[] => current().live;
    const relays = (): Peer[] => current().relays;
    let besideBad = 0;
    const deadSince = new Map<string, Microseconds>();
    /** News of a dead node is neither kept nor taken again from a sibling that has not heard (§3.5). */
    const admits = (name: string): boolean => {
      const i = name.indexOf('/');
      const s = state();
      return i < 0 || !s || s.nodes[name.slice(i + 1)]?.status !== 'dead';
    };
    const b = dissemination.open({
      runtime,
      rpc,
      self: id,
      isLeaf: role === 'gateway',
      relays,
      admits,
      isValid: soundNews,
      isVolatile: (name) => name.startsWith('load/') || name.startsWith('read/'),
      isBatched: (name) => name.startsWith('load/'),
      parent: () => {
        if (!o.beside) return undefined;
        const n = live().find((x) => x.place === o.beside);
        return besideBad > clock.now() || (state() && !n) ? undefined : o.beside;
      },
      fallbacks: () => [...known.keys()].filter((p) => p !== rpc.at),
    });
    const core = coreClient.open({
      runtime,
      rpc,
      coordinators: () => {
        const v = marked();
        const from = v ? v.members.map((m) => m.at) : [];
        const said = [...known].filter(([, r]) => r === 'coordinator').map(([p]) => p);
        return [...new Set([...from, ...said])];
      },
    });
    const look = failureDetector.open({
      ...(o.beat === undefined ? {} : { timing: { heartbeatInterval: o.beat, suspectAfter: o.beat * 5 } }),
      runtime,
      rpc,
      self: () => ({ id, address: rpc.at, incarnation: inc }),
      members: () => current().peers,
      onSuspected: (list) => {
        const v = marked();
        const suspicions = list.map((s) => ({ watcher: id, id: s.id, incarnation: s.incarnation }));
        const request = coreCodec.encodeRequest({ type: 'suspect', suspicions });
        rpc.notifyAll(v?.members.map((m) => m.at) ?? [], coreRequestName, request);
      },
    });
    const inRoster = (): boolean => {
      const me = state()?.nodes[id];
      return (
        me !== undefined && me.status !== 'dead' && me.incarnation === inc && (me.status === 'leaving') === leaving
      );
    };
    const remember = (list: Hello[]): void => {
      for (const h of list)
        if (h.place !== rpc.at && (known.size < 256 || known.has(h.place)))
          known.set(h.place, h.role || (known.get(h.place) ?? ''));
    };
    rpc.on<EncodedHello>('hello', isHello, (h): HelloResult => {
      const list = [...known].map(([place, r]) => encodeHello({ place, role: r }));
      remember([decodeHello(h)]);
      const version = b.get('order')?.value as EncodedSnapshot | undefined;
      return { known: [...list, encodeHello({ place: rpc.at, role })], order: version ?? null };
    });
    const hello = async (to: Address): Promise<void> => {
      const r = await rpc.request<HelloResult>(to, 'hello', encodeHello({ place: rpc.at, role }), duration.ms(400));
      remember(r.known.map(decodeHello));
      if (r.order) b.put('order', r.order.seq, r.order);
    };
    const watchers: ((s: AgreedState, mark: number) => void)[] = [];
    b.onUpdate((n) => {
      if (n.name !== 'order') return;
      const v = decodeOrder(n.value);
      remember(agreedState.liveNodes(v.state).map((x) => ({ place: x.place, role: x.role })));
      b.retain(admits);
      for (const n2 of Object.values(v.state.nodes))
        if (n2.status !== 'dead') deadSince.delete(n2.id);
        else if (!deadSince.has(n2.id)) deadSince.set(n2.id, clock.now());
      if (deadSince.size > 1024) deadSince.delete(deadSince.keys().next().value as string);
      for (const w of watchers) w(v.state, v.index);
    });
    const join = async (): Promise<void> => {
      const me = state()?.nodes[id];
      if (me && me.status === 'dead' && me.incarnation >= inc) {
        inc = me.incarnation + 1;
        log(`was taken for dead; refutes with incarnation ${inc}.`);
      }
      const r = await core.request(
        {
          type: 'join',
          node: { id, name: o.name, role, place: rpc.at, http: o.http, zone: o.zone, incarnation: inc, leaving },
        },
        duration.s(2),
      );
      if (!r.value.ok) inc = Math.max(inc, r.value.incarnation + 1);
      if ((b.get('order')?.version ?? -1) < r.index)
        for (const p of [...core_places()]) if (await b.refresh(p, duration.ms(300))) break;
    };
    const core_places = (): Address[] =>
      marked()?.members.map((m) => m.at) ?? [...known].filter(([, r]) => r === 'coordinator').map(([p]) => p);
    const stops = [
      time.every(clock, duration.ms(100), () => {
        const now = clock.now();
        if (now - lastTick > freezeLimit) {
          frozen = true;
          slept += 1;
          log('woke from a freeze.');
        }
        lastTick = now;
        if (frozen) void refresh();
        if (o.beside && now - b.lastContact() > duration.ms(800)) besideBad = now + duration.s(1);
      }),
      time.every(clock, duration.ms(200), async () => {
        if (closed) return;
        if (!state()) {
          const all = [...known.keys()];
          // The seeds first, then whoever they named.
          const some = all.length > 4 ? Array.from({ length: 4 }, () => all[rand.int(all.length)]!) : all;
          await Promise.all([...new Set(some)].map((p) => hello(p).catch(() => undefined)));
        }
        if (!inRoster() && (state() || [...known.values()].includes('coordinator')))
          await join().catch(() => undefined);
      }),
    ];
    const stale = (): boolean => frozen || clock.now() - lastTick > freezeLimit;
    let refreshing: Promise<boolean> | undefined;
    const refresh = (left: Microseconds = duration.ms(300)): Promise<boolean> =>
      (refreshing ??= (async () => {
        const first = o.beside ? [o.beside] : [];
        const rest = [...core_places(), ...relays().map((r) => r.address)].filter(
          (p) => p !== rpc.at && p !== o.beside,
        );
        // One that answers is not enough if it slept too: a core place or two relays.
        const asked = [...first, ...rest.slice(0, 4)];
        const got = await Promise.all(asked.map((p) => b.refresh(p, left)));
        const ok = got.filter(Boolean).length >= Math.min(2, asked.length) && asked.length > 0;
        if (ok) {
          frozen = false;
          lastTick = clock.now();
        }
        return ok;
      })().finally(() => {
        refreshing = undefined;
      }));
    return {
      id,
      dissemination: b,
      core,
      failureDetector: look,
      state,
      marked,
      inRoster,
      stale,
      refresh,
      learn: (places) => remember(places.map((p) => ({ place: p, role: '' }))),
      mark: () => marked()?.index ?? 0,
      inc: () => inc,
      freezes: () => slept,
      deadFor: (who) => {
        // One that the roster has forgotten was dead long before.
        const s = state();
        if (s && !s.nodes[who] && !deadSince.has(who)) deadSince.set(who, clock.now());
        const at = deadSince.get(who);
        return at === undefined ? 0 : clock.now() - at;
      },
      onState: (fn) => void watchers.push(fn),
      leave: async () => {
        leaving = true;
        await join().catch(() => undefined);
      },
      close: () => {
        closed = true;
        for (const s of stops) s();
        look.close();
        b.close();
      },
    };
  },
};
