// What each role stores and sends at the design size, computed as slope times size.
import { amount, figure, shareOfAllowed, coreShare } from './figure.js';
import { type Known, known as slopesByName, versionBytes, versionCopies, versionsADay } from './known.js';
import { allowed, day, header, perGateway, running, size, taken, turnKb } from './size.js';
import type { Slope } from './slope.js';

/** A row of what a role stores or sends; `breaks` is the size from which it exceeds its limit. */
export type Need = { role: string; what: string; by: string; value: string; part: string; breaks: string };

/** The rows, and a function that adds each kind of row; figures are per node at the design size. */
type NeedTable = {
  rows: Need[];
  /** Bytes a second. */
  rate: (role: string, what: string, by: string, value: number, breaks?: string) => void;
  /** Microseconds of processor time a second. */
  time: (role: string, what: string, by: string, value: number, breaks?: string) => void;
  /** Bytes of memory. */
  held: (role: string, what: string, by: string, value: number, breaks?: string) => void;
  /** A formatted figure, with the limit that it is a part of. */
  free: (role: string, what: string, by: string, value: string, part?: string, breaks?: string) => void;
};
type Topic = (known: Known, table: NeedTable) => void;

/** Formats the size from which a limit is exceeded. */
const fromSize = (count: number, unit: string): string =>
  count < 1 ? 'from the first' : `from ${figure(count < 1000 ? Math.ceil(count) : count)} ${unit}`;

/** `holds` within the limit; else the size from which it is exceeded, for constant figures from the first node on. */
const verdict = (value: number, limit: number, breaks = 'from the first'): string =>
  value <= limit ? 'holds' : breaks;

const needTable = (): NeedTable => {
  const rows: Need[] = [];
  const add = (role: string, what: string, by: string, value: string, part: string, breaks: string): void =>
    void rows.push({ role, what, by, value, part, breaks });
  const rate = (role: string, what: string, by: string, value: number, breaks?: string): void => {
    const part = shareOfAllowed(value, allowed.bytes, '12 KB/s');
    add(role, what, by, amount(value, 'B/s'), part, verdict(value, allowed.bytes, breaks));
  };
  const time = (role: string, what: string, by: string, value: number, breaks?: string): void =>
    add(
      role,
      what,
      by,
      coreShare(value),
      shareOfAllowed(value, allowed.cpu, '2.7% of a core'),
      verdict(value, allowed.cpu, breaks),
    );
  const held = (role: string, what: string, by: string, value: number, breaks?: string): void =>
    add(
      role,
      what,
      by,
      amount(value, 'B'),
      shareOfAllowed(value, allowed.memory, '32 MB'),
      verdict(value, allowed.memory, breaks),
    );
  const free = (role: string, what: string, by: string, value: string, part = '', breaks = ''): void =>
    add(role, what, by, value, part, breaks);
  return { rows, rate, time, held, free };
};

/** The quantity that load reports between gateways grow with. */
const perTurns = 'gateways × turns that run';

/** Bytes that a node sends and receives; a node is its gateway and its agent. */
const bytesOfNodes: Topic = ({ at, slope }, { rate }) => {
  rate('node', 'heartbeats', 'constant', 2 * at('heartbeats of a process'));
  const rest = at('an agent, idle, the rest') + at('a gateway, idle, the rest');
  rate('node', 'digests, news of the core, readiness', 'constant', rest);
  const heads = header * (at('frames at a node, idle, heartbeats') + at('frames at a node, idle, the rest'));
  rate('node', 'their TCP and IP headers', 'constant', heads);
  const idleBytes = 2 * at('heartbeats of a process') + rest + heads;
  rate('node', 'these three together', 'constant', idleBytes);
  const loadBytes = at('a load message, by turns that run');
  const pairs = 2 * slope('load while turns change') * loadBytes;
  const straight = 2 * at('load while turns change') * loadBytes;
  rate(
    'gateway',
    'load, straight to every gateway',
    perTurns,
    straight,
    fromSize(1 + allowed.bytes / pairs, 'gateways'),
  );
  const idle = at('load, idle, at a gateway') + at('load, idle, at an agent');
  const idleEach = slope('load, idle, at a gateway') + slope('load, idle, at an agent');
  rate('node', 'load, while nothing runs', 'gateways', idle, fromSize(allowed.bytes / idleEach, 'gateways'));
  const treeEach = (slope('load, idle, at an agent') * loadBytes) / at('a load message, by turns that run', 0);
  rate('agent', 'load, by the tree', perTurns, treeEach * size.nodes, fromSize(allowed.bytes / treeEach, 'gateways'));
  const list = 'the list of workers, at a node';
  rate('node', list, 'workers', at(list), fromSize(allowed.bytes / slope(list), 'workers'));
};

/** Snapshots that are sent in full, decoded and forwarded, and their acknowledgements. */
const versions: Topic = (known, { rate, time, free }) => {
  const { at, slope } = known;
  const copies = versionCopies(known);
  for (const routes of taken.routes) {
    const bytes = versionBytes(known, routes);
    const name = `a version with ${figure(routes)} routes`;
    const most = (allowed.bytes * day) / (copies * bytes);
    free(
      'coordinator',
      name,
      'processes, classes, routes',
      amount(bytes, 'B'),
      shareOfAllowed(bytes, 2 ** 24, 'a frame'),
    );
    rate(
      'node',
      `${name}, sent whole`,
      'the same × changes',
      (copies * bytes * versionsADay) / day,
      fromSize(most, 'a day'),
    );
    const perByte = slope('a version read and passed on') / slope('a version, by roster');
    const reading = (2 * perByte * bytes * versionsADay) / day;
    const readMost = fromSize((versionsADay * allowed.cpu) / reading, 'a day');
    time('node', `${name}, read and passed on`, 'the same × changes', reading, readMost);
  }
  const uses = (4 * at('what gateways say of one change, at a process') * size.changes) / day;
  const usesMost = (size.nodes * allowed.bytes) / uses;
  rate('node', 'acknowledgements of gateways', 'gateways × changes', uses, fromSize(usesMost, 'gateways'));
};

/** Processor time of a node and of its gateway. */
const processorTime: Topic = (known, { time, free }) => {
  const { at, slope } = known;
  const roundCost = at('a round of heartbeats');
  const roundMost = known.sizeFor('a round of heartbeats', allowed.cpu / 10);
  time('node', 'rounds of heartbeats, five a second', 'processes²', 10 * roundCost, fromSize(roundMost, 'processes'));
  const idleTime = 2 * known.slopeNamed('a process on real sockets, idle').fit.base;
  time('node', 'two idle processes, whatever else', 'constant', idleTime);
  const takeIn = 100 * at('loads of the other gateways taken in');
  const takeMost = known.sizeFor('loads of the other gateways taken in', allowed.cpu / 100);
  time('gateway', 'loads taken in, a hundred times a second', perTurns, takeIn, fromSize(takeMost, 'gateways'));
  const picks = perGateway * at('a worker picked');
  const pickMost = known.sizeFor('a worker picked', 1e6 / perGateway);
  free(
    'gateway',
    'workers picked',
    'gateways²',
    coreShare(picks),
    'data path',
    `${fromSize(pickMost, 'gateways')}: a whole core`,
  );
  const byPrograms = slope('a turn in the scheduler, by programs') * running;
  const turns = perGateway * (at('a turn in the scheduler, by workers') + byPrograms);
  const turnMost = known.sizeFor('a turn in the scheduler, by workers', 1e6 / perGateway - byPrograms);
  const turnEnd = `${fromSize(turnMost, 'workers')}: a whole core`;
  free('gateway', 'turns in the scheduler', 'workers + programs', coreShare(turns), 'data path', turnEnd);
};

/** The effects of the scheduler's per-gateway tables on turns. */
const schedulerTables: Topic = (known, { free }) => {
  const { at, slope } = known;
  const table = `${figure(running)} programs`;
  // A program whose end was not observed is removed after half an hour.
  const fewest = size.requests / (((10_000 - running) * size.nodes) / 1800);
  const tableEnd = `holds if spread; with ends unseen, not below ${figure(fewest)} turns a program`;
  free(
    'gateway',
    "the scheduler's table",
    'programs / gateways',
    table,
    `${figure(running / 100)}% of 10000`,
    tableEnd,
  );
  const warm = 'turns that get the worker with their context';
  const warmEnd = `half of them: ${fromSize((50 / known.slopeNamed(warm).fit.base) ** (1 / slope(warm)), 'gateways')}`;
  free('gateway', warm, '1 / gateways', `${figure(at(warm))}%`, '10 of 24 slots free', warmEnd);
};

/** Memory of a process and of its data structures. */
const memory: Topic = (known, { held, free }) => {
  const { at } = known;
  const empty = known.slopeNamed('memory of all hollow nodes together').fit.base;
  held('process', 'a process of ours with nothing in it', 'constant', empty);
  const connections = at('connections of all of them') / taken.processes;
  free('process', 'connections, both ends', 'processes', figure(connections), '', 'holds');
  held('process', 'the roster', 'processes', at('memory of the roster'));
  held('process', 'the list of workers', 'workers', at('memory of the list'));
  const loadsMost = known.sizeFor('memory of the loads of others', allowed.memory);
  held(
    'gateway',
    'loads of the other gateways',
    'turns',
    at('memory of the loads of others'),
    fromSize(loadsMost, 'turns'),
  );
};

/** What the coordinators and the seeds send. */
const coordinators: Topic = (known, { free }) => {
  const { at } = known;
  const leaderBytes = (5 * versionBytes(known, taken.routes[0]) * versionsADay) / day;
  free(
    'coordinator',
    'a head sends, with 300 routes',
    'versions',
    amount(leaderBytes, 'B/s'),
    'two members, three children',
    'holds',
  );
  const cold = at('a cold start, at the busiest seed');
  free('seed', 'a cold start of all', 'processes²', amount(cold, 'B'), `${figure(cold / 1.25e9)} s of 10 Gbit/s`);
  const inForce = 2 * at('news down the tree, 30 ms a hop') + 2 * taken.regionMs;
  const inForceOf = shareOfAllowed(inForce, size.inForceMs, '6 s');
  free(
    'coordinator',
    'a change in force, 30 ms a hop',
    'log relays',
    `${figure(inForce)} ms`,
    inForceOf,
    'holds if none is lost',
  );
};

/** Processor time of register changes: budget charge and settlement, claim and result of a key, the stored turn. */
const registerChanges: Topic = ({ at }, { free }) => {
  const [small, large] = [at('a change at a store', 1), at('a change at a store')];
  for (const [name, n] of [
    ['no keys', 2],
    ['a key for every request', 4],
  ] as const) {
    const cores = (size.requests * (n * small + large)) / 1e6;
    const groups = `${figure(Math.ceil(2 * cores))} groups at half a core`;
    const most = fromSize(1e6 / (n * small + large), 'requests a second');
    free('store', `changes, ${name}`, 'requests', `${figure(cores)} cores at each of three`, groups, most);
  }
  const ownChange = 'a change at its gateway, for each store';
  const proposing = perGateway * 3 * (2 * at(ownChange, 1) + at(ownChange));
  free('gateway', 'changes, no keys, three stores each', 'requests', coreShare(proposing), 'data path', 'holds');
};

/** What the stores hold and write for idempotency keys and turns. */
const keptState: Topic = ({ at, slope }, { free }) => {
  const keys = at('memory of a store');
  const keysMost = `64 GB: ${fromSize(64e9 / slope('memory of a store') / day, 'keyed requests a second')}`;
  free('store', 'keys of a day, a key for every request', 'requests', amount(keys, 'B'), 'in memory', keysMost);
  const oneHistory = size.history * taken.bytesPerToken;
  const histories = size.programs * oneHistory;
  const historiesMost = `64 GB: ${fromSize(64e9 / oneHistory, 'programs')}`;
  free('store', 'kept turns under way, at most', 'programs', amount(histories, 'B'), 'in memory', historiesMost);
  const writing = amount(size.requests * turnKb * 1000, 'B/s');
  free('store', 'kept turns, written', 'requests', writing, 'to each of three disks');
  const remembered = 2 ** 20 * 24;
  const part = `${figure((100 * remembered) / oneHistory / running)}% of ${figure(running)} programs`;
  free(
    'gateway',
    'histories that it remembers',
    '24 MiB',
    figure(remembered / oneHistory),
    part,
    fromSize(13, 'programs'),
  );
  const reading = amount(size.requests * oneHistory, 'B/s');
  free('store', 'histories read, none remembered, at most', 'requests', reading, 'all stores together');
  const [claim, charge] = ['a first change of a register', 'a further change by the same edge'];
  const before = at(claim) + at(charge) + 2 * taken.regionMs;
  const allOf = fromSize(size.firstTokenMs / (slope(claim) + slope(charge) + 2), 'ms one way: all of it');
  const beforeOf = shareOfAllowed(before, size.firstTokenMs, '820 ms');
  free('gateway', 'claim, charge, chain across regions', 'ms one way', `${figure(before)} ms`, beforeOf, allOf);
};

const topics = [
  bytesOfNodes,
  versions,
  processorTime,
  schedulerTables,
  memory,
  coordinators,
  registerChanges,
  keptState,
];

/** All rows of the table, in the order of docs/CAPACITY.md. */
export const computeNeeds = (slopes: Slope[]): Need[] => {
  const table = needTable();
  for (const topic of topics) topic(slopesByName(slopes), table);
  return table.rows;
};

/** The cells of the rows of `computeNeeds`. */
export const needRows = (slopes: Slope[]): string[][] =>
  computeNeeds(slopes).map((n) => [n.role, n.what, n.by, n.value, n.part, n.breaks]);
