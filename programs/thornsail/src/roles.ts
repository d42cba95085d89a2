/**
 * The roles of nodes (§1.2). Each takes its runtime and its checked options, so that it runs in the simulator as on a
 * machine.
 */
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
import {
  control,
  apiRoot,
  adminApi,
  type Control,
  type DisseminatedState,
  type AdminApiNode,
} from '@thornsail/admin-api';
import { configuration, core, agreedState, snapshotCodec, type AgreedState, type Snapshot } from '@thornsail/consensus';
import { leaseVoter } from '@thornsail/leases';
import { handleDrainRequests } from './drain.js';
import { groupOf, sweepDuty } from './sweep-duty.js';

/** A running node. */
export type Node = {
  id: string;
  role: string;
  http: Address;
  /** Its address for other nodes. */
  place: Address;
  membership: Membership;
  registers: Registers;
  /** The operator actions, for programs with an interface of their own. */
  control: Control;
  ready: () => { ok: boolean; why: string[] };
  counts: () => Record<string, number>;
  /** Stops accepting work, completes what runs, and leaves the cluster. */
  drain: (options?: DrainOptions) => Promise<void>;
  close: () => Promise<void>;
  /** Calls back if this node must stop because its disk failed, after which its state can't be relied on (§6.1). */
  onFailed: (listener: (why: string) => void) => void;
  dataPlane?: DataPlane;
};
const maxAdminBodyBytes = 1 << 20;
const bytesPerMegabyte = 1_000_000;
/** Share of a store's data space for values: compaction needs as much again, and small records need the rest (§6.1). */
const valueShare = 0.4;
/** Voting coordinators where that many run: a second loss is tolerated before the first is repaired (§3.3). */
const usualCoordinators = 5;

type DiskMonitor = { failed: (error: Error) => void; onFailed: Node['onFailed'] };
const monitorDisk = (runtime: Runtime): DiskMonitor => {
  const log = runtime.log('disk');
  let why: string | undefined;
  const listeners: ((why: string) => void)[] = [];
  return {
    failed: (error) => {
      why = `the disk failed (${fault.text(error)}): this node stops`;
      log(`${why}.`);
      for (const listener of listeners) listener(why);
    },
    onFailed: (listener) => (why === undefined ? void listeners.push(listener) : listener(why)),
  };
};
const commonCounts = (runtime: Runtime, transport: Rpc, member: Membership): Record<string, number> => ({
  ...runtime.usage?.(),
  breaches: invariant.breaches().length,
  frames_sent: transport.counts().sent,
  frames_got: transport.counts().received,
  suspects: member.failureDetector.suspects().length,
  freezes: member.freezes(),
  ...Object.fromEntries(Object.entries(member.dissemination.counts()).map(([name, count]) => [`news_${name}`, count])),
});
/** What a role provides for its node. */
type NodeParts = Omit<AdminApiNode, 'drain'> & {
  drain: (options?: DrainOptions) => Promise<void>;
  /** Waits, after the node has announced that it leaves, until another node has replaced it in its group. */
  replaced?: () => Promise<void>;
  http: Address;
  stop: () => void;
  /** Resolves once nothing changes the node's data any more. */
  closeData?: () => Promise<void>;
  onFailed?: Node['onFailed'];
  callers?: HttpHandler;
  dataPlane?: DataPlane;
  maxBody?: number;
};

/** How long a leaving member of a group waits for a spare node to replace it (§3.3, §6.5). */
const replacementTimeout = duration.ms(2500);
const replacementPollInterval = duration.ms(50);
/** Resolves once this node is no longer a member, at once if no spare can replace it, or after the timeout. */
const untilReplaced = async (
  runtime: Runtime,
  self: Membership,
  role: 'coordinator' | 'store',
  members: () => { id: string }[],
): Promise<void> => {
  const deadline = runtime.clock.now() + replacementTimeout;
  const isMember = (id: string): boolean => members().some((member) => member.id === id);
  const hasSpare = (): boolean => {
    const state = self.state();
    return (
      state !== undefined &&
      agreedState.liveNodes(state, role).some((node) => node.status === 'live' && !isMember(node.id))
    );
  };
  while (isMember(self.id) && hasSpare() && runtime.clock.now() < deadline)
    await time.sleep(runtime.clock, replacementPollInterval);
};

/** What all roles share: the admin API, drain requests from other nodes, and an orderly shutdown. */
const serve = async (parts: NodeParts): Promise<Node> => {
  let draining: Promise<void> | undefined;
  const drain = (options?: DrainOptions): Promise<void> =>
    (draining ??= (async () => {
      // New work is refused from now on, even if the coordinators can't be reached.
      const drained = parts.drain(options);
      await parts.membership.leave();
      await drained;
      await parts.replaced?.();
    })());
  const admin = adminApi.handler({ ...parts, drain: () => drain() });
  const callers = parts.callers;
  const http = await parts.runtime.net.serveHttp(
    parts.http,
    (request, response) =>
      callers && !request.path.startsWith(`${apiRoot}/`) && request.path !== '/ready' && request.path !== '/metrics'
        ? callers(request, response)
        : admin(request, response),
    parts.maxBody ?? maxAdminBodyBytes,
  );
  const log = parts.runtime.log('drain');
  handleDrainRequests(parts.rpc, parts.membership.id, () =>
    drain().catch((error: unknown) => log(`the drain failed: ${fault.text(error)}.`)),
  );
  return {
    id: parts.membership.id,
    role: parts.role,
    http: http.at,
    place: parts.rpc.address,
    membership: parts.membership,
    registers: parts.registers,
    control: control.open({ runtime: parts.runtime, membership: parts.membership }),
    ready: parts.ready,
    counts: parts.counts,
    drain,
    onFailed: parts.onFailed ?? ((): void => undefined),
    ...(parts.dataPlane ? { dataPlane: parts.dataPlane } : {}),
    close: async () => {
      parts.stop();
      parts.membership.close();
      // A successor takes the data over as soon as it can bind the address of this node.
      await parts.closeData?.();
      await Promise.all([http.close(), parts.rpc.close()]);
    },
  };
};

/** Reads the list of workers from a platform; `known` gives what is known of a worker already. */
export type ReadWorkers = (known: (id: string) => WorkerEntry | undefined) => Promise<PlatformWorker[]>;
/**
 * Whether this agent should read the list of workers now (§3.8). One agent's reading serves all: the first live agent
 * reads once the newest list is 850 ms old, and each further one 200 ms later, so that another agent takes over without
 * an election if one is lost.
 */
const isListDue = (member: Membership, now: Microseconds): boolean => {
  const readings = [...member.dissemination.withPrefix('workers/'), ...member.dissemination.withPrefix('read/')];
  const newest = Math.max(-Infinity, ...readings.map((reading) => reading.item.receivedAt));
  const state = member.state();
  const agents = state ? agreedState.liveNodes(state, 'agent').map((node) => node.id) : [];
  const rank = Math.max(0, agents.indexOf(member.id));
  return now - newest >= duration.ms(850) + rank * duration.ms(200);
};

/** Opens a node of each role. */
export const roles = {
  /** A coordinator: orders the configuration and the membership, and votes on leases. */
  coordinator: async (runtime: Runtime, options: CoordinatorOptions): Promise<Node> => {
    const transport = await rpc.open(runtime, options.place);
    const disk = monitorDisk(runtime);
    const durable = await durableStore.open(runtime.disk, disk.failed);
    const voter = leaseVoter.open({ runtime, rpc: transport });
    const opened: { membership?: Membership } = {};
    const publish = (version: Snapshot<AgreedState>): void => {
      const disseminated = { ...version, state: configuration.forDissemination(version.state) };
      opened.membership?.dissemination.put('order', version.index, snapshotCodec.encode(disseminated));
    };
    let lastCommitted: Snapshot<AgreedState> | undefined;
    const coreNode = await core.open({
      runtime,
      rpc: transport,
      durable,
      founders: options.founders,
      possibleFounders: options.possibleFounders,
      onCommit: (version) => {
        lastCommitted = version;
        publish(version);
      },
      usedVersion: (id) => {
        const used = opened.membership?.dissemination.get(`uses/${id}`);
        if (used) return used.version;
        const load = opened.membership?.dissemination.get(`load/${id}`)?.value as Partial<GatewayLoad> | undefined;
        // A gateway of the previous release does not report the version that it uses, and counts as up to date.
        return load === undefined ? -1 : (load.uses ?? Infinity);
      },
      onLeadershipConfirmed: (mark) => opened.membership?.dissemination.put('core', mark, {}),
      settings: {
        stores: 2 * options.tolerates + 1,
        coordinators: Math.max(usualCoordinators, 2 * options.tolerates + 1),
        leastStores: options.leastStores,
      },
      news: (): DisseminatedState => ({
        workers: opened.membership ? workersOf(opened.membership.dissemination, runtime.clock.now()) : [],
        loads: Object.fromEntries(
          (opened.membership?.dissemination.withPrefix('load/') ?? []).map((entry) => [
            entry.name.slice(5),
            entry.item.value,
          ]),
        ),
        duties: Object.fromEntries(
          Object.entries(voter.grants()).map(([name, grant]) => [name, { by: grant.holder, mark: grant.fencingToken }]),
        ),
      }),
    });
    const member = membership.open({
      runtime,
      rpc: transport,
      id: coreNode.consensus.id,
      name: options.name,
      role: 'coordinator',
      http: options.http,
      zone: options.zone,
      seeds: options.seeds,
      heartbeatInterval: duration.ms(options.beatMs),
      coordinators: options.founders,
    });
    opened.membership = member;
    member.onState(() => coreNode.consensus.noteGroupExists());
    if (lastCommitted) publish(lastCommitted);
    const registerClient = registers.open({
      runtime,
      rpc: transport,
      clientId: `${member.id}.${runtime.rand.id()}`,
      group: () => groupOf(member),
    });
    return serve({
      runtime,
      rpc: transport,
      membership: member,
      registers: registerClient,
      role: 'coordinator',
      name: options.name,
      http: options.http,
      ready: () => {
        const role = coreNode.consensus.role();
        const hasLeader = coreNode.consensus.leader() !== undefined;
        return {
          ok: role === 'leader' || (role === 'follower' && hasLeader),
          why: role === 'unformed' ? ['not in a view'] : hasLeader ? [] : ['no head'],
        };
      },
      counts: () => ({
        ...commonCounts(runtime, transport, member),
        view: coreNode.consensus.committed()?.term ?? 0,
        version: coreNode.consensus.committed()?.index ?? 0,
        leads: coreNode.consensus.role() === 'leader' ? 1 : 0,
        syncs: durable.counts().syncs,
        torn: durable.counts().torn,
      }),
      drain: () => Promise.resolve(),
      replaced: () => untilReplaced(runtime, member, 'coordinator', () => member.snapshot()?.members ?? []),
      stop: () => coreNode.close(),
      closeData: durable.close,
      onFailed: disk.onFailed,
    });
  },

  /** A store: holds registers, and sweeps them when it is responsible. */
  store: async (runtime: Runtime, options: StoreOptions): Promise<Node> => {
    const transport = await rpc.open(runtime, options.place);
    const disk = monitorDisk(runtime);
    const durable = await durableStore.open(runtime.disk, disk.failed);
    const log = runtime.log('store');
    const valueLimits = { stored: options.dataMb * bytesPerMegabyte * valueShare };
    const storeNode = await store.open({ runtime, rpc: transport, durable, valueLimits });
    const member = membership.open({
      runtime,
      rpc: transport,
      id: storeNode.id,
      name: options.name,
      role: 'store',
      http: options.http,
      zone: options.zone,
      seeds: options.seeds,
      heartbeatInterval: duration.ms(options.beatMs),
    });
    const registerClient = registers.open({
      runtime,
      rpc: transport,
      clientId: `${storeNode.id}.${runtime.rand.id()}`,
      group: () => groupOf(member),
    });
    const sweepCounts: Record<string, number> = {};
    member.onState(() => {
      const group = groupOf(member);
      // A full disk refuses the write; the next state brings the group again.
      if (group)
        storeNode.adoptGroup(group).catch((error: unknown) => log(`the group was not adopted: ${fault.text(error)}.`));
    });
    const stopSweep = sweepDuty({
      runtime,
      rpc: transport,
      membership: member,
      registers: registerClient,
      id: storeNode.id,
      voters: () => member.snapshot()?.members.map((voter) => voter.at) ?? [],
      counts: sweepCounts,
    });
    return serve({
      runtime,
      rpc: transport,
      membership: member,
      registers: registerClient,
      role: 'store',
      name: options.name,
      http: options.http,
      ready: () => {
        const group = groupOf(member);
        const why = [
          ...(group ? [] : ['no store group']),
          ...(group && !group.members.some((entry) => entry.id === storeNode.id) ? ['not a member'] : []),
        ];
        return { ok: why.length === 0, why };
      },
      counts: () => ({
        ...commonCounts(runtime, transport, member),
        ...storeNode.counts(),
        ...sweepCounts,
        records: storeNode.size(),
        group_mark: storeNode.group()?.version ?? 0,
        syncs: durable.counts().syncs,
        torn: durable.counts().torn,
      }),
      drain: () => Promise.resolve(),
      replaced: () => untilReplaced(runtime, member, 'store', () => member.state()?.storeGroup.members ?? []),
      stop: stopSweep,
      closeData: durable.close,
      onFailed: disk.onFailed,
    });
  },

  /**
   * An agent: publishes the list of workers to the gateways.
   * `extra.read` reads the list of workers from a platform with a format of its own; it gets what is known of each
   * worker already, so that no worker is queried twice.
   */
  agent: async (runtime: Runtime, options: AgentOptions, extra: { read?: ReadWorkers } = {}): Promise<Node> => {
    const transport = await rpc.open(runtime, options.place);
    const id = `agent-${runtime.rand.id()}`;
    const member = membership.open({
      runtime,
      rpc: transport,
      id,
      name: options.name,
      role: 'agent',
      http: options.http,
      zone: options.zone,
      seeds: options.seeds,
      heartbeatInterval: duration.ms(options.beatMs),
    });
    const registerClient = registers.open({ runtime, rpc: transport, clientId: id, group: () => groupOf(member) });
    let version = 0;
    let lastText = '';
    let lastPutAt = 0;
    const known = (worker: string): WorkerEntry | undefined =>
      workersOf(member.dissemination, runtime.clock.now()).find((entry) => entry.id === worker);
    const { read } = extra;
    const catalog = serviceCatalog.open({
      runtime,
      platform: options.platform,
      ...(read
        ? { read: () => read(known), due: () => isListDue(member, runtime.clock.now()), every: duration.ms(100) }
        : {}),
      onList: (list) => {
        const text = JSON.stringify(list);
        const now = runtime.clock.now();
        // An unchanged list is not published again, only the fact that it was read.
        if (text === lastText && now - lastPutAt < duration.s(1.5))
          return read ? member.dissemination.put(`read/${id}`, ++version, {}) : undefined;
        lastText = text;
        lastPutAt = now;
        member.dissemination.put(`workers/${id}`, ++version, { list });
      },
    });
    let leaving = false;
    return serve({
      runtime,
      rpc: transport,
      membership: member,
      registers: registerClient,
      role: 'agent',
      name: options.name,
      http: options.http,
      ready: () => {
        const why = [
          ...(leaving ? ['leaving'] : []),
          ...(member.state() ? [] : ['no agreed state']),
          ...(catalog.lastReadAt() === undefined ? ['no list of workers'] : []),
        ];
        return { ok: why.length === 0, why };
      },
      counts: () => ({
        ...commonCounts(runtime, transport, member),
        workers: workersOf(member.dissemination, runtime.clock.now()).length,
      }),
      drain: () => {
        leaving = true;
        return Promise.resolve();
      },
      stop: () => catalog.close(),
    });
  },

  /** A gateway: serves callers through the data plane. */
  gateway: async (runtime: Runtime, options: GatewayOptions, extra: { plain?: boolean } = {}): Promise<Node> => {
    const transport = await rpc.open(runtime, options.place);
    const id = `gateway-${runtime.rand.id()}`;
    const member = membership.open({
      runtime,
      rpc: transport,
      id,
      name: options.name,
      role: 'gateway',
      http: options.http,
      zone: options.zone,
      seeds: options.seeds,
      heartbeatInterval: duration.ms(options.beatMs),
      localAgent: options.agent,
    });
    const plane = dataPlane.open({
      runtime,
      rpc: transport,
      membership: member,
      zone: options.zone,
      ...extra,
    });
    return serve({
      runtime,
      rpc: transport,
      membership: member,
      registers: plane.registers,
      role: 'gateway',
      name: options.name,
      http: options.http,
      ready: plane.ready,
      counts: () => ({ ...commonCounts(runtime, transport, member), ...plane.counts() }),
      metrics: plane.metrics,
      drain: (drainOptions) => plane.drain(drainOptions),
      stop: () => plane.close(),
      callers: plane.handle,
      dataPlane: plane,
      maxBody: 8 << 20,
    });
  },
};
