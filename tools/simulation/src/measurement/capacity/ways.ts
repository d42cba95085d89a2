// Alternative designs, compared at the design size.
import { amount, figure, coreShare } from './figure.js';
import { known, versionBytes, versionCopies, versionsADay } from './known.js';
import { allowed, day, header, size, taken, turnKb } from './size.js';
import type { Slope } from './slope.js';

/** The alternatives with their traffic or cost at the design size; the first of each piece is the current design. */
export const alternatives = (slopes: Slope[]): [piece: string, way: string, cost: string, holds: string][] => {
  const byName = known(slopes);
  const { at, slope } = byName;
  const rows: [string, string, string, string][] = [];
  const addRate = (piece: string, way: string, value: number): void =>
    void rows.push([piece, way, amount(value, 'B/s'), value <= allowed.bytes ? 'holds' : 'breaks']);
  const addRow = (piece: string, way: string, cost: string, holds: boolean): void =>
    void rows.push([piece, way, cost, holds ? 'holds' : 'breaks']);

  const load = 'what runs at workers';
  const perTurn = slope('a load message, by turns that run');
  const slots = size.workers * 24;
  addRate(
    load,
    'each gateway to each, whole, ten a second',
    2 * at('load while turns change') * at('a load message, by turns that run'),
  );
  addRate(load, 'each gateway to each, only deltas', 2 * 2 * size.requests * perTurn);
  addRate(load, 'one sum for all workers a second, from an aggregator in each region', size.workers * perTurn);
  const leased = (seconds: number): number => (2 * perTurn * slots) / size.nodes / seconds;
  addRate(load, 'slots leased to gateways for 10 s, renewed', leased(10));
  addRate(load, 'slots leased to gateways for 30 s, renewed', leased(30));

  const list = 'the list of workers';
  const deltaRate = (2 * (size.failed + size.restarted) * slope('the list of workers')) / day;
  addRate(list, 'whole, every 1.5 s', at('the list of workers, at a node'));
  addRate(list, 'whole, when it changes', (at('the list of workers') * 4 * 2 * (size.failed + size.restarted)) / day);
  addRate(list, 'deltas, and the whole on a gap', 4 * deltaRate);

  const state = 'versions';
  const copies = versionCopies(byName);
  const route = slope('a version, by routes');
  const versionRate = (each: number): number => (copies * each * versionsADay) / day;
  addRate(state, 'whole, with 9900 routes', versionRate(versionBytes(byName, taken.routes[1])));
  addRate(state, 'whole, with 300 routes', versionRate(versionBytes(byName, taken.routes[0])));
  addRate(
    state,
    'roster apart from the configuration, both whole, 9900 routes',
    versionRate(versionBytes(byName, taken.routes[1]) - at('a version, by roster')),
  );
  addRate(state, 'deltas, and the whole on a gap', versionRate(route));

  const acknowledgements = 'acknowledgements of gateways';
  const uses = (4 * at('what gateways say of one change, at a process') * size.changes) / day;
  addRate(acknowledgements, 'each tells everybody', uses);
  addRate(
    acknowledgements,
    'aggregated: relays tell the lowest mark below them upwards',
    (copies * 250 * size.changes) / day,
  );

  // Totals: the current idle traffic, and the alternatives that are within the limits.
  const together = 'all control of a node';
  const heartbeatBytes = at('heartbeats of a process') + (header * at('frames at a node, idle, heartbeats')) / 2;
  const rest = at('an agent, idle, the rest') + at('a gateway, idle, the rest');
  const restAll = rest + header * at('frames at a node, idle, the rest');
  const others = 4 * deltaRate + versionRate(route) + (copies * 250 * size.changes) / day;
  addRate(together, 'two processes that beat five times a second, and nothing runs', 2 * heartbeatBytes + restAll);
  addRate(
    together,
    'the same with what holds of the above, leases of 30 s',
    2 * heartbeatBytes + restAll + others + leased(30),
  );
  addRate(together, 'one process of a node beats for both', heartbeatBytes + restAll + others + leased(30));
  addRate(
    together,
    'and only every 0.5 s (silence after 2.5 s)',
    (heartbeatBytes * 2) / 5 + restAll + others + leased(30),
  );

  const ring = 'watchers on the ring';
  const round = at('a round of heartbeats');
  addRow(ring, 'found anew for every node in every round', coreShare(10 * round), 10 * round <= allowed.cpu);
  const once = (2 * (round / taken.processes) * versionsADay) / day;
  addRow(ring, 'found once a version', coreShare(once), once <= allowed.cpu);

  const keys = 'registers';
  const [small, large] = [at('a change at a store', 1), at('a change at a store')];
  const cores = (size.requests * (4 * small + large)) / 1e6;
  const processes = 3 * Math.ceil(2 * cores);
  const perMachine = processes / size.control;
  addRow(keys, 'one group of three, each on one core', `${figure(cores)} cores each`, cores <= 1);
  addRow(
    keys,
    'a replicated log with a leader for each shard',
    `${figure(cores)} cores, and a second without a leader`,
    false,
  );
  const many = `${figure(processes / 3)} groups, ${figure(processes)} processes, ${figure(perMachine)} a machine`;
  addRow(keys, 'sharded: many groups, by the hash of the program, in its home region', many, true);
  const disk = 3 * size.programs * size.history * taken.bytesPerToken;
  addRow(keys, 'kept turns in memory, three copies', `${amount(disk / size.control, 'B')} a machine`, false);
  addRow(keys, 'kept turns on disk, three copies', `${amount(disk / size.control, 'B')} a machine`, true);
  const written = (3 * size.requests * turnKb * 1000) / size.control;
  addRow(keys, 'the same, written', `${amount(written, 'B/s')} a machine`, true);

  const start = 'a cold start';
  const cold = at('a cold start, at the busiest seed');
  addRow(start, 'three seeds answer with all they know', `${amount(cold, 'B')} from one seed`, false);
  const fromZone = (taken.processes * versionBytes(byName, taken.routes[0])) / size.zones;
  addRow(start, 'seeds name relays, each zone hands the state on', `${amount(fromZone, 'B')} in a zone`, true);
  return rows;
};
