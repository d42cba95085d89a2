// docs/CAPACITY.md: the size to design for, and what each role would hold and say at it, as slope times size. Prints
// every figure of the page.
import { fit } from './fit.js';
import type { Found, Measured, Slope } from './measure-capacity.js';

const day = 86_400;
/** The users' figures. */
export const size = {
  nodes: 380,
  control: 19,
  workers: 12_000,
  accelerators: 24_000,
  requests: 25_000,
  tokens: 12_000_000,
  firstTokenMs: 820,
  gapMs: 66,
  programs: 290_000,
  turns: 52,
  history: 480_000,
  tenants: 300,
  models: 33,
  regions: 6,
  zones: 14,
  changes: 7_900,
  inForceMs: 6_000,
  failed: 210,
  restarted: 940,
};
/** What a node may spend on control: microseconds of a core a second, bytes, bytes a second both ways. */
export const allowed = { cpu: 27_000, memory: 32e6, bytes: 12_000 };
/** What the users did not say, and the page has to take for something. */
export const taken = {
  /** A front and a pilot on each node; three towers, the other control machines are keepers. */
  processes: 2 * size.nodes + size.control,
  relays: size.nodes + size.control,
  bytesPerToken: 4,
  /** At least one route a tenant; at most each tenant with each model. */
  routes: [size.tenants, size.tenants * size.models] as const,
  /** One way between two regions. */
  regionMs: 30,
  /** How long a machine is out of service. */
  minutes: [1, 10, 60] as const,
};
/** What TCP and IP put before a frame that goes by itself. */
const header = 52;
const perFront = size.requests / size.nodes;
/** One turn of a program at a time: the most that run at once. */
const running = size.programs / size.nodes;
const turnKb = ((size.history / size.turns) * taken.bytesPerToken) / 1000;
/** The x of each measure at the size to design for. */
const sizeOf: Record<string, number> = {
  'process': taken.processes,
  'front': size.nodes,
  'relay': taken.relays,
  'worker': size.workers,
  'class': size.tenants,
  'route': taken.routes[1],
  'service': size.models,
  'turn': running,
  'program': running,
  'running turn': size.programs,
  'lasting item': 2 * size.nodes,
  'claimed key': size.requests * day,
  'process lost': (2 * size.nodes) / size.zones,
  'ms one way': taken.regionMs,
  'KB of value': turnKb,
};

export const figure = (n: number): string => {
  if (!Number.isFinite(n)) return 'never';
  const abs = Math.abs(n);
  if (abs >= 1e15 || (abs > 0 && abs < 1e-3)) return n.toExponential(1);
  const unit = (
    [
      [1e12, 'T'],
      [1e9, 'G'],
      [1e6, 'M'],
      [1e4, 'k'],
    ] as const
  ).find(([from]) => abs >= from);
  const of = unit === undefined ? 1 : unit[1] === 'k' ? 1e3 : unit[0];
  return `${Number((n / of).toPrecision(3))}${unit === undefined ? '' : ` ${unit[1]}`}`;
};
const amount = (n: number, unit: string): string => {
  const f = figure(n);
  return /[kMGT]$/.test(f) ? `${f}${unit}` : `${f} ${unit}`;
};
const ofCore = (used: number): string => `${figure(used / 1e4)}% of a core`;
const fitText = (s: Slope): string => {
  const [a, b] = [figure(s.fit.slope), figure(s.fit.base)];
  if (s.fit.shape === 'flat') return `${b}, flat`;
  return s.fit.shape === 'line' ? `${b} + ${a}·x` : s.fit.shape === 'log' ? `${b} + ${a}·ln x` : `${b}·x^${a}`;
};
export type Row = (...c: (string | number)[]) => void;
const head = (row: Row, ...c: string[]): void => {
  row(...c);
  row(...c.map(() => '---'));
};
export const slopeHead = ['what', 'unit', 'mark', 'points', 'fit', 'r²', 'at the size'];
export const slopeRows = (slopes: Slope[]): string[][] =>
  slopes.map((s) => {
    const x = sizeOf[s.by]!;
    const run = s.points.some(([p]) => p >= x * 0.95);
    return [
      s.name,
      s.unit,
      s.mark,
      s.points.map(([p, y]) => `${figure(p)}: ${figure(y)}`).join('; '),
      fitText(s),
      s.fit.r2.toFixed(3),
      `${figure(fit.at(s.fit, x))} (${figure(x)} × ${s.by}${run ? '' : ', carried on'})`,
    ];
  });

/** One row of what a role holds or says; `breaks` says at which size it passes what is allowed. */
export type Need = { role: string; what: string; by: string; value: string; part: string; breaks: string };
const ofAllowed = (value: number, most: number, what: string): string =>
  value >= 10 * most ? `${figure(value / most)} × ${what}` : `${figure((100 * value) / most)}% of ${what}`;

/** The slopes by name, and what they come to. */
type Known = {
  of: (name: string) => Slope;
  slope: (name: string) => number;
  at: (name: string, x?: number) => number;
  reaches: (name: string, y: number) => number;
};
const known = (slopes: Slope[]): Known => {
  const of = (name: string): Slope => {
    const s = slopes.find((x) => x.name === name);
    if (!s) throw new Error(`no slope ${name}`);
    return s;
  };
  return {
    of,
    slope: (name) => of(name).fit.slope,
    at: (name, x = sizeOf[of(name).by]!) => Math.max(0, fit.at(of(name).fit, x)),
    reaches: (name, y) => fit.reaches(of(name).fit, y),
  };
};
/** Bytes of one version of the ordered state, by how many routes there are. */
const versionBytes = (k: Known, routes: number): number =>
  k.at('a version, by roster') +
  k.slope('a version, by classes') * size.tenants +
  k.slope('a version, by services') * size.models +
  k.slope('a version, by routes') * routes;
/** How often a version goes in and out of a node, as fronts and pilots of the simulated net had it. */
const versionCopies = (k: Known): number => {
  const { points } = k.of('times that a version goes in and out of a node');
  return points.reduce((a, [, y]) => a + y, 0) / points.length;
};
const lostShare = taken.relays / (taken.relays + size.workers);
/** A machine that fails: two processes are ruled dead and two join; one that is restarted: they leave and join. */
const versionsForOurs = 4 * (size.failed + size.restarted) * lostShare;
const versionsADay = size.changes + versionsForOurs;

export const reckon = (slopes: Slope[]): Need[] => {
  const k = known(slopes);
  const { at, slope } = k;
  const from = (n: number, of: string): string =>
    n < 1 ? 'from the first' : `from ${figure(n < 1000 ? Math.ceil(n) : n)} ${of}`;
  const rows: Need[] = [];
  const add = (role: string, what: string, by: string, value: string, part: string, breaks: string): void =>
    void rows.push({ role, what, by, value, part, breaks });
  /** What does not grow breaks at any size, or at none. */
  const end = (value: number, most: number, breaks = 'from the first'): string => (value <= most ? 'holds' : breaks);
  const rate = (role: string, what: string, by: string, value: number, breaks?: string): void => {
    const part = ofAllowed(value, allowed.bytes, '12 KB/s');
    add(role, what, by, amount(value, 'B/s'), part, end(value, allowed.bytes, breaks));
  };
  const time = (role: string, what: string, by: string, value: number, breaks?: string): void =>
    add(
      role,
      what,
      by,
      ofCore(value),
      ofAllowed(value, allowed.cpu, '2.7% of a core'),
      end(value, allowed.cpu, breaks),
    );
  const held = (role: string, what: string, by: string, value: number, breaks?: string): void =>
    add(
      role,
      what,
      by,
      amount(value, 'B'),
      ofAllowed(value, allowed.memory, '32 MB'),
      end(value, allowed.memory, breaks),
    );
  const free = (role: string, what: string, by: string, value: string, part = '', breaks = ''): void =>
    add(role, what, by, value, part, breaks);

  // Bytes: a node is its front and its pilot; what comes in and what goes out.
  rate('node', 'heartbeats', 'constant', 2 * at('heartbeats of a process'));
  const rest = at('a pilot, idle, the rest') + at('a front, idle, the rest');
  rate('node', 'digests, news of the core, readiness', 'constant', rest);
  const heads = header * (at('frames at a node, idle, heartbeats') + at('frames at a node, idle, the rest'));
  rate('node', 'their TCP and IP headers', 'constant', heads);
  const idleBytes = 2 * at('heartbeats of a process') + rest + heads;
  rate('node', 'these three together', 'constant', idleBytes);
  const loadBytes = at('a load message, by turns that run');
  const pairs = 2 * slope('load while turns change') * loadBytes;
  const straight = 2 * at('load while turns change') * loadBytes;
  const perTurns = 'fronts × turns that run';
  rate('front', 'load, straight to every front', perTurns, straight, from(1 + allowed.bytes / pairs, 'fronts'));
  const idle = at('load, idle, at a front') + at('load, idle, at a pilot');
  const idleEach = slope('load, idle, at a front') + slope('load, idle, at a pilot');
  rate('node', 'load, while nothing runs', 'fronts', idle, from(allowed.bytes / idleEach, 'fronts'));
  const treeEach = (slope('load, idle, at a pilot') * loadBytes) / at('a load message, by turns that run', 0);
  rate('pilot', 'load, by the tree', perTurns, treeEach * size.nodes, from(allowed.bytes / treeEach, 'fronts'));
  const list = 'the list of workers, at a node';
  rate('node', list, 'workers', at(list), from(allowed.bytes / slope(list), 'workers'));
  const copies = versionCopies(k);
  for (const routes of taken.routes) {
    const bytes = versionBytes(k, routes);
    const name = `a version with ${figure(routes)} routes`;
    const most = (allowed.bytes * day) / (copies * bytes);
    free('tower', name, 'processes, classes, routes', amount(bytes, 'B'), ofAllowed(bytes, 2 ** 24, 'a frame'));
    rate(
      'node',
      `${name}, sent whole`,
      'the same × changes',
      (copies * bytes * versionsADay) / day,
      from(most, 'a day'),
    );
    const perByte = slope('a version read and passed on') / slope('a version, by roster');
    const reading = (2 * perByte * bytes * versionsADay) / day;
    const readMost = from((versionsADay * allowed.cpu) / reading, 'a day');
    time('node', `${name}, read and passed on`, 'the same × changes', reading, readMost);
  }
  const uses = (4 * at('what fronts say of one change, at a process') * size.changes) / day;
  const usesMost = (size.nodes * allowed.bytes) / uses;
  rate('node', 'acknowledgements of fronts', 'fronts × changes', uses, from(usesMost, 'fronts'));

  // Processor time.
  const round = at('a round of heartbeats');
  const roundMost = k.reaches('a round of heartbeats', allowed.cpu / 10);
  time('node', 'rounds of heartbeats, five a second', 'processes²', 10 * round, from(roundMost, 'processes'));
  const idleTime = 2 * k.of('a process on real sockets, idle').fit.base;
  time('node', 'two idle processes, whatever else', 'constant', idleTime);
  const takeIn = 100 * at('loads of the other fronts taken in');
  const takeMost = k.reaches('loads of the other fronts taken in', allowed.cpu / 100);
  time('front', 'loads taken in, a hundred times a second', perTurns, takeIn, from(takeMost, 'fronts'));
  const picks = perFront * at('a worker picked');
  const pickMost = k.reaches('a worker picked', 1e6 / perFront);
  free('front', 'workers picked', 'fronts²', ofCore(picks), 'data path', `${from(pickMost, 'fronts')}: a whole core`);
  const byPrograms = slope('a turn in the scheduler, by programs') * running;
  const turns = perFront * (at('a turn in the scheduler, by workers') + byPrograms);
  const turnMost = k.reaches('a turn in the scheduler, by workers', 1e6 / perFront - byPrograms);
  const turnEnd = `${from(turnMost, 'workers')}: a whole core`;
  free('front', 'turns in the scheduler', 'workers + programs', ofCore(turns), 'data path', turnEnd);

  // What an edge's own tables mean to its turns.
  const table = `${figure(running)} programs`;
  // A program whose end nobody saw stays for half an hour.
  const fewest = size.requests / (((10_000 - running) * size.nodes) / 1800);
  const tableEnd = `holds if spread; with ends unseen, not below ${figure(fewest)} turns a program`;
  free('front', "the scheduler's table", 'programs / fronts', table, `${figure(running / 100)}% of 10000`, tableEnd);
  const warm = 'turns that get the worker with their context';
  const warmEnd = `half of them: ${from((50 / k.of(warm).fit.base) ** (1 / slope(warm)), 'fronts')}`;
  free('front', warm, '1 / fronts', `${figure(at(warm))}%`, '10 of 24 slots free', warmEnd);

  // Memory.
  const empty = k.of('memory of all hollow nodes together').fit.base;
  held('process', 'a process of ours with nothing in it', 'constant', empty);
  const connections = at('connections of all of them') / taken.processes;
  free('process', 'connections, both ends', 'processes', figure(connections), '', 'holds');
  held('process', 'the roster', 'processes', at('memory of the roster'));
  held('process', 'the list of workers', 'workers', at('memory of the list'));
  const loadsMost = k.reaches('memory of the loads of others', allowed.memory);
  held('front', 'loads of the other fronts', 'turns', at('memory of the loads of others'), from(loadsMost, 'turns'));

  // The core and the seeds.
  const head_ = (5 * versionBytes(k, taken.routes[0]) * versionsADay) / day;
  free(
    'tower',
    'a head sends, with 300 routes',
    'versions',
    amount(head_, 'B/s'),
    'two members, three children',
    'holds',
  );
  const cold = at('a cold start, at the busiest seed');
  free('seed', 'a cold start of all', 'processes²', amount(cold, 'B'), `${figure(cold / 1.25e9)} s of 10 Gbit/s`);
  const inForce = 2 * at('news down the tree, 30 ms a hop') + 2 * taken.regionMs;
  const inForceOf = ofAllowed(inForce, size.inForceMs, '6 s');
  free(
    'tower',
    'a change in force, 30 ms a hop',
    'log relays',
    `${figure(inForce)} ms`,
    inForceOf,
    'holds if none is lost',
  );

  // Registers: charge and settle, a key's claim and its record, the turn that is kept.
  const [small, large] = [at('a change at a keeper', 1), at('a change at a keeper')];
  for (const [name, n] of [
    ['no keys', 2],
    ['a key for every request', 4],
  ] as const) {
    const cores = (size.requests * (n * small + large)) / 1e6;
    const groups = `${figure(Math.ceil(2 * cores))} groups at half a core`;
    const most = from(1e6 / (n * small + large), 'requests a second');
    free('keeper', `changes, ${name}`, 'requests', `${figure(cores)} cores at each of three`, groups, most);
  }
  const ownChange = 'a change at its front, for each keeper';
  const proposing = perFront * 3 * (2 * at(ownChange, 1) + at(ownChange));
  free('front', 'changes, no keys, three keepers each', 'requests', ofCore(proposing), 'data path', 'holds');
  const keys = at('memory of a keeper');
  const keysMost = `64 GB: ${from(64e9 / slope('memory of a keeper') / day, 'keyed requests a second')}`;
  free('keeper', 'keys of a day, a key for every request', 'requests', amount(keys, 'B'), 'in memory', keysMost);
  const oneHistory = size.history * taken.bytesPerToken;
  const histories = size.programs * oneHistory;
  const historiesMost = `64 GB: ${from(64e9 / oneHistory, 'programs')}`;
  free('keeper', 'kept turns under way, at most', 'programs', amount(histories, 'B'), 'in memory', historiesMost);
  const writing = amount(size.requests * turnKb * 1000, 'B/s');
  free('keeper', 'kept turns, written', 'requests', writing, 'to each of three disks');
  const remembered = 2 ** 20 * 24;
  const part = `${figure((100 * remembered) / oneHistory / running)}% of ${figure(running)} programs`;
  free('front', 'histories that it remembers', '24 MiB', figure(remembered / oneHistory), part, from(13, 'programs'));
  const reading = amount(size.requests * oneHistory, 'B/s');
  free('keeper', 'histories read, none remembered, at most', 'requests', reading, 'all keepers together');
  const [claim, charge] = ['a first change of a register', 'a further change by the same edge'];
  const before = at(claim!) + at(charge!) + 2 * taken.regionMs;
  const allOf = from(size.firstTokenMs / (slope(claim!) + slope(charge!) + 2), 'ms one way: all of it');
  const beforeOf = ofAllowed(before, size.firstTokenMs, '820 ms');
  free('front', 'claim, charge, chain across regions', 'ms one way', `${figure(before)} ms`, beforeOf, allOf);
  return rows;
};

export const failures = (slopes: Slope[]): [string, string][] => {
  const k = known(slopes);
  const { minutes } = taken;
  const gone = (perDay: number): string => minutes.map((m) => figure((perDay * m) / 1440)).join(', ');
  const all = size.failed + size.restarted;
  const [zone, region] = [size.nodes / size.zones, size.nodes / size.regions];
  const versions = k.at('versions when processes are lost at once');
  const step = 2 * taken.regionMs + 10;
  const zoneBytes = versions * versionCopies(k) * versionBytes(k, taken.routes[0]);
  const deltas = (2 * all * k.slope('the list of workers')) / day;
  const hour = (size.requests / size.regions) * 3600;
  const reserved = size.history * taken.bytesPerToken;
  const within = minutes.join(', ');
  return [
    ['machines that fail in a day, of all', `${figure((100 * size.failed) / (taken.relays + size.workers))}%`],
    ['our own fail in a day, by share', figure(size.failed * lostShare)],
    ['our own are restarted in a day, by share', figure(size.restarted * lostShare)],
    [`out of service at any moment, of all, if each is for ${within} minutes`, gone(all)],
    ['the same, our own by share', gone(all * lostShare)],
    ['changes of the list of workers a second', figure((2 * all) / day)],
    ['the same as deltas, to each node', amount(deltas, 'B/s')],
    ['versions a day for our own, by share', figure(versionsForOurs)],
    ['versions a day, if all were our own', figure(4 * all)],
    ['a lost zone: nodes, processes, workers', [zone, 2 * zone, size.workers / size.zones].map(figure).join(', ')],
    ['a lost zone: turns cut, at most', figure(size.programs / size.zones)],
    ['a lost zone: versions, one after the other', figure(versions)],
    [`the same in time, ${step} ms each`, `${figure((versions * step) / 1000)} s; pushes are unconfirmed until then`],
    ['a lost zone: sent to and by each node left, 300 routes', amount(zoneBytes, 'B')],
    ['reserved for one cut turn, and stays charged', `up to ${figure(reserved)} for ${figure(size.history)} tokens`],
    ["a region's hour, one core: fronts that refuse", figure(region)],
    ["a region's hour, one core: processes ruled dead", `${figure(2 * region)}, of which the roster names 64`],
    ["a region's hour, one core: requests refused", `up to ${figure(hour)}`],
    ["a region's hour, home regions, 1 in 100 programs away", `${figure(hour / 100)} refused on each side`],
  ];
};
/** The ways that were weighed, by what each sends or costs at the size; the first of each is today's. */
export const ways = (slopes: Slope[]): [piece: string, way: string, cost: string, holds: string][] => {
  const k = known(slopes);
  const { at, slope } = k;
  const out: [string, string, string, string][] = [];
  const bytes = (piece: string, way: string, value: number): void =>
    void out.push([piece, way, amount(value, 'B/s'), value <= allowed.bytes ? 'holds' : 'breaks']);
  const plain = (piece: string, way: string, cost: string, holds: boolean): void =>
    void out.push([piece, way, cost, holds ? 'holds' : 'breaks']);

  const load = 'what runs at workers';
  const perTurn = slope('a load message, by turns that run');
  const slots = size.workers * 24;
  bytes(
    load,
    'each front to each, whole, ten a second',
    2 * at('load while turns change') * at('a load message, by turns that run'),
  );
  bytes(load, 'each front to each, only deltas', 2 * 2 * size.requests * perTurn);
  bytes(load, 'one sum for all workers a second, from an aggregator in each region', size.workers * perTurn);
  const leased = (seconds: number): number => (2 * perTurn * slots) / size.nodes / seconds;
  bytes(load, 'slots leased to fronts for 10 s, renewed', leased(10));
  bytes(load, 'slots leased to fronts for 30 s, renewed', leased(30));

  const list = 'the list of workers';
  const changed = (2 * (size.failed + size.restarted) * slope('the list of workers')) / day;
  bytes(list, 'whole, every 1.5 s', at('the list of workers, at a node'));
  bytes(list, 'whole, when it changes', (at('the list of workers') * 4 * 2 * (size.failed + size.restarted)) / day);
  bytes(list, 'deltas, and the whole on a gap', 4 * changed);

  const state = 'versions';
  const copies = versionCopies(k);
  const route = slope('a version, by routes');
  const sent = (each: number): number => (copies * each * versionsADay) / day;
  bytes(state, 'whole, with 9900 routes', sent(versionBytes(k, taken.routes[1])));
  bytes(state, 'whole, with 300 routes', sent(versionBytes(k, taken.routes[0])));
  bytes(
    state,
    'roster apart from the configuration, both whole, 9900 routes',
    sent(versionBytes(k, taken.routes[1]) - at('a version, by roster')),
  );
  bytes(state, 'deltas, and the whole on a gap', sent(route));

  const say = 'acknowledgements of fronts';
  const uses = (4 * at('what fronts say of one change, at a process') * size.changes) / day;
  bytes(say, 'each tells everybody', uses);
  bytes(say, 'aggregated: relays tell the lowest mark below them upwards', (copies * 250 * size.changes) / day);

  // Together: what is idle today, and the ways that hold.
  const together = 'all control of a node';
  const beats = at('heartbeats of a process') + (header * at('frames at a node, idle, heartbeats')) / 2;
  const rest = at('a pilot, idle, the rest') + at('a front, idle, the rest');
  const restAll = rest + header * at('frames at a node, idle, the rest');
  const others = 4 * changed + sent(route) + (copies * 250 * size.changes) / day;
  bytes(together, 'two processes that beat five times a second, and nothing runs', 2 * beats + restAll);
  bytes(together, 'the same with what holds of the above, leases of 30 s', 2 * beats + restAll + others + leased(30));
  bytes(together, 'one process of a node beats for both', beats + restAll + others + leased(30));
  bytes(together, 'and only every 0.5 s (silence after 2.5 s)', (beats * 2) / 5 + restAll + others + leased(30));

  const ring = 'watchers on the ring';
  const round = at('a round of heartbeats');
  plain(ring, 'found anew for every node in every round', ofCore(10 * round), 10 * round <= allowed.cpu);
  const once = (2 * (round / taken.processes) * versionsADay) / day;
  plain(ring, 'found once a version', ofCore(once), once <= allowed.cpu);

  const keys = 'registers';
  const [small, large] = [at('a change at a keeper', 1), at('a change at a keeper')];
  const cores = (size.requests * (4 * small + large)) / 1e6;
  const processes = 3 * Math.ceil(2 * cores);
  const perMachine = processes / size.control;
  plain(keys, 'one group of three, each on one core', `${figure(cores)} cores each`, cores <= 1);
  plain(
    keys,
    'a replicated log with a leader for each shard',
    `${figure(cores)} cores, and a second without a leader`,
    false,
  );
  const many = `${figure(processes / 3)} groups, ${figure(processes)} processes, ${figure(perMachine)} a machine`;
  plain(keys, 'sharded: many groups, by the hash of the program, in its home region', many, true);
  const disk = 3 * size.programs * size.history * taken.bytesPerToken;
  plain(keys, 'kept turns in memory, three copies', `${amount(disk / size.control, 'B')} a machine`, false);
  plain(keys, 'kept turns on disk, three copies', `${amount(disk / size.control, 'B')} a machine`, true);
  const written = (3 * size.requests * turnKb * 1000) / size.control;
  plain(keys, 'the same, written', `${amount(written, 'B/s')} a machine`, true);

  const start = 'a cold start';
  const cold = at('a cold start, at the busiest seed');
  plain(start, 'three seeds answer with all they know', `${amount(cold, 'B')} from one seed`, false);
  const fromZone = (taken.processes * versionBytes(k, taken.routes[0])) / size.zones;
  plain(start, 'seeds name relays, each zone hands the state on', `${amount(fromZone, 'B')} in a zone`, true);
  return out;
};
const foundRows = (found: Found[]): string[][] =>
  found.map((f) => [f.what, f.points.map(([x, t]) => `${figure(x)}: ${t}`).join('; ')]);
export const needRows = (slopes: Slope[]): string[][] =>
  reckon(slopes).map((n) => [n.role, n.what, n.by, n.value, n.part, n.breaks]);

export const capacity = {
  /** All tables of the page, in its order. */
  print: (m: Required<Measured>, out: (line: string) => void): void => {
    const row: Row = (...c) => out(`| ${c.join(' | ')} |`);
    out('\n### Slopes\n');
    head(row, ...slopeHead);
    for (const r of slopeRows(m.slopes)) row(...r);
    out('\n### Checks at several sizes (simulated)\n');
    head(row, 'what', 'by fronts');
    for (const r of foundRows(m.found)) row(...r);
    out('\n### Tries that failed\n');
    head(row, 'what', 'what came of it');
    for (const f of m.failed) row(f.what, f.why);
    out('\n### What each role holds and says at the size (reckoned)\n');
    head(row, 'role', 'what', 'by', 'at the size', 'of what is allowed', 'breaks');
    for (const r of needRows(m.slopes)) row(...r);
    out('\n### Ways weighed (reckoned)\n');
    head(row, 'piece', 'way', 'at the size', 'against what is allowed');
    for (const r of ways(m.slopes)) row(...r);
    out('\n### Failures (reckoned)\n');
    head(row, 'what', 'how much');
    for (const r of failures(m.slopes)) row(...r);
  },
};
