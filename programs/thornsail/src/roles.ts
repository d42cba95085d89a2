// The roles (§1.2). Each is given its runtime and its checked options, and runs as well in the simulator as on a
// machine.
import { workersOf, dataPlane, type DrainOptions, type GatewayLoad, type DataPlane } from '@thornsail/data-plane';
import type { GatewayOptions, StoreOptions, AgentOptions, CoordinatorOptions } from '@thornsail/config-schema';
import { serviceCatalog, type PlatformWorker } from '@thornsail/service-catalog';
import { registers, store, type Registers } from '@thornsail/register-store';
import {
  fault,
  invariant,
  time,
  duration,
  type HttpHandler,
  type Runtime,
  type Address,
  type Microseconds,
} from '@thornsail/runtime';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { durableStore } from '@thornsail/durable-files';
import { membership, type Membership } from '@thornsail/membership';
import { rpc, type Rpc } from '@thornsail/rpc';
import { control, root, signal, type Control, type NewsResult, type SignalNode } from '@thornsail/admin-api';
import { configuration, core, agreedState, snapshotCodec, type AgreedState, type Snapshot } from '@thornsail/consensus';
import { leaseVoter } from '@thornsail/leases';
import { obeyDrain } from './drain.js';
import { groupOf, sweepDuty } from './sweep-duty.js';

export type Node = {
  id: string;
  role: string;
  http: Address;
  place: Address;
  membership: Membership;
  registers: Registers;
  /** What an operator may ask of this node, for interfaces of one's own. */
  control: Control;
  ready: () => { ok: boolean; why: string[] };
  counts: () => Record<string, number>;
  /** Stops taking new work, finishes what runs, and leaves the roster. */
  drain: (o?: DrainOptions) => Promise<void>;
  close: () => Promise<void>;
  /** Calls back if this node must stop: its disk failed, and nothing it says of its state would be safe (§6.1). */
  onFailed: (fn: (why: string) => void) => void;
  dataPlane?: DataPlane;
};
const operatorBody = 1 << 20;
/** Where there are so many coordinators, all vote: a loss right after a loss is borne without any repair (§3.3). */
const usualCoordinators = 5;

type DiskWatch = { failed: (e: Error) => void; onFailed: Node['onFailed'] };
const diskOf = (runtime: Runtime): DiskWatch => {
  const log = runtime.log('disk');
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
const commonCounts = (p: Rpc, m: Membership): Record<string, number> => ({
  breaches: invariant.breaches().length,
  frames_sent: p.counts().sent,
  frames_got: p.counts().received,
  suspects: m.failureDetector.suspects().length,
  freezes: m.freezes(),
  ...Object.fromEntries(Object.entries(m.dissemination.counts()).map(([k, v]) => [`news_${k}`, v])),
});
type Parts = Omit<SignalNode, 'drain'> & {
  drain: (o?: DrainOptions) => Promise<void>;
  /** Waits, once the leave is told, until another node has this one's place in its group. */
  replaced?: () => Promise<void>;
  http: Address;
  stop: () => void;
  onFailed?: Node['onFailed'];
  callers?: HttpHandler;
  dataPlane?: DataPlane;
  maxBody?: number;
};

/** How long a member of a group that ends in order waits for a spare to take its place (§3.3, §6.5). */
const replacedWithin = duration.ms(2500);
const replacedEvery = duration.ms(50);
/** Resolves once this node is no member any more, at once if no spare could replace it. */
const untilReplaced = async (
  runtime: Runtime,
  m: Membership,
  role: 'coordinator' | 'store',
  members: () => { id: string }[],
): Promise<void> => {
  const end = runtime.clock.now() + replacedWithin;
  const isMember = (id: string): boolean => members().some((x) => x.id === id);
  const hasSpare = (): boolean => {
    const s = m.state();
    return s !== undefined && agreedState.liveNodes(s, role).some((n) => n.status === 'live' && !isMember(n.id));
  };
  while (isMember(m.id) && hasSpare() && runtime.clock.now() < end) await time.sleep(runtime.clock, replacedEvery);
};

/** What all roles share: the operators' HTTP, draining by a sibling's word, closing in order. */
const serve = async (x: Parts): Promise<Node> => {
  let draining: Promise<void> | undefined;
  const drain = (o?: DrainOptions): Promise<void> =>
    (draining ??= (async () => {
      // Nothing new is taken from now on, even if the core cannot be told.
      const done = x.drain(o);
      await x.membership.leave();
      await done;
      await x.replaced?.();
    })());
  const ops = signal.handler({ ...x, drain: () => drain() });
  const own = x.callers;
  const http = await x.runtime.net.serveHttp(
    x.http,
    (ask, say) =>
      own && !ask.path.startsWith(`${root}/`) && ask.path !== '/ready' && ask.path !== '/metrics'
        ? own(ask, say)
        : ops(ask, say),
    x.maxBody ?? operatorBody,
  );
  obeyDrain(x.rpc, x.membership.id, drain);
  return {
    id: x.membership.id,
    role: x.role,
    http: http.at,
    place: x.rpc.address,
    membership: x.membership,
    registers: x.registers,
    control: control.open({ runtime: x.runtime, membership: x.membership }),
    ready: x.ready,
    counts: x.counts,
    drain,
    onFailed: x.onFailed ?? ((): void => undefined),
    ...(x.dataPlane ? { dataPlane: x.dataPlane } : {}),
    close: async () => {
      x.stop();
      x.membership.close();
      await Promise.all([http.close(), x.rpc.close()]);
    },
  };
};

export type ReadWorkers = (known: (id: string) => WorkerEntry | undefined) => Promise<PlatformWorker[]>;
/**
 * One agent's reading of the list serves all: the first of those that live reads it when the newest list is old enough,
 * the next ones only if nothing came for a while longer (§3.8). Nobody has to be elected, and nobody's loss is felt.
 */
const listDue = (m: Membership, now: Microseconds): boolean => {
  const read = [...m.dissemination.withPrefix('workers/'), ...m.dissemination.withPrefix('read/')];
  const newest = Math.max(-Infinity, ...read.map((x) => x.item.receivedAt));
  const s = m.state();
  const agents = s ? agreedState.liveNodes(s, 'agent').map((n) => n.id) : [];
  const rank = Math.max(0, agents.indexOf(m.id));
  return now - newest >= duration.ms(850) + rank * duration.ms(200);
};

export const roles = {
  coordinator: async (runtime: Runtime, o: CoordinatorOptions): Promise<Node> => {
    const p = await rpc.open(runtime, o.place);
    const disk = diskOf(runtime);
    const durable = await durableStore.open(runtime.disk, disk.failed);
    const voter = leaseVoter.open({ runtime, rpc: p });
    const here: { membership?: Membership } = {};
    const give = (version: Snapshot<AgreedState>): void => {
      const spread = { ...version, state: configuration.forDissemination(version.state) };
      here.membership?.dissemination.put('order', version.index, snapshotCodec.encode(spread));
    };
    let last: Snapshot<AgreedState> | undefined;
    const c = await core.open({
      runtime,
      rpc: p,
      durable,
      founders: o.founders,
      onCommit: (v) => {
        last = v;
        give(v);
      },
      usedVersion: (id) => {
        const used = here.membership?.dissemination.get(`uses/${id}`);
        if (used) return used.version;
        const l = here.membership?.dissemination.get(`load/${id}`)?.value as Partial<GatewayLoad> | undefined;
        // A front of the release before does not say; it is taken at its word that news reaches it.
        return l === undefined ? -1 : (l.uses ?? Infinity);
      },
      onLeadershipConfirmed: (mark) => here.membership?.dissemination.put('core', mark, {}),
      settings: {
        stores: 2 * o.tolerates + 1,
        coordinators: Math.max(usualCoordinators, 2 * o.tolerates + 1),
        leastStores: o.leastStores,
      },
      news: (): NewsResult => ({
        workers: here.membership ? workersOf(here.membership.dissemination, runtime.clock.now()) : [],
        loads: Object.fromEntries(
          (here.membership?.dissemination.withPrefix('load/') ?? []).map((x) => [x.name.slice(5), x.item.value]),
        ),
        duties: Object.fromEntries(
          Object.entries(voter.grants()).map(([k, g]) => [k, { by: g.holder, mark: g.fencingToken }]),
        ),
      }),
    });
    const m = membership.open({
      runtime,
      rpc: p,
      id: c.consensus.id,
      name: o.name,
      role: 'coordinator',
      http: o.http,
      zone: o.zone,
      seeds: o.seeds,
      heartbeatInterval: duration.ms(o.beatMs),
      coordinators: o.founders,
    });
    here.membership = m;
    if (last) give(last);
    const regs = registers.open({ runtime, rpc: p, clientId: `${m.id}.${runtime.rand.id()}`, group: () => groupOf(m) });
    return serve({
      runtime,
      rpc: p,
      membership: m,
      registers: regs,
      role: 'coordinator',
      name: o.name,
      http: o.http,
      ready: () => {
        const role = c.consensus.role();
        const hasLeader = c.consensus.leader() !== undefined;
        return {
          ok: role === 'leader' || (role === 'follower' && hasLeader),
          why: role === 'unformed' ? ['not in a view'] : hasLeader ? [] : ['no head'],
        };
      },
      counts: () => ({
        ...commonCounts(p, m),
        view: c.consensus.committed()?.term ?? 0,
        version: c.consensus.committed()?.index ?? 0,
        leads: c.consensus.role() === 'leader' ? 1 : 0,
        syncs: durable.counts().syncs,
        torn: durable.counts().torn,
      }),
      drain: () => Promise.resolve(),
      replaced: () => untilReplaced(runtime, m, 'coordinator', () => m.snapshot()?.members ?? []),
      stop: () => c.close(),
      onFailed: disk.onFailed,
    });
  },

  store: async (runtime: Runtime, o: StoreOptions): Promise<Node> => {
    const p = await rpc.open(runtime, o.place);
    const disk = diskOf(runtime);
    const durable = await durableStore.open(runtime.disk, disk.failed);
    const s = await store.open({ runtime, rpc: p, durable });
    const m = membership.open({
      runtime,
      rpc: p,
      id: s.id,
      name: o.name,
      role: 'store',
      http: o.http,
      zone: o.zone,
      seeds: o.seeds,
      heartbeatInterval: duration.ms(o.beatMs),
    });
    const regs = registers.open({ runtime, rpc: p, clientId: `${s.id}.${runtime.rand.id()}`, group: () => groupOf(m) });
    const counts: Record<string, number> = {};
    m.onState(() => {
      const g = groupOf(m);
      if (g) void s.adoptGroup(g);
    });
    const stopSweep = sweepDuty({
      runtime,
      rpc: p,
      membership: m,
      registers: regs,
      id: s.id,
      voters: () => m.snapshot()?.members.map((x) => x.at) ?? [],
      counts,
    });
    return serve({
      runtime,
      rpc: p,
      membership: m,
      registers: regs,
      role: 'store',
      name: o.name,
      http: o.http,
      ready: () => {
        const g = groupOf(m);
        const why = [
          ...(g ? [] : ['no store group']),
          ...(g && !g.members.some((k) => k.id === s.id) ? ['not a member'] : []),
        ];
        return { ok: why.length === 0, why };
      },
      counts: () => ({
        ...commonCounts(p, m),
        ...s.counts(),
        ...counts,
        records: s.size(),
        group_mark: s.group()?.version ?? 0,
        syncs: durable.counts().syncs,
        torn: durable.counts().torn,
      }),
      drain: () => Promise.resolve(),
      replaced: () => untilReplaced(runtime, m, 'store', () => m.state()?.storeGroup.members ?? []),
      stop: stopSweep,
      onFailed: disk.onFailed,
    });
  },

  /**
   * `read` brings the list of workers in a format of one's own; it is told what is known of a worker already, so that
   * nobody is asked twice.
   */
  agent: async (runtime: Runtime, o: AgentOptions, extra: { read?: ReadWorkers } = {}): Promise<Node> => {
    const p = await rpc.open(runtime, o.place);
    const id = `agent-${runtime.rand.id()}`;
    const m = membership.open({
      runtime,
      rpc: p,
      id,
      name: o.name,
      role: 'agent',
      http: o.http,
      zone: o.zone,
      seeds: o.seeds,
      heartbeatInterval: duration.ms(o.beatMs),
    });
    const regs = registers.open({ runtime, rpc: p, clientId: id, group: () => groupOf(m) });
    let mark = 0;
    let last = '';
    let lastPut = 0;
    const known = (worker: string): WorkerEntry | undefined =>
      workersOf(m.dissemination, runtime.clock.now()).find((w) => w.id === worker);
    const { read } = extra;
    const h = serviceCatalog.open({
      runtime,
      platform: o.platform,
      ...(read ? { read: () => read(known), due: () => listDue(m, runtime.clock.now()), every: duration.ms(100) } : {}),
      onList: (list) => {
        const text = JSON.stringify(list);
        const now = runtime.clock.now();
        // An unchanged list is not sent again; that it was read is.
        if (text === last && now - lastPut < duration.s(1.5))
          return read ? m.dissemination.put(`read/${id}`, ++mark, {}) : undefined;
        last = text;
        lastPut = now;
        m.dissemination.put(`workers/${id}`, ++mark, { list });
      },
    });
    let leaving = false;
    return serve({
      runtime,
      rpc: p,
      membership: m,
      registers: regs,
      role: 'agent',
      name: o.name,
      http: o.http,
      ready: () => {
        const why = [
          ...(leaving ? ['leaving'] : []),
          ...(m.state() ? [] : ['no agreed state']),
          ...(h.lastReadAt() === undefined ? ['no list of workers'] : []),
        ];
        return { ok: why.length === 0, why };
      },
      counts: () => ({ ...commonCounts(p, m), workers: workersOf(m.dissemination, runtime.clock.now()).length }),
      drain: () => {
        leaving = true;
        return Promise.resolve();
      },
      stop: () => h.close(),
    });
  },

  gateway: async (runtime: Runtime, o: GatewayOptions, extra: { plain?: boolean } = {}): Promise<Node> => {
    const p = await rpc.open(runtime, o.place);
    const id = `gateway-${runtime.rand.id()}`;
    const m = membership.open({
      runtime,
      rpc: p,
      id,
      name: o.name,
      role: 'gateway',
      http: o.http,
      zone: o.zone,
      seeds: o.seeds,
      heartbeatInterval: duration.ms(o.beatMs),
      localAgent: o.agent,
    });
    const f = dataPlane.open({
      runtime,
      rpc: p,
      membership: m,
      zone: o.zone,
      ...extra,
    });
    return serve({
      runtime,
      rpc: p,
      membership: m,
      registers: f.registers,
      role: 'gateway',
      name: o.name,
      http: o.http,
      ready: f.ready,
      counts: () => ({ ...commonCounts(p, m), ...f.counts() }),
      metrics: f.metrics,
      drain: (o) => f.drain(o),
      stop: () => f.close(),
      callers: f.handle,
      dataPlane: f,
      maxBody: 8 << 20,
    });
  },
};
