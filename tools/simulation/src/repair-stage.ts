// The processes of a repair run (§3.3, §6.5): coordinators and stores in the simulated world, without edges.
import { configSchema } from '@thornsail/config-schema';
import { address, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { roles, type Node } from '@thornsail/thornsail';
import { world, type Host, type World } from './world/index.js';

/** A coordinator or a store. */
export type GroupRole = 'coordinator' | 'store';
/** A loss of some processes of a role, and their return. */
export type Loss = {
  /** Microseconds after the load began. */
  at: Microseconds;
  role: GroupRole;
  /** So many members of the role at once. */
  count: number;
  /** `oldest`: those whose disks have lasted longest. */
  which: 'any' | 'oldest' | 'leader';
  /** `planned`: another one starts first, and after `backAfter` this one is told to end. */
  how: 'disk' | 'power' | 'process' | 'planned';
  /** Microseconds until a process starts again; `elsewhere`: an empty one at another address. */
  backAfter: Microseconds;
  elsewhere?: boolean;
};
/** One run: sizes of the groups, disks, and the losses. */
export type RepairPlan = {
  seed: number;
  coordinators: number;
  stores: number;
  /** How many losses at once the groups bear. */
  tolerates: number;
  /** Microseconds for a usual sync, and how many times slower the disks are. */
  diskTime: Microseconds;
  slow?: number;
  /** Registers that are there before the first loss. */
  registers: number;
  losses: Loss[];
  /** Microseconds after the last return until what was acknowledged is read back. */
  settleFor: Microseconds;
  log?: (line: string) => void;
};
/** One address and what runs there. */
export type Process = {
  role: GroupRole;
  at: Address;
  host: Host;
  /** Undefined while it starts, and once it was lost. */
  node: Node | undefined;
  /** When its disk was last empty. */
  diskSince: Microseconds;
  firstStart: boolean;
  seeds: Address[];
};

/** The processes of one run and the world that they are in. */
export type RepairStage = {
  world: World;
  processes: Process[];
  /** Those whose process is up. */
  live: (role: GroupRole) => Process[];
  /** The coordinator that leads by its own word. */
  leader: () => Process | undefined;
  /** Starts the process with what its disk holds. */
  start: (process: Process) => void;
  /** Starts an empty process at a new address; `seeds` are the founders if absent. */
  add: (role: GroupRole, seeds?: Address[]) => Process;
  /** Whether the group has its full size, all of it alive, and every change of it is complete. */
  full: (role: GroupRole) => boolean;
};

const step = duration.ms(10);
/** Addresses of a role, but for their last byte. */
const networks: Record<GroupRole, string> = { coordinator: '127.0.3', store: '127.0.2' };
const founders: readonly Address[] = [1, 2, 3].map((i) => `${networks.coordinator}.${i}:7101`);

const openWorld = (plan: RepairPlan): World => {
  const simulated = world.open({
    seed: plan.seed,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    diskTime: plan.diskTime,
  });
  if (plan.log) simulated.onLog((at, ip, part, text) => plan.log!(`${(at / 1e6).toFixed(3)} ${ip} ${part}: ${text}`));
  return simulated;
};

const optionsOf = (plan: RepairPlan, { role, at, host, seeds, firstStart }: Process): unknown => {
  const founding = firstStart && founders.includes(at);
  return {
    name: `${role}-${address.host(at).replaceAll('.', '-')}`,
    place: at,
    http: `${address.host(at)}:7100`,
    zone: host.zone,
    seeds,
    beatMs: 400,
    data: 'data',
    ...(role === 'coordinator' ? { founders: founding ? founders : [], tolerates: plan.tolerates } : {}),
  };
};
type StartRole = (runtime: Runtime, options: never) => Promise<Node>;
const boot = (plan: RepairPlan, simulated: World, process: Process): void => {
  const { role, host } = process;
  const checked = configSchema.options(role, optionsOf(plan, process));
  if (!checked.ok) throw new Error(JSON.stringify(checked.problems));
  const { incarnation } = host;
  const started = (roles[role] as StartRole)(simulated.runtime(host), checked.value as never);
  void started.then((node) => {
    if (host.incarnation === incarnation) process.node = node;
  });
};

/** Coordinators and stores alone, started together for the first time. */
export const openStage = (plan: RepairPlan): RepairStage => {
  const simulated = openWorld(plan);
  const processes: Process[] = [];
  const counters = { coordinator: 0, store: 0 };
  const start = (process: Process): void => boot(plan, simulated, process);
  const add: RepairStage['add'] = (role, seeds = [...founders]) => {
    const i = ++counters[role];
    const ip = `${networks[role]}.${i}`;
    const host = simulated.host(ip, `z${i % 3}`);
    if (plan.slow) host.disk.slow = plan.slow;
    const started: Process = {
      role,
      at: `${ip}:7101`,
      host,
      node: undefined,
      diskSince: simulated.now(),
      firstStart: simulated.now() === 0,
      seeds,
    };
    processes.push(started);
    start(started);
    return started;
  };
  const live: RepairStage['live'] = (role) =>
    processes.filter((process) => process.role === role && process.host.alive);
  const leader = (): Process | undefined =>
    live('coordinator').find((process) => process.node?.counts()['leads'] === 1);
  const size = {
    coordinator: Math.min(plan.coordinators, Math.max(5, 2 * plan.tolerates + 1)),
    store: 2 * plan.tolerates + 1,
  };
  const full: RepairStage['full'] = (role) => {
    const version = leader()?.node?.membership.snapshot();
    if (!version) return false;
    const group = version.state.storeGroup;
    const members = role === 'coordinator' ? version.members : group.members;
    const settled = role === 'coordinator' || (group.mark > 0 && group.swept === group.mark);
    return (
      settled &&
      members.length === size[role] &&
      members.every((member) => live(role).some((process) => process.node?.id === member.id))
    );
  };
  for (let i = 0; i < plan.coordinators; i++) add('coordinator');
  for (let i = 0; i < plan.stores; i++) add('store');
  return { world: simulated, processes, live, leader, start, add, full };
};

/** Runs the world until `ok` holds; microseconds that it took, Infinity if more than `limit`. */
export const runUntil = async (stage: RepairStage, ok: () => boolean, limit: Microseconds): Promise<Microseconds> => {
  const begun = stage.world.now();
  while (!ok()) {
    if (stage.world.now() - begun > limit) return Infinity;
    await stage.world.run(stage.world.now() + step);
  }
  return stage.world.now() - begun;
};
