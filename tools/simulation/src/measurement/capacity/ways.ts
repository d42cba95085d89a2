// Other ways to do the same, weighed at the size to design for.
import { amount, figure, ofCore } from './figure.js';
import { known, versionBytes, versionCopies, versionsADay } from './known.js';
import { allowed, day, header, size, taken, turnKb } from './size.js';
import type { Slope } from './slope.js';

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
    'each gateway to each, whole, ten a second',
    2 * at('load while turns change') * at('a load message, by turns that run'),
  );
  bytes(load, 'each gateway to each, only deltas', 2 * 2 * size.requests * perTurn);
  bytes(load, 'one sum for all workers a second, from an aggregator in each region', size.workers * perTurn);
  const leased = (seconds: number): number => (2 * perTurn * slots) / size.nodes / seconds;
  bytes(load, 'slots leased to gateways for 10 s, renewed', leased(10));
  bytes(load, 'slots leased to gateways for 30 s, renewed', leased(30));

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

  const say = 'acknowledgements of gateways';
  const uses = (4 * at('what gateways say of one change, at a process') * size.changes) / day;
  bytes(say, 'each tells everybody', uses);
  bytes(say, 'aggregated: relays tell the lowest mark below them upwards', (copies * 250 * size.changes) / day);

  // Together: what is idle today, and the ways that hold.
  const together = 'all control of a node';
  const beats = at('heartbeats of a process') + (header * at('frames at a node, idle, heartbeats')) / 2;
  const rest = at('an agent, idle, the rest') + at('a gateway, idle, the rest');
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
  const [small, large] = [at('a change at a store', 1), at('a change at a store')];
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
