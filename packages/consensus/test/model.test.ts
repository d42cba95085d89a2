// The consensus state machine in many random orders of events (§3.3): random walks with every kind of failure, and
// constructed cases. `orders.test.ts` explores every order of small cases.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { invariant } from '@thornsail/runtime';
import { checkRecovers, createModel, runUntilIdle, leaderOf, nodeActions, packetActions, perform } from './model.js';
import { runTicks, setLinksBetween, healAndRun } from './model.js';
import { replica } from '../src/replica.js';
import type { Action, Model, Values } from './model.js';

/** A multiple of the usual number of seeds (`npm run verify:control`). */
const effort = Math.max(1, Number(process.env['MODEL_EFFORT'] ?? 1));
/** A seeded random source (mulberry32); returns integers from 0 (inclusive) to `limit` (exclusive). */
const randomFrom = (seed: number): ((limit: number) => number) => {
  let state = seed * 2654435761;
  return (limit) => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) % limit;
  };
};

/** A random step of a group that forms: a node is started, or goes on, and a packet arrives or is lost. */
const formationStep = (model: Model, pick: (limit: number) => number, stops?: () => boolean): void => {
  const node = model.nodes[pick(model.nodes.length)]!;
  if (!node.up) perform(model, { kind: 'restart', at: node.at });
  else if (stops?.()) perform(model, { kind: pick(2) ? 'crash' : 'crash-after-sync', at: node.at });
  else if (node.write && pick(3)) perform(model, { kind: 'sync', at: node.at });
  else if (pick(4) === 0) perform(model, { kind: 'time-out', at: node.at });
  const packets = packetActions(model).filter(({ kind }) => kind === 'deliver' || pick(8) === 0);
  if (packets.length) perform(model, packets[pick(packets.length)]!);
};

/** The relative frequency of each kind of action among the possible ones. */
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
 * Chooses a new state of the network and the clocks: no partition, one node isolated (in both directions or one), or
 * the nodes split into two parts. Packets on a cut link are delivered when it heals. The clocks of all nodes but the
 * leader may jump, so that the others hold an election while the leader still considers itself the leader.
 */
const changeNetwork = (model: Model, pick: (limit: number) => number): void => {
  model.cutLinks.clear();
  const leader = leaderOf(model)?.at;
  const isolated = pick(2) && leader ? leader : model.nodes[pick(model.nodes.length)]!.at;
  const side = new Set(model.nodes.filter(() => pick(2)).map((node) => node.at));
  const kind = pick(6);
  for (const link of links(model)) {
    const [from, to] = link.split('>') as [string, string];
    const isOutgoing = from === isolated && (kind === 1 || kind === 2);
    const isIncoming = to === isolated && (kind === 1 || kind === 3);
    if (isOutgoing || isIncoming || (kind === 4 && side.has(from) !== side.has(to))) model.cutLinks.add(link);
  }
  if (pick(3) === 0) return;
  for (const node of model.nodes) if (node.at !== leader) node.clock += 700_000;
};

/** Performs one random action, with its kind chosen by weight. */
const walkStep = (model: Model, pick: (limit: number) => number): void => {
  if (pick(40) === 0) changeNetwork(model, pick);
  const byKind = new Map<Action['kind'], Action[]>();
  for (const action of [...packetActions(model), ...model.nodes.flatMap((node) => nodeActions(model, node))])
    byKind.set(action.kind, [...(byKind.get(action.kind) ?? []), action]);
  const kinds = [...byKind.keys()];
  let remaining = pick(kinds.reduce((sum, kind) => sum + weights[kind], 0));
  for (const kind of kinds) {
    remaining -= weights[kind];
    if (remaining >= 0) continue;
    const actions = byKind.get(kind)!;
    return perform(model, actions[pick(actions.length)]!);
  }
};

const total = { commits: 0, reads: 0, memberChanges: 0, elections: 0, steps: 0 };
const walk = (members: number, spares: number, seed: number, steps: number): void => {
  invariant.clear();
  const pick = randomFrom(seed);
  const model = createModel(members, spares);
  healAndRun(model, 60);
  assert.ok(leaderOf(model), 'no leader at the start');
  for (let i = 0; i < steps && model.violations.length === 0; i++) walkStep(model, pick);
  if (model.violations.length === 0) checkRecovers(model);
  assert.equal(model.violations, [], `${members} members, seed ${seed}`);
  total.steps += steps;
  for (const name of ['commits', 'reads', 'memberChanges', 'elections'] as const) total[name] += model.counts[name];
};

const packetOf = (model: Model, kind: string, from: string, to: string): number =>
  [...model.packets].find(
    ([, packet]) => packet.message.kind === kind && packet.from === from && packet.to === to && !packet.expired,
  )?.[0] ?? -1;
/** A group with a leader, and the addresses of its members, the leader's first. */
const formedGroup = (members: number, spares: number): { model: Model; addresses: string[] } => {
  invariant.clear();
  const model = createModel(members, spares);
  healAndRun(model, 60);
  const leader = leaderOf(model)!.at;
  const memberAddresses = model.nodes.slice(0, members).map((node) => node.at);
  return { model, addresses: [leader, ...memberAddresses.filter((address) => address !== leader)] };
};

/**
 * Two members without contact with the leader are candidates in the same term; their vote requests to the former leader
 * are under way.
 */
const twoCandidates = (): { model: Model; addresses: string[] } => {
  const { model, addresses } = formedGroup(3, 0);
  const [leader, first, second] = addresses as [string, string, string];
  setLinksBetween(model, [leader], [first, second]);
  for (const candidate of [first, second]) perform(model, { kind: 'time-out', at: candidate });
  for (const [from, to] of [
    [first, second],
    [second, first],
  ] as const) {
    perform(model, { kind: 'deliver', packet: packetOf(model, 'pre-vote', from, to) });
    perform(model, { kind: 'deliver', packet: packetOf(model, 'pre-vote', from, to) });
  }
  for (const candidate of [first, second]) perform(model, { kind: 'sync', at: candidate });
  for (const node of model.nodes.filter((node) => node.at !== leader)) assert.is(node.state?.role, 'candidate');
  model.cutLinks.clear();
  return { model, addresses };
};
/** Lets each candidate that won propose a change, and checks the invariants. */
const letWinnersPropose = (model: Model, addresses: string[]): void => {
  for (const candidate of addresses.slice(1)) {
    perform(model, { kind: 'sync', at: candidate });
    perform(model, { kind: 'propose', at: candidate });
  }
  runUntilIdle(model);
  checkRecovers(model);
  assert.equal(model.violations, []);
};
test('a voter grants one vote in a term', () => {
  const { model, addresses } = twoCandidates();
  const [voter, first, second] = addresses as [string, string, string];
  for (const candidate of [first, second]) {
    const packet = packetOf(model, 'vote', candidate, voter);
    perform(model, { kind: 'deliver', packet });
    perform(model, { kind: 'sync', at: voter });
    perform(model, { kind: 'deliver', packet });
  }
  assert.is(model.nodes.filter((node) => node.state?.pendingWrite?.continuation.kind === 'take-over').length, 1);
  letWinnersPropose(model, addresses);
});
test('a voter that crashes before its vote is synced has not voted', () => {
  const { model, addresses } = twoCandidates();
  const [voter, first, second] = addresses as [string, string, string];
  const firstPacket = packetOf(model, 'vote', first, voter);
  perform(model, { kind: 'deliver', packet: firstPacket });
  if (model.packets.get(firstPacket)?.phase === 'replied') perform(model, { kind: 'deliver', packet: firstPacket });
  perform(model, { kind: 'crash', at: voter });
  perform(model, { kind: 'restart', at: voter });
  const secondPacket = packetOf(model, 'vote', second, voter);
  perform(model, { kind: 'deliver', packet: secondPacket });
  perform(model, { kind: 'sync', at: voter });
  perform(model, { kind: 'deliver', packet: secondPacket });
  assert.is(model.nodes.filter((node) => node.state?.pendingWrite?.continuation.kind === 'take-over').length, 1);
  letWinnersPropose(model, addresses);
});
test('a member whose member list is two changes old does not lead without a quorum of the newest list', () => {
  const { model, addresses } = formedGroup(3, 1);
  const [leader, outdated, middle] = addresses as [string, string, string];
  const spare = model.nodes[3]!;
  const newMember = { id: spare.id, at: spare.at };
  setLinksBetween(model, [outdated], [leader, middle, spare.at]);
  perform(model, { kind: 'add', at: leader, member: newMember });
  runTicks(model, 4);
  setLinksBetween(model, [middle], [leader, spare.at]);
  const removed = model.nodes.find((node) => node.at === outdated)!;
  perform(model, { kind: 'remove', at: leader, member: { id: removed.id, at: outdated } });
  runTicks(model, 4);
  perform(model, { kind: 'propose', at: leader });
  runTicks(model, 4);
  const value = model.nextNumber - 1;
  assert.ok(model.confirmedValues.includes(value));
  // The two members with outdated lists are connected again; then the leader is frozen and the new member reconnected.
  setLinksBetween(model, [outdated], [middle], 'heal');
  const middleNode = model.nodes.find((node) => node.at === middle)!;
  middleNode.clock += 700_000;
  perform(model, { kind: 'time-out', at: outdated });
  runUntilIdle(model);
  perform(model, { kind: 'freeze', at: leader });
  setLinksBetween(model, [outdated, middle], [spare.at], 'heal');
  runTicks(model, 8);
  checkRecovers(model);
  assert.ok(model.chosenVersions.at(-1)!.state.includes(value));
  assert.equal(model.violations, []);
});
test('a candidate that learns of a member from its voters requests the vote of that member too', () => {
  const { model, addresses } = formedGroup(3, 1);
  const [leader, outdated, middle] = addresses as [string, string, string];
  const spare = model.nodes[3]!;
  setLinksBetween(model, [outdated], [leader, middle, spare.at]);
  perform(model, { kind: 'add', at: leader, member: { id: spare.id, at: spare.at } });
  runTicks(model, 4);
  perform(model, { kind: 'crash', at: leader });
  setLinksBetween(model, [outdated], [middle, spare.at], 'heal');
  for (const node of model.nodes) node.clock += 700_000;
  perform(model, { kind: 'time-out', at: outdated });
  runUntilIdle(model);
  assert.is(leaderOf(model)?.at, outdated);
  assert.is(leaderOf(model)?.state?.committed?.members.length, 4);
  assert.equal(model.violations, []);
});
test('after a close every pending and new call gets an outcome', () => {
  const { model, addresses } = formedGroup(3, 0);
  const { state, clock } = model.nodes.find((node) => node.at === addresses[0])!;
  const effectTypesOf = (event: Parameters<typeof replica.step<Values>>[1]): string[] =>
    replica.step(state!, event, clock, () => 0).map((effect) => effect.type);
  effectTypesOf({ type: 'propose', proposal: 1, change: (values) => ({ state: values, result: 0 }) });
  effectTypesOf({ type: 'request', call: 1, from: addresses[1]!, message: { kind: 'vote', to: state!.id, term: 9 } });
  assert.equal(
    effectTypesOf({ type: 'close' }).filter((type) => type !== 'log'),
    ['proposal-outcome', 'refuse'],
  );
  assert.equal(effectTypesOf({ type: 'propose', proposal: 2, change: (values) => ({ state: values, result: 0 }) }), [
    'proposal-outcome',
  ]);
  assert.equal(effectTypesOf({ type: 'read', read: 1 }), ['read-outcome']);
  assert.equal(effectTypesOf({ type: 'request', call: 2, from: addresses[1]!, message: { kind: 'discover' } }), [
    'refuse',
  ]);
});
test('founders that start in any order, one of them crashed or wiped meanwhile, form one group', () => {
  let leaders = 0;
  for (let seed = 1; seed <= 600 * effort; seed++) {
    invariant.clear();
    const pick = randomFrom(seed);
    const size = seed % 4 === 0 ? 5 : 3;
    const model = createModel(size, 0);
    const failing = model.nodes[pick(size)]!;
    for (const node of model.nodes) if (pick(2)) perform(model, { kind: 'crash', at: node.at });
    const failureStep = pick(60);
    for (let i = 0; i < 120 && model.violations.length === 0; i++) {
      if (i === failureStep) perform(model, { kind: pick(2) ? 'wipe' : 'crash', at: failing.at });
      formationStep(model, pick);
    }
    checkRecovers(model);
    assert.equal(model.violations, [], `seed ${seed}`);
    leaders += Number(leaderOf(model) !== undefined);
  }
  assert.is(leaders, 600 * effort);
});
test('a founder that starts again without its disk, and not as a founder, does not keep the group from forming', () => {
  // Two founders one after the other formed a group with these seeds.
  const formerFailures = [413, 1678];
  const seeds = Array.from({ length: 400 * effort }, (_, i) => i + 1);
  for (const seed of new Set([...seeds, ...formerFailures])) {
    invariant.clear();
    const pick = randomFrom(seed);
    const size = seed % 4 === 0 ? 5 : 3;
    const model = createModel(size, 0);
    const failing = model.nodes[seed % 2 ? 0 : pick(size)]!;
    const failureStep = pick(40);
    for (let i = 0; i < 80 && model.violations.length === 0; i++) {
      if (i === failureStep) {
        perform(model, { kind: 'wipe', at: failing.at });
        Object.assign(failing, { founders: [], founding: 'none' });
      }
      formationStep(model, pick);
    }
    checkRecovers(model);
    assert.equal(model.violations, [], `seed ${seed}`);
    assert.ok(leaderOf(model) !== undefined, `seed ${seed}: no leader`);
  }
});
test('founders killed at any moment of their first start form one group', () => {
  for (let seed = 1; seed <= 600 * effort; seed++) {
    invariant.clear();
    const pick = randomFrom(seed);
    const size = seed % 4 === 0 ? 5 : 3;
    const model = createModel(size, 0);
    // A founder that is killed before its identity is on its disk has neither sent nor answered anything.
    for (const node of model.nodes) if (seed % 3 === 0 || pick(2)) perform(model, { kind: 'wipe', at: node.at });
    model.wipedIds.clear();
    for (let i = 0; i < 120 && model.violations.length === 0; i++) {
      formationStep(model, pick, () => pick(12) === 0);
    }
    checkRecovers(model);
    assert.equal(model.violations, [], `seed ${seed}`);
    assert.ok(leaderOf(model) !== undefined, `seed ${seed}: no leader`);
  }
});
test('three members and two spares in random orders', () => {
  for (let seed = 1; seed <= 400 * effort; seed++) walk(3, 2, seed, 300);
});
test('five members and two spares in random orders', () => {
  for (let seed = 1; seed <= 120 * effort; seed++) walk(5, 2, seed, 300);
});
test('the random walks cover commits, reads, elections and changes of members', () => {
  process.stdout.write(`${JSON.stringify(total)}\n`);
  assert.ok(total.commits > 5000 && total.reads > 500 && total.elections > 1000 && total.memberChanges > 100);
});
test.run();
