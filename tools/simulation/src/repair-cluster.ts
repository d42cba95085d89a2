// The cluster of a repair run (§3.3, §6.5): coordinators and stores in the simulated world, without edges.
import { configSchema } from '@thornsail/config-schema';
import { address, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { roles, type Node } from '@thornsail/thornsail';
import { world, type Host, type World } from './world/index.js';

/** The roles whose processes form replicated groups. */
export type GroupRole = 'coordinator' | 'store';
/** A loss of some processes of one role, and their replacement. */
export type Loss = {
  /** Time of the loss, after the start of the load. */
  at: Microseconds;
  role: GroupRole;
  /** Number of group members that are lost at once. */
  count: number;
  /** `oldest`: the processes whose disks were empty longest ago. */
  selection: 'any' | 'oldest' | 'leader';
  /** `planned`: a replacement starts first, and after `downtime` the process is drained and its disk removed. */
  how: 'disk' | 'power' | 'process' | 'planned';
  /** Time until the process starts again. */
  downtime: Microseconds;
  /** Whether an empty process at a new address starts instead. */
  atNewAddress?: boolean;
};
/** One run: number of processes, speed of the disks, and the losses. */
export type RepairPlan = {
  seed: number;
  coordinators: number;
  stores: number;
  /** Number of simultaneous failures that the groups tolerate. */
  tolerates: number;
  /** Longest duration of one disk sync. */
  syncTime: Microseconds;
  /** Multiplies the duration of syncs. */
  syncTimeFactor?: number;
  /** Number of registers that are written before the first loss. */
  registers: number;
  losses: Loss[];
  /** Time between the end of the last downtime and the final check. */
  settleFor: Microseconds;
  log?: (line: string) => void;
};
/** A process of the cluster, identified by its address. */
export type ClusterProcess = {
  role: GroupRole;
  address: Address;
  host: Host;
  /** Undefined while the process starts and after it was lost. */
  node: Node | undefined;
  /** Time at which the disk was last empty. */
  diskEmptySince: Microseconds;
  firstStart: boolean;
  seeds: Address[];
};

/** The processes of one run and their simulated world. */
export type RepairCluster = {
  world: World;
  processes: ClusterProcess[];
  /** The processes of a role that are up. */
  live: (role: GroupRole) => ClusterProcess[];
  /** The coordinator that considers itself the leader. */
  leader: () => ClusterProcess | undefined;
  /** Starts the process with the present contents of its disk. */
  start: (process: ClusterProcess) => void;
  /** Starts an empty process at a new address; `seeds` defaults to the founders. */
  add: (role: GroupRole, seeds?: Address[]) => ClusterProcess;
  /** Whether the group has its full size, all members are alive, and its last reconfiguration is complete. */
  full: (role: GroupRole) => boolean;
};

const pollInterval = duration.ms(10);
/** IP prefix of the hosts of a role. */
const networks: Record<GroupRole, string> = { coordinator: '127.0.3', store: '127.0.2' };
const founders: readonly Address[] = [1, 2, 3].map((i) => `${networks.coordinator}.${i}:7101`);

const openWorld = (plan: RepairPlan): World => {
  const simulated = world.open({
    seed: plan.seed,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    diskTime: plan.syncTime,
  });
  if (plan.log)
    simulated.onLog((time, ip, part, text) => plan.log!(`${(time / 1e6).toFixed(3)} ${ip} ${part}: ${text}`));
  return simulated;
};

const optionsOf = (
  plan: RepairPlan,
  { role, address: ownAddress, host, seeds, firstStart }: ClusterProcess,
): unknown => {
  const founding = firstStart && founders.includes(ownAddress);
  return {
    name: `${role}-${address.host(ownAddress).replaceAll('.', '-')}`,
    place: ownAddress,
    http: `${address.host(ownAddress)}:7100`,
    zone: host.zone,
    seeds,
    beatMs: 400,
    data: 'data',
    ...(role === 'coordinator' ? { founders: founding ? founders : [], tolerates: plan.tolerates } : {}),
  };
};
type StartRole = (runtime: Runtime, options: never) => Promise<Node>;
const boot = (plan: RepairPlan, simulated: World, process: ClusterProcess): void => {
  const { role, host } = process;
  const checked = configSchema.options(role, optionsOf(plan, process));
  if (!checked.ok) throw new Error(JSON.stringify(checked.problems));
  const { incarnation } = host;
  const started = (roles[role] as StartRole)(simulated.runtime(host), checked.value as never);
  void started.then((node) => {
    if (host.incarnation === incarnation) process.node = node;
  });
};

/** Starts a new cluster of coordinators and stores. */
export const openRepairCluster = (plan: RepairPlan): RepairCluster => {
  const simulated = openWorld(plan);
  const processes: ClusterProcess[] = [];
  const counters = { coordinator: 0, store: 0 };
  const start = (process: ClusterProcess): void => boot(plan, simulated, process);
  const add: RepairCluster['add'] = (role, seeds = [...founders]) => {
    const i = ++counters[role];
    const ip = `${networks[role]}.${i}`;
    const host = simulated.host(ip, `z${i % 3}`);
    if (plan.syncTimeFactor) host.disk.syncTimeFactor = plan.syncTimeFactor;
    const started: ClusterProcess = {
      role,
      address: `${ip}:7101`,
      host,
      node: undefined,
      diskEmptySince: simulated.now(),
      firstStart: simulated.now() === 0,
      seeds,
    };
    processes.push(started);
    start(started);
    return started;
  };
  const live: RepairCluster['live'] = (role) =>
    processes.filter((process) => process.role === role && process.host.alive);
  const leader = (): ClusterProcess | undefined =>
    live('coordinator').find((process) => process.node?.counts()['leads'] === 1);
  const groupSize = {
    coordinator: Math.min(plan.coordinators, Math.max(5, 2 * plan.tolerates + 1)),
    store: 2 * plan.tolerates + 1,
  };
  const full: RepairCluster['full'] = (role) => {
    const snapshot = leader()?.node?.membership.snapshot();
    if (!snapshot) return false;
    const group = snapshot.state.storeGroup;
    const members = role === 'coordinator' ? snapshot.members : group.members;
    const isSwept = role === 'coordinator' || (group.mark > 0 && group.swept === group.mark);
    return (
      isSwept &&
      members.length === groupSize[role] &&
      members.every((member) => live(role).some((process) => process.node?.id === member.id))
    );
  };
  for (let i = 0; i < plan.coordinators; i++) add('coordinator');
  for (let i = 0; i < plan.stores; i++) add('store');
  return { world: simulated, processes, live, leader, start, add, full };
};

/** Runs the world until a condition holds; returns the time that it took, Infinity if it exceeds `limit`. */
export const runUntil = async (
  cluster: RepairCluster,
  condition: () => boolean,
  limit: Microseconds,
): Promise<Microseconds> => {
  const startedAt = cluster.world.now();
  while (!condition()) {
    if (cluster.world.now() - startedAt > limit) return Infinity;
    await cluster.world.run(cluster.world.now() + pollInterval);
  }
  return cluster.world.now() - startedAt;
};
