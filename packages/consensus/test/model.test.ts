// The consensus state machine in very many orders of events (§3.3): random walks with every trouble, and every order of
// small cases to a depth.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { invariant } from '@thornsail/runtime';
import { checkRecovers, create, drain, leaderOf, nodeActions, packetActions, perform } from './model.js';
import { run, separate, settle } from './model.js';
import { replica } from '../src/replica.js';
import type { Action, Model, Values } from './model.js';

/** How many times the usual number of seeds is walked (`npm run verify:control`). */
const effort = Math.max(1, Number(process.env['MODEL_EFFORT'] ?? 1));
const chance = (seed: number): ((limit: number) => number) => {
  let a = seed * 2654435761;
  return (limit) => {
    a = (a + 0x6d2b79f5) | 0;
    let t = Math.imul(a ^ (a >>> 15), 1 | a);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) % limit;
  };
};

/** How often each kind of step is taken, when it can be. */
const weights: Record<Action['kind'], number> = {
  deliver: 30,
  expire: 1,
  lose: 1,
  duplicate: 1,
  sync: 40,
  crash: 2,
  'crash-after-sync': 2,
  restart: 10,
  wipe: 1,
  'disk-full': 1,
  'time-out': 5,
  heartbeat: 4,
  timer: 5,
  propose: 10,
  read: 6,
  freeze: 2,
  thaw: 6,
  cut: 0,
  heal: 0,
  add: 3,
  remove: 2,
  swap: 1,
};
const links = (model: Model): string[] =>
  model.nodes.flatMap((a) => model.nodes.filter((b) => b !== a).map((b) => `${a.at}>${b.at}`));

/**
 * A new state of the network and the clocks: all is well, one node is cut off (both ways, or one way only), or the
 * nodes fall into two parts. What was on its way across a cut arrives when it heals. The clocks of all but the leader
 * may jump, so that the others elect while it still takes itself for the leader.
 */
const changeRegime = (model: Model, pick: (limit: number) => number): void => {
  model.cut.clear();
  const leader = leaderOf(model)?.at;
  const lone = pick(2) && leader ? leader : model.nodes[pick(model.nodes.length)]!.at;
  const side = new Set(model.nodes.filter(() => pick(2)).map((node) => node.at));
  const kind = pick(6);
  for (const link of links(model)) {
    const [from, to] = link.split('>') as [string, string];
    const out = from === lone && (kind === 1 || kind === 2);
    const into = to === lone && (kind === 1 || kind === 3);
    if (out || into || (kind === 4 && side.has(from) !== side.has(to))) model.cut.add(link);
  }
  if (pick(3) === 0) return;
  for (const node of model.nodes) if (node.at !== leader) node.clock += 700_000;
};

/** One step of a kind that is chosen by weight. */
const walkStep = (model: Model, pick: (limit: number) => number): void => {
  if (pick(40) === 0) changeRegime(model, pick);
  const byKind = new Map<Action['kind'], Action[]>();
  for (const action of [...packetActions(model), ...model.nodes.flatMap((node) => nodeActions(model, node))])
    byKind.set(action.kind, [...(byKind.get(action.kind) ?? []), action]);
  const kinds = [...byKind.keys()];
  let left = pick(kinds.reduce((sum, kind) => sum + weights[kind], 0));
  for (const kind of kinds) {
    left -= weights[kind];
    if (left >= 0) continue;
    const actions = byKind.get(kind)!;
    return perform(model, actions[pick(actions.length)]!);
  }
};

const total = { commits: 0, reads: 0, memberChanges: 0, elections: 0, steps: 0 };
const walk = (members: number, spares: number, seed: number, steps: number): void => {
  invariant.clear();
  const pick = chance(seed);
  const model = create(members, spares);
  settle(model, 60);
  assert.ok(leaderOf(model), 'no leader at the start');
  for (let i = 0; i < steps && model.problems.length === 0; i++) walkStep(model, pick);
  if (model.problems.length === 0) checkRecovers(model);
  assert.equal(model.problems, [], `${members} members, seed ${seed}`);
  total.steps += steps;
  for (const name of ['commits', 'reads', 'memberChanges', 'elections'] as const) total[name] += model.counts[name];
};

const packetOf = (model: Model, kind: string, from: string, to: string): number =>
  [...model.packets].find(
    ([, one]) => one.message.kind === kind && one.from === from && one.to === to && !one.expired,
  )?.[0] ?? -1;
/** A group with a leader, and the addresses: the leader's first. */
const formed = (members: number, spares: number): { model: Model; at: string[] } => {
  invariant.clear();
  const model = create(members, spares);
  settle(model, 60);
  const leader = leaderOf(model)!.at;
  const others = model.nodes.slice(0, members).map((node) => node.at);
  return { model, at: [leader, ...others.filter((at) => at !== leader)] };
};

/** Two members that both miss the leader stand as candidates of one term, and the third has both requests. */
const twoCandidates = (): { model: Model; at: string[] } => {
  const { model, at } = formed(3, 0);
  const [leader, one, two] = at as [string, string, string];
  separate(model, [leader], [one, two]);
  for (const candidate of [one, two]) perform(model, { kind: 'time-out', at: candidate });
  for (const [from, to] of [
    [one, two],
    [two, one],
  ] as const) {
    perform(model, { kind: 'deliver', packet: packetOf(model, 'pre-vote', from, to) });
    perform(model, { kind: 'deliver', packet: packetOf(model, 'pre-vote', from, to) });
  }
  for (const candidate of [one, two]) perform(model, { kind: 'sync', at: candidate });
  for (const node of model.nodes.filter((node) => node.at !== leader)) assert.is(node.state?.role, 'candidate');
  model.cut.clear();
  return { model, at };
};
/** Then each candidate that won takes a change of its own. */
const letBothLead = (model: Model, at: string[]): void => {
  for (const candidate of at.slice(1)) {
    perform(model, { kind: 'sync', at: candidate });
    perform(model, { kind: 'propose', at: candidate });
  }
  drain(model);
  checkRecovers(model);
  assert.equal(model.problems, []);
};
test('a voter gives one vote in a term', () => {
  const { model, at } = twoCandidates();
  const [voter, one, two] = at as [string, string, string];
  for (const candidate of [one, two]) {
    const packet = packetOf(model, 'vote', candidate, voter);
    perform(model, { kind: 'deliver', packet });
    perform(model, { kind: 'sync', at: voter });
    perform(model, { kind: 'deliver', packet });
  }
  assert.is(model.nodes.filter((node) => node.state?.writing?.continuation.kind === 'take-over').length, 1);
  letBothLead(model, at);
});
test('a voter that loses its power before its vote is synced has not voted', () => {
  const { model, at } = twoCandidates();
  const [voter, one, two] = at as [string, string, string];
  const first = packetOf(model, 'vote', one, voter);
  perform(model, { kind: 'deliver', packet: first });
  if (model.packets.get(first)?.phase === 'answered') perform(model, { kind: 'deliver', packet: first });
  perform(model, { kind: 'crash', at: voter });
  perform(model, { kind: 'restart', at: voter });
  const second = packetOf(model, 'vote', two, voter);
  perform(model, { kind: 'deliver', packet: second });
  perform(model, { kind: 'sync', at: voter });
  perform(model, { kind: 'deliver', packet: second });
  assert.is(model.nodes.filter((node) => node.state?.writing?.continuation.kind === 'take-over').length, 1);
  letBothLead(model, at);
});
test('a member whose list is two changes old does not lead without a quorum of the newest list', () => {
  const { model, at } = formed(3, 1);
  const [leader, old, middle] = at as [string, string, string];
  const spare = model.nodes[3]!;
  const newcomer = { id: spare.id, at: spare.at };
  separate(model, [old], [leader, middle, spare.at]);
  perform(model, { kind: 'add', at: leader, member: newcomer });
  run(model, 4);
  separate(model, [middle], [leader, spare.at]);
  const removed = model.nodes.find((node) => node.at === old)!;
  perform(model, { kind: 'remove', at: leader, member: { id: removed.id, at: old } });
  run(model, 4);
  perform(model, { kind: 'propose', at: leader });
  run(model, 4);
  const value = model.next - 1;
  assert.ok(model.confirmed.includes(value));
  // The two that miss what came last meet; then the leader is gone and the newcomer is back.
  separate(model, [old], [middle], 'heal');
  const second = model.nodes.find((node) => node.at === middle)!;
  second.clock += 700_000;
  perform(model, { kind: 'time-out', at: old });
  drain(model);
  perform(model, { kind: 'freeze', at: leader });
  separate(model, [old, middle], [spare.at], 'heal');
  run(model, 8);
  checkRecovers(model);
  assert.ok(model.chosen.at(-1)!.state.includes(value));
  assert.equal(model.problems, []);
});
test('a candidate that learns of a member from its voters asks that member too', () => {
  const { model, at } = formed(3, 1);
  const [leader, old, middle] = at as [string, string, string];
  const spare = model.nodes[3]!;
  separate(model, [old], [leader, middle, spare.at]);
  perform(model, { kind: 'add', at: leader, member: { id: spare.id, at: spare.at } });
  run(model, 4);
  perform(model, { kind: 'crash', at: leader });
  separate(model, [old], [middle, spare.at], 'heal');
  for (const node of model.nodes) node.clock += 700_000;
  perform(model, { kind: 'time-out', at: old });
  drain(model);
  assert.is(leaderOf(model)?.at, old);
  assert.is(leaderOf(model)?.state?.committed?.members.length, 4);
  assert.equal(model.problems, []);
});
test('after a close everyone that asks is answered', () => {
  const { model, at } = formed(3, 0);
  const { state, clock } = model.nodes.find((node) => node.at === at[0])!;
  const feed = (event: Parameters<typeof replica.step<Values>>[1]): string[] =>
    replica.step(state!, event, clock, () => 0).map((effect) => effect.type);
  feed({ type: 'propose', proposal: 1, change: (values) => ({ state: values, result: 0 }) });
  feed({ type: 'request', call: 1, from: at[1]!, message: { kind: 'vote', to: state!.id, term: 9 } });
  assert.equal(
    feed({ type: 'close' }).filter((type) => type !== 'log'),
    ['proposal-outcome', 'refuse'],
  );
  assert.equal(feed({ type: 'propose', proposal: 2, change: (values) => ({ state: values, result: 0 }) }), [
    'proposal-outcome',
  ]);
  assert.equal(feed({ type: 'read', read: 1 }), ['read-outcome']);
  assert.equal(feed({ type: 'request', call: 2, from: at[1]!, message: { kind: 'discover' } }), ['refuse']);
});
test('founders that start in any order, one of them killed or emptied meanwhile, form one group', () => {
  let leaders = 0;
  for (let seed = 1; seed <= 600 * effort; seed++) {
    invariant.clear();
    const pick = chance(seed);
    const size = seed % 4 === 0 ? 5 : 3;
    const model = create(size, 0);
    const unlucky = model.nodes[pick(size)]!;
    for (const node of model.nodes) if (pick(2)) perform(model, { kind: 'crash', at: node.at });
    const troubleAt = pick(60);
    for (let i = 0; i < 120 && model.problems.length === 0; i++) {
      if (i === troubleAt) perform(model, { kind: pick(2) ? 'wipe' : 'crash', at: unlucky.at });
      const { at } = model.nodes[pick(size)]!;
      const node = model.nodes.find((one) => one.at === at)!;
      if (!node.up) perform(model, { kind: 'restart', at });
      else if (node.write && pick(3)) perform(model, { kind: 'sync', at });
      else if (pick(4) === 0) perform(model, { kind: 'time-out', at });
      const packets = packetActions(model).filter(({ kind }) => kind === 'deliver' || pick(8) === 0);
      if (packets.length) perform(model, packets[pick(packets.length)]!);
    }
    checkRecovers(model);
    assert.equal(model.problems, [], `seed ${seed}`);
    leaders += Number(leaderOf(model) !== undefined);
  }
  assert.is(leaders, 600 * effort);
});
test('three members and two spares in random orders', () => {
  for (let seed = 1; seed <= 400 * effort; seed++) walk(3, 2, seed, 300);
});
test('five members and two spares in random orders', () => {
  for (let seed = 1; seed <= 120 * effort; seed++) walk(5, 2, seed, 300);
});
test('the walks meet commits, reads, elections and changes of members', () => {
  process.stdout.write(`${JSON.stringify(total)}\n`);
  assert.ok(total.commits > 5000 && total.reads > 500 && total.elections > 1000 && total.memberChanges > 100);
});
test.run();
