// Timed runs of repair (§3.3, §6.5): coordinators and keepers in the simulated world, under load, with losses one after
// another. Shows how long a group bears less than it should, and whether anything acknowledged is lost.
import { chart } from '@thornsail/config-schema';
import { invariant, place, us, type Lens, type Place, type Us } from '@thornsail/runtime';
import { roles, type Node } from '@thornsail/thornsail';
import { world, type Host, type World } from './world.js';

export type GroupRole = 'tower' | 'keeper';
export type Loss = {
  /** Microseconds after the load began. */
  at: Us;
  role: GroupRole;
  /** So many members of the role at once. */
  count: number;
  /** `oldest`: those whose disks have lasted longest. */
  which: 'any' | 'oldest' | 'leader';
  /** `planned`: another one starts first, and after `backAfter` this one is told to end. */
  how: 'disk' | 'power' | 'process' | 'planned';
  /** Microseconds until a process starts again; `elsewhere`: an empty one at another address. */
  backAfter: Us;
  elsewhere?: boolean;
};
export type RepairPlan = {
  seed: number;
  towers: number;
  keepers: number;
  tolerates: number;
  /** Microseconds for a usual sync, and how many times slower the disks are. */
  diskTime: Us;
  slow?: number;
  /** Registers that are there before the first loss. */
  registers: number;
  losses: Loss[];
  /** Microseconds after the last return until what was acknowledged is read back. */
  settleFor: Us;
  log?: (line: string) => void;
};
export type RepairReport = {
  /** Acknowledged registers and configurations that were not read back, invariants broken, groups not full. */
  breaches: string[];
  /** For each loss: microseconds from the newcomers' start until the group is full and swept; Infinity if never. */
  fullAfter: Us[];
  acknowledged: number;
};

type Process = {
  role: GroupRole;
  at: Place;
  host: Host;
  node: Node | undefined;
  diskSince: Us;
  firstStart: boolean;
  seeds: Place[];
};

const step = us.ms(10);
const loadEvery = us.ms(40);
/** Wall time, microseconds: beyond the end of every run. */
const keptUntil = 9e15;
const config = {
  classes: { c: { kind: 'model', budgetTokens: 1000 } },
};

export type RepairStage = {
  w: World;
  processes: Process[];
  live: (role: GroupRole) => Process[];
  leader: () => Process | undefined;
  start: (p: Process) => void;
  add: (role: GroupRole, seeds?: Place[]) => Process;
  /** Whether the group has its full size, all of it alive, and every change of it is complete. */
  full: (role: GroupRole) => boolean;
};

/** Coordinators and keepers alone, started together for the first time. */
export const openStage = (o: RepairPlan): RepairStage => {
  const w = world.open({
    seed: o.seed,
    zoneDelay: us.ms(1),
    clientDelay: us.ms(1),
    clientIp: '127.0.9.9',
    diskTime: o.diskTime,
  });
  if (o.log) w.logs((at, ip, part, text) => o.log!(`${(at / 1e6).toFixed(3)} ${ip} ${part}: ${text}`));
  const processes: Process[] = [];
  const networks = { tower: '127.0.3', keeper: '127.0.2' };
  const counters = { tower: 0, keeper: 0 };
  const founders: Place[] = [1, 2, 3].map((i) => `${networks.tower}.${i}:7101`);
  const boot = (p: Process): void => {
    const name = `${p.role}-${place.host(p.at).replaceAll('.', '-')}`;
    const options = {
      name,
      place: p.at,
      http: `${place.host(p.at)}:7100`,
      zone: p.host.zone,
      seeds: p.seeds,
      beatMs: 400,
      data: 'data',
      ...(p.role === 'tower'
        ? { founders: p.firstStart && founders.includes(p.at) ? founders : [], tolerates: o.tolerates }
        : {}),
    };
    const checked = chart.options(p.role, options);
    if (!checked.ok) throw new Error(JSON.stringify(checked.problems));
    const { inc } = p.host;
    void (roles[p.role] as (l: Lens, x: never) => Promise<Node>)(w.lens(p.host), checked.value as never).then(
      (node) => {
        if (p.host.inc === inc) p.node = node;
      },
    );
  };
  const add: RepairStage['add'] = (role, seeds = founders) => {
    const i = ++counters[role];
    const ip = `${networks[role]}.${i}`;
    const host = w.host(ip, `z${i % 3}`);
    if (o.slow) host.disk.slow = o.slow;
    const p: Process = {
      role,
      at: `${ip}:7101`,
      host,
      node: undefined,
      diskSince: w.now(),
      firstStart: w.now() === 0,
      seeds,
    };
    processes.push(p);
    boot(p);
    return p;
  };
  const live: RepairStage['live'] = (role) => processes.filter((p) => p.role === role && p.host.alive);
  const leader = (): Process | undefined => live('tower').find((p) => p.node?.counts()['leads'] === 1);
  const size = { tower: Math.min(o.towers, Math.max(5, 2 * o.tolerates + 1)), keeper: 2 * o.tolerates + 1 };
  const full: RepairStage['full'] = (role) => {
    const version = leader()?.node?.mooring.marked();
    if (!version) return false;
    const group = version.state.keepers;
    const members = role === 'tower' ? version.members : group.members;
    const settled = role === 'tower' || (group.mark > 0 && group.swept === group.mark);
    return (
      settled && members.length === size[role] && members.every((m) => live(role).some((p) => p.node?.id === m.id))
    );
  };
  for (let i = 0; i < o.towers; i++) add('tower');
  for (let i = 0; i < o.keepers; i++) add('keeper');
  return { w, processes, live, leader, start: boot, add, full };
};

const until = async (s: RepairStage, ok: () => boolean, limit: Us): Promise<Us> => {
  const begun = s.w.now();
  while (!ok()) {
    if (s.w.now() - begun > limit) return Infinity;
    await s.w.run(s.w.now() + step);
  }
  return s.w.now() - begun;
};

/** Writes registers one after another through any live keeper, and notes those that were acknowledged. */
const openLoad = (
  s: RepairStage,
): { write: (key: string) => Promise<boolean>; acknowledged: Map<string, string>; every: (span: Us) => void } => {
  const acknowledged = new Map<string, string>();
  const write = async (key: string): Promise<boolean> => {
    const nodes = s.live('keeper').flatMap((p) => (p.node ? [p.node] : []));
    const node = nodes[s.w.rand.int(Math.max(1, nodes.length))];
    if (!node) return false;
    try {
      await node.registers.change(key, () => ({ held: { value: key, until: keptUntil }, result: true }), us.s(2), {
        fresh: true,
      });
      acknowledged.set(key, key);
      return true;
    } catch {
      return false;
    }
  };
  let n = 0;
  const every = (end: Us): void => {
    void write(`load/${++n}`);
    if (s.w.now() + loadEvery < end) s.w.at(s.w.now() + loadEvery, () => every(end));
  };
  return { write, acknowledged, every };
};
/** Changes of configuration, each on the one before, and the newest that was acknowledged. */
const openPushes = (s: RepairStage): { every: (end: Us) => void; newest: () => number } => {
  let newest = 0;
  let n = 0;
  const push = async (): Promise<void> => {
    const nodes = [...s.live('tower'), ...s.live('keeper')].flatMap((p) => (p.node ? [p.node] : []));
    const node = nodes[s.w.rand.int(Math.max(1, nodes.length))];
    if (!node) return;
    try {
      const { state } = (await node.control.read()).value;
      const r = await node.control.push({ id: `p${++n}`, base: state.config.mark, how: 'whole', body: config });
      if (r.ok) newest = Math.max(newest, r.mark);
    } catch {
      // Not acknowledged: nothing to hold it to.
    }
  };
  const every = (end: Us): void => {
    void push();
    if (s.w.now() + 5 * loadEvery < end) s.w.at(s.w.now() + 5 * loadEvery, () => every(end));
  };
  return { every, newest: () => newest };
};

const chosen = (s: RepairStage, loss: Loss): Process[] => {
  const all = s.live(loss.role);
  const members = new Set(
    (loss.role === 'tower'
      ? s.leader()?.node?.mooring.marked()?.members
      : s.leader()?.node?.mooring.state()?.keepers.members
    )?.map((m) => m.at) ?? all.map((p) => p.at),
  );
  const own = all.filter((p) => members.has(p.at));
  const pool = own.length >= loss.count ? own : all;
  if (loss.which === 'leader') return [s.leader() ?? pool[0]!];
  const mixed = pool.map((p) => ({ p, by: loss.which === 'oldest' ? p.diskSince : s.w.rand.next() }));
  return mixed
    .sort((a, b) => a.by - b.by)
    .slice(0, loss.count)
    .map((x) => x.p);
};
/** What starts after a loss: the process at its address, with or without its disk, or an empty one elsewhere. */
const restart = (s: RepairStage, loss: Loss, p: Process): void => {
  if (loss.elsewhere) {
    const known = s.live('tower').slice(0, 3);
    s.add(
      loss.role,
      known.map((x) => x.at),
    );
    return;
  }
  s.w.start(p.host);
  p.firstStart = false;
  if (loss.how === 'disk') p.diskSince = s.w.now();
  s.start(p);
};
/** Others start in their stead first, then these are told to end, and their disks go with them. */
const replaceInOrder = (s: RepairStage, loss: Loss, returned: () => void): void => {
  const leaving = chosen(s, loss);
  const known = s.live('tower').slice(0, 3);
  for (let i = 0; i < leaving.length; i++)
    s.add(
      loss.role,
      known.map((x) => x.at),
    );
  s.w.at(s.w.now() + loss.backAfter, () => {
    returned();
    for (const p of leaving)
      void p.node?.drain().then(() => {
        p.node = undefined;
        s.w.kill(p.host, 'disk');
      });
  });
};
/** A loss of some processes; `returned` is called at the moment at which they, or others, start again. */
const lose = (s: RepairStage, loss: Loss, returned: () => void): void => {
  if (loss.how === 'planned') return replaceInOrder(s, loss, returned);
  const { how } = loss;
  const lost = chosen(s, loss);
  for (const p of lost) {
    p.node = undefined;
    s.w.kill(p.host, how);
  }
  s.w.at(s.w.now() + loss.backAfter, () => {
    for (const p of lost) restart(s, loss, p);
    returned();
  });
};

const readBack = async (s: RepairStage, keys: string[], newest: number): Promise<string[]> => {
  const out: string[] = [];
  const node = s.live('keeper').find((p) => p.node)?.node;
  if (!node) return ['no keeper is up'];
  let done = false;
  const work = async (): Promise<void> => {
    for (let i = 0; i < keys.length; i += 64) {
      const some = keys.slice(i, i + 64);
      const got = await node.registers.readMany(some, us.s(3)).catch((e: unknown) => String(e));
      if (typeof got === 'string') out.push(`${some.length} registers could not be read: ${got}`);
      else for (const [j, v] of got.entries()) if (v !== some[j]) out.push(`register ${some[j]!} is gone`);
    }
    const r = await node.control.read().catch((e: unknown) => String(e));
    if (typeof r === 'string') out.push(`the configuration could not be read: ${r}`);
    else if (r.value.state.config.mark < newest)
      out.push(`configuration ${newest} was acknowledged, ${r.value.state.config.mark} is there`);
    done = true;
  };
  void work();
  if ((await until(s, () => done, us.s(60))) === Infinity) out.push('reading back did not end');
  return out.slice(0, 5);
};

/** One run: formation, a state under load, the losses in their order, and what was acknowledged read back. */
export const repairRun = async (o: RepairPlan): Promise<RepairReport> => {
  invariant.clear();
  const s = openStage(o);
  const breaches: string[] = [];
  const formed = await until(s, () => s.full('tower') && s.full('keeper'), us.s(12));
  if (formed === Infinity) return { breaches: ['not formed within 12 s'], fullAfter: [], acknowledged: 0 };
  const load = openLoad(s);
  const pushes = openPushes(s);
  let written = 0;
  for (let i = 0; i < o.registers; i += 50) {
    for (let j = i; j < Math.min(o.registers, i + 50); j++) void load.write(`state/${j}`).then(() => (written += 1));
    await until(s, () => written >= Math.min(o.registers, i + 50), us.s(10));
  }
  const begun = s.w.now();
  const last = Math.max(0, ...o.losses.map((l) => l.at + l.backAfter));
  load.every(begun + last + us.s(1));
  pushes.every(begun + last + us.s(1));
  const fullAfter: Us[] = o.losses.map(() => Infinity);
  const returned: { loss: Loss; i: number; at: Us }[] = [];
  for (const [i, loss] of o.losses.entries())
    s.w.at(begun + loss.at, () => lose(s, loss, () => void returned.push({ loss, i, at: s.w.now() })));
  const end = begun + last + o.settleFor;
  while (s.w.now() < end) {
    await s.w.run(s.w.now() + step);
    for (const r of returned) if (fullAfter[r.i] === Infinity && s.full(r.loss.role)) fullAfter[r.i] = s.w.now() - r.at;
  }
  for (const role of ['tower', 'keeper'] as const)
    if (!s.full(role)) breaches.push(`the group of ${role}s is not full`);
  breaches.push(...invariant.breaches(), ...(await readBack(s, [...load.acknowledged.keys()], pushes.newest())));
  return { breaches, fullAfter, acknowledged: load.acknowledged.size + pushes.newest() };
};

const small = { towers: 5, keepers: 3, tolerates: 1, diskTime: us.ms(2), registers: 300, settleFor: us.s(8) };
const grown = { ...small, towers: 8, keepers: 8, tolerates: 2, diskTime: us.ms(12) };
/** Two losses: the second one comes when the first has had its time to catch up, to the millisecond. */
const twice = (first: Omit<Loss, 'at'>, catchUp: Us, second: Partial<Loss> = {}): Loss[] => [
  { ...first, at: us.s(1) },
  { ...first, which: 'oldest', at: us.s(1) + first.backAfter + catchUp, ...second },
];
type NamedPlan = { name: string; plan: Omit<RepairPlan, 'seed'>; within?: Us };
const wiped = { count: 1, which: 'any', how: 'disk', backAfter: us.ms(600) } as const;
/** A group is full while the one that leaves is in it, and again without it. */
const handover = { role: 'keeper', count: 1, which: 'any', how: 'planned', backAfter: us.s(4.8) } as const;
export const repairPlans: NamedPlan[] = [
  {
    name: 'three keepers: one is replaced as planned, and 1.5 s after its end is asked for the oldest loses its disk',
    plan: { ...small, losses: twice(handover, us.s(1.5), { how: 'disk', backAfter: us.ms(600) }) },
  },
  {
    name: 'three coordinators: one is replaced as planned, then the oldest loses its disk',
    plan: {
      ...small,
      towers: 3,
      losses: twice({ ...handover, role: 'tower' }, us.s(1.5), { how: 'disk', backAfter: us.ms(600) }),
    },
  },
  {
    name: 'three coordinators: one loses its disk, right after its catch-up the oldest does',
    plan: { ...small, towers: 3, losses: twice({ ...wiped, role: 'tower' }, us.s(4)) },
  },
  {
    name: 'three coordinators: the leader loses its disk, then the oldest',
    plan: { ...small, towers: 3, losses: twice({ ...wiped, role: 'tower', which: 'leader' }, us.s(4)) },
  },
  {
    name: 'five coordinators: one loses its disk, then the oldest',
    plan: { ...small, losses: twice({ ...wiped, role: 'tower' }, us.s(4)) },
  },
  {
    name: 'three keepers: one loses its disk, then the oldest',
    plan: { ...small, losses: twice({ ...wiped, role: 'keeper' }, us.s(4)) },
  },
  {
    name: 'three keepers at slow disks: one loses its disk, then the oldest',
    plan: { ...small, slow: 25, losses: twice({ ...wiped, role: 'keeper' }, us.s(4)) },
    within: us.s(2),
  },
  {
    name: 'three keepers: one loses its disk, then one loses its power',
    plan: { ...small, losses: twice({ ...wiped, role: 'keeper' }, us.s(4), { how: 'power', backAfter: us.s(2) }) },
  },
  {
    name: 'three keepers: one is replaced at another address, then the oldest loses its disk',
    plan: {
      ...small,
      losses: twice({ ...wiped, role: 'keeper', elsewhere: true, backAfter: us.s(2) }, us.s(4.8), { elsewhere: false }),
    },
  },
  {
    name: 'five of eight keepers: two lose their disks together, then the two oldest',
    plan: { ...grown, losses: twice({ ...wiped, role: 'keeper', count: 2, backAfter: us.s(2) }, us.s(6)) },
  },
  {
    name: 'five of eight coordinators: two lose their disks together, then the two oldest',
    plan: { ...grown, losses: twice({ ...wiped, role: 'tower', count: 2, backAfter: us.s(2) }, us.s(6)) },
  },
];
