// A model of a group of replicas (§3.3): drives the state machine itself through orders of events that an adversary
// chooses, and holds what it does against what must always be true. Clocks run apart: safety may not rest on time.
import { replica, defaultTiming } from '../src/replica.js';
import { hasQuorum, isNewer, membersChanged } from '../src/quorum.js';
import type { Effect, Event, Member, ReplicaState, ReplyMessage, RequestMessage } from '../src/types.js';
import type { Snapshot, WriteEffect } from '../src/types.js';

export type Values = number[];
type Version = Snapshot<Values>;
type Node = {
  id: string;
  at: string;
  lives: number;
  up: boolean;
  clock: number;
  disk: { term: number; accepted?: Version };
  state?: ReplicaState<Values>;
  write?: WriteEffect<Values>;
  timers: Event<Values>[];
  calls: Map<number, number>;
  nextCall: number;
  founders: string[];
};
type Packet = {
  from: string;
  life: number;
  request: number;
  to: string;
  message: RequestMessage<Values>;
  phase: 'asked' | 'served' | 'answered';
  reply?: ReplyMessage<Values>;
  /** The sender waits no longer; the packet may still arrive. */
  expired: boolean;
  copies: number;
};
export type Model = {
  nodes: Node[];
  packets: Map<number, Packet>;
  nextPacket: number;
  /** Directed links that carry nothing, as "from>to". */
  cut: Set<string>;
  frozen: Set<string>;
  lost: Set<string>;
  next: number;
  proposals: Map<number, { value: number; changesMembers: boolean }>;
  reads: Map<number, { confirmed: Values }>;
  confirmed: Values;
  refused: Values;
  /** Who has ever held which version on its disk, by term and index. */
  holders: Map<string, { version: Version; ids: string[] }>;
  /** What a quorum has ever held, by order. */
  chosen: Version[];
  leaders: Map<number, string>;
  problems: string[];
  counts: { commits: number; reads: number; memberChanges: number; elections: number };
};

export type Action =
  | { kind: 'deliver' | 'expire' | 'lose' | 'duplicate'; packet: number }
  | { kind: 'sync' | 'crash' | 'crash-after-sync' | 'restart' | 'wipe'; at: string }
  | { kind: 'disk-full' | 'time-out' | 'heartbeat' | 'timer' | 'propose' | 'read'; at: string }
  | { kind: 'freeze' | 'thaw'; at: string }
  | { kind: 'cut' | 'heal'; link: string }
  | { kind: 'add' | 'remove' | 'swap'; at: string; member: Member; other?: Member };

/** Different at each node and each time, and the same in each run. */
const randomOf =
  (node: Node) =>
  (limit: number): number => {
    const number = Number(/\d+/.exec(node.id)?.[0] ?? 0);
    const mixed = Math.imul((number * 0x9e3779b1) ^ Math.floor(node.clock / 50_000), 0x85ebca6b);
    return ((mixed ^ (mixed >>> 13)) >>> 0) % limit;
  };
const keyOf = (version: Version): string => `${version.term}.${version.index}`;
const addressOf = (index: number): string => `127.0.0.${index + 1}:1`;

const nodeAt = (model: Model, at: string): Node => model.nodes.find((node) => node.at === at)!;
const problem = (model: Model, text: string): void => void model.problems.push(text);

// --- what must hold

const extend = (longer: Values, shorter: Values): boolean => shorter.every((value, i) => longer[i] === value);

const checkChosen = (model: Model, version: Version): void => {
  const { chosen } = model;
  if (chosen.some((one) => keyOf(one) === keyOf(version))) return;
  const at = chosen.findIndex((one) => isNewer(one, version));
  const place = at < 0 ? chosen.length : at;
  const [before, after] = [chosen[place - 1], chosen[place]];
  for (const [older, newer] of [
    [before, version],
    [version, after],
  ]) {
    if (!older || !newer) continue;
    if (newer.index <= older.index || !extend(newer.state, older.state))
      problem(model, `commits diverge: ${JSON.stringify(older)} and ${JSON.stringify(newer)}`);
  }
  chosen.splice(place, 0, version);
  for (const value of model.refused)
    if (version.state.includes(value)) problem(model, `value ${value} was refused and is there`);
};

const noteHeld = (model: Model, id: string, version: Version): void => {
  const key = keyOf(version);
  const held = model.holders.get(key) ?? { version, ids: [] };
  if (JSON.stringify(held.version) !== JSON.stringify(version)) problem(model, `two versions ${key}`);
  if (!held.ids.includes(id)) held.ids.push(id);
  model.holders.set(key, held);
  if (hasQuorum(version.members, held.ids)) checkChosen(model, version);
};

/** A change of members goes out only from a version that a quorum holds, so that any two quorums meet. */
const checkProposed = (model: Model, node: Node, version: Version): void => {
  const base = node.state?.accepted;
  if (node.state?.role !== 'leader' || !base) return;
  const changed = membersChanged(base.members, version.members);
  if (changed > 1) problem(model, `${changed} members change at once: quorums may be disjoint`);
  if (changed > 0) {
    model.counts.memberChanges += 1;
    if (!model.chosen.some((one) => keyOf(one) === keyOf(base)) || base.term !== version.term)
      problem(model, `members change in term ${version.term} before that term has a commit`);
  }
};

const onCommit = (model: Model, node: Node, version: Version): void => {
  model.counts.commits += 1;
  if (!model.chosen.some((one) => keyOf(one) === keyOf(version)))
    problem(model, `${node.id} takes ${keyOf(version)} as committed, which no quorum holds`);
  if (node.state?.role !== 'leader') return;
  const leader = model.leaders.get(version.term) ?? node.id;
  if (leader !== node.id) problem(model, `${leader} and ${node.id} lead in term ${version.term}`);
  model.leaders.set(version.term, leader);
};

const onOutcome = (model: Model, effect: Effect<Values> & { type: 'proposal-outcome' }): void => {
  const proposal = model.proposals.get(effect.proposal);
  if (!proposal) return;
  model.proposals.delete(effect.proposal);
  if (proposal.changesMembers) return;
  if (effect.outcome.ok) {
    model.confirmed.push(proposal.value);
    if (!model.chosen.at(-1)?.state.includes(proposal.value))
      problem(model, `value ${proposal.value} was confirmed and is not in the newest commit`);
  } else if (effect.outcome.code === 'not-leader') {
    model.refused.push(proposal.value);
    if (model.chosen.some((one) => one.state.includes(proposal.value)))
      problem(model, `value ${proposal.value} is there and was refused`);
  }
};

const onReadOutcome = (model: Model, effect: Effect<Values> & { type: 'read-outcome' }): void => {
  const read = model.reads.get(effect.read);
  model.reads.delete(effect.read);
  if (!read || !effect.outcome.ok) return;
  model.counts.reads += 1;
  const { state } = effect.outcome.snapshot;
  const missing = read.confirmed.filter((value) => !state.includes(value));
  if (missing.length) problem(model, `a read lacks ${missing.join()}, confirmed before its question`);
};

// --- carrying out effects

const enqueue = (model: Model, node: Node, effect: Effect<Values> & { type: 'send' }): void => {
  if (effect.message.kind === 'vote') model.counts.elections += 1;
  model.packets.set(model.nextPacket++, {
    from: node.at,
    life: node.lives,
    request: effect.request,
    to: effect.at,
    message: effect.message,
    phase: 'asked',
    expired: false,
    copies: 0,
  });
};

const carryOut = (model: Model, node: Node, effect: Effect<Values>): void => {
  switch (effect.type) {
    case 'send':
      return enqueue(model, node, effect);
    case 'write':
      node.write = effect;
      if (effect.document === 'snapshot') checkProposed(model, node, effect.snapshot);
      return;
    case 'reply': {
      const packet = model.packets.get(node.calls.get(effect.call) ?? -1);
      if (packet) Object.assign(packet, { phase: 'answered', reply: effect.reply });
      return;
    }
    case 'commit':
      return onCommit(model, node, effect.snapshot);
    case 'proposal-outcome':
      return onOutcome(model, effect);
    case 'read-outcome':
      return onReadOutcome(model, effect);
    case 'timer':
      return void node.timers.push(effect.event);
    case 'refuse':
    case 'log':
  }
};

const feed = (model: Model, node: Node, event: Event<Values>): void => {
  if (!node.up || !node.state) return;
  try {
    const effects = replica.step(node.state, event, node.clock, randomOf(node));
    for (const effect of effects) carryOut(model, node, effect);
  } catch (error) {
    problem(model, `${node.id}: ${(error as Error).message}`);
  }
};

const writeToDisk = (model: Model, node: Node): void => {
  const { write } = node;
  node.write = undefined;
  if (!write) return;
  if (write.document === 'term') node.disk.term = write.term;
  else {
    node.disk.accepted = write.snapshot;
    noteHeld(model, node.id, write.snapshot);
  }
};

const boot = (node: Node): void => {
  node.up = true;
  node.state = replica.create<Values>({
    id: node.id,
    at: node.at,
    founders: node.founders,
    initial: [],
    timing: defaultTiming,
    term: node.disk.term,
    accepted: node.disk.accepted,
    now: node.clock,
    random: randomOf(node),
  });
};

const stop = (node: Node): void => {
  node.up = false;
  node.state = undefined;
  node.write = undefined;
  node.timers = [];
  node.calls = new Map();
  node.lives += 1;
};

// --- actions

const respond = (model: Model, packet: Packet, reply?: ReplyMessage<Values>): void => {
  const node = nodeAt(model, packet.from);
  if (node.lives === packet.life && !packet.expired)
    feed(model, node, { type: 'response', request: packet.request, reply });
};

const deliver = (model: Model, number: number, packet: Packet): void => {
  if (packet.phase === 'answered') {
    if (packet.copies > 0) packet.copies -= 1;
    else model.packets.delete(number);
    respond(model, packet, packet.reply);
    packet.expired = true;
    return;
  }
  const node = nodeAt(model, packet.to);
  if (packet.copies > 0) packet.copies -= 1;
  else packet.phase = 'served';
  const call = node.nextCall++;
  node.calls.set(call, number);
  feed(model, node, { type: 'request', call, from: packet.from, message: packet.message });
};

const propose = (model: Model, at: string, members?: (members: Member[]) => Member[]): void => {
  const proposal = model.next++;
  const value = proposal;
  model.proposals.set(proposal, { value, changesMembers: members !== undefined });
  feed(model, nodeAt(model, at), {
    type: 'propose',
    proposal,
    change: (state, current) =>
      members ? { state, members: members(current), result: value } : { state: [...state, value], result: value },
  });
};

const performPacket = (model: Model, action: Action & { packet: number }): void => {
  const packet = model.packets.get(action.packet);
  if (!packet) return;
  if (action.kind === 'deliver') deliver(model, action.packet, packet);
  else if (action.kind === 'duplicate') packet.copies += 1;
  else {
    respond(model, packet);
    packet.expired = true;
    if (action.kind === 'lose') model.packets.delete(action.packet);
  }
};

const wipe = (model: Model, node: Node): void => {
  model.lost.add(node.id);
  stop(node);
  node.id = `${node.id}'`;
  node.disk = { term: 0 };
  // A machine is told of the founders at its first start only, unless the group is still to be formed.
  if (model.chosen.length > 0) node.founders = [];
};

const performNode = (model: Model, action: Action & { at: string }): void => {
  const node = nodeAt(model, action.at);
  switch (action.kind) {
    case 'sync':
      writeToDisk(model, node);
      return feed(model, node, { type: 'written' });
    case 'crash':
      return stop(node);
    case 'crash-after-sync':
      writeToDisk(model, node);
      return stop(node);
    case 'restart':
      return boot(node);
    case 'wipe':
      return wipe(model, node);
    case 'disk-full':
      node.write = undefined;
      return feed(model, node, { type: 'write-failed', unchanged: true });
    case 'time-out':
      node.clock += 2 * defaultTiming.electionTimeout;
      return feed(model, node, { type: 'tick' });
    case 'heartbeat':
      node.clock += 1;
      return feed(model, node, { type: 'heartbeat-due' });
    case 'timer': {
      const event = node.timers.shift();
      return event && feed(model, node, event);
    }
    case 'propose':
      return propose(model, action.at);
    case 'read': {
      const read = model.next++;
      model.reads.set(read, { confirmed: [...model.confirmed] });
      return feed(model, node, { type: 'read', read });
    }
    case 'freeze':
      return void model.frozen.add(action.at);
    case 'thaw':
      return void model.frozen.delete(action.at);
    case 'add':
      return propose(model, action.at, (members) => [...members, action.member]);
    case 'remove':
      return propose(model, action.at, (members) => members.filter((one) => one.id !== action.member.id));
    case 'swap':
      return propose(model, action.at, (members) => [
        ...members.filter((one) => one.id !== action.other?.id),
        action.member,
      ]);
    default:
  }
};

export const perform = (model: Model, action: Action): void => {
  if ('packet' in action) performPacket(model, action);
  else if ('link' in action) {
    if (action.kind === 'cut') model.cut.add(action.link);
    else model.cut.delete(action.link);
  } else performNode(model, action);
};

// --- what the adversary may do

/** The members of every version that may still be committed. */
const openConfigurations = (model: Model): Member[][] => {
  const newest = model.chosen.at(-1);
  const versions = model.nodes.flatMap((node) => [
    node.disk.accepted,
    node.write?.document === 'snapshot' ? node.write.snapshot : undefined,
  ]);
  for (const packet of model.packets.values())
    if (packet.message.kind === 'append') versions.push(packet.message.snapshot);
  const open = versions.filter((version) => version && (!newest || !isNewer(newest, version)));
  return [...(newest ? [newest.members] : []), ...open.map((version) => version!.members)];
};
const changeIsOpen = (model: Model): boolean => [...model.proposals.values()].some((one) => one.changesMembers);

const survives = (model: Model, members: Member[], without?: string): boolean => {
  const intact = members.filter((member) => !model.lost.has(member.id) && member.id !== without);
  return hasQuorum(
    members,
    intact.map((member) => member.id),
  );
};
/** A loss is within what the group tolerates when every configuration that may count keeps a quorum. */
export const mayLose = (model: Model, id: string): boolean =>
  !changeIsOpen(model) && openConfigurations(model).every((members) => survives(model, members, id));

const reachable = (model: Model, packet: Packet): boolean => {
  const [from, to] = packet.phase === 'answered' ? [packet.to, packet.from] : [packet.from, packet.to];
  return packet.phase !== 'served' && nodeAt(model, to).up && !model.frozen.has(to) && !model.cut.has(`${from}>${to}`);
};

export const packetActions = (model: Model): Action[] => {
  const actions: Action[] = [];
  for (const [number, packet] of model.packets) {
    if (reachable(model, packet)) actions.push({ kind: 'deliver', packet: number });
    if (reachable(model, packet) && packet.copies === 0) actions.push({ kind: 'duplicate', packet: number });
    if (!packet.expired && !model.frozen.has(packet.from)) actions.push({ kind: 'expire', packet: number });
    actions.push({ kind: 'lose', packet: number });
  }
  return actions;
};

const memberActions = (model: Model, node: Node): Action[] => {
  const { state } = node;
  const members = state?.accepted?.members;
  if (state?.role !== 'leader' || !members || changeIsOpen(model)) return [];
  const actions: Action[] = [];
  for (const spare of model.nodes) {
    if (members.some((member) => member.id === spare.id) || spare.disk.accepted) continue;
    const member = { id: spare.id, at: spare.at };
    if (survives(model, [...members, member])) actions.push({ kind: 'add', at: node.at, member });
    const other = members.find((one) => one.id !== node.id);
    if (other) actions.push({ kind: 'swap', at: node.at, member, other });
  }
  for (const member of members)
    if (
      members.length > 2 &&
      survives(
        model,
        members.filter((one) => one !== member),
      )
    )
      actions.push({ kind: 'remove', at: node.at, member });
  return actions;
};

export const nodeActions = (model: Model, node: Node): Action[] => {
  const { at } = node;
  if (!node.up) return [{ kind: 'restart', at }];
  if (model.frozen.has(at)) return [{ kind: 'thaw', at }];
  const actions: Action[] = [
    { kind: 'time-out', at },
    { kind: 'crash', at },
    { kind: 'freeze', at },
  ];
  if (node.write) actions.push({ kind: 'sync', at }, { kind: 'crash-after-sync', at }, { kind: 'disk-full', at });
  if (node.timers.length) actions.push({ kind: 'timer', at });
  if (node.state?.role === 'leader')
    actions.push({ kind: 'propose', at }, { kind: 'read', at }, { kind: 'heartbeat', at });
  if (mayLose(model, node.id)) actions.push({ kind: 'wipe', at });
  return [...actions, ...memberActions(model, node)];
};

// --- runs

const blank = (at: string, id: string, founders: string[]): Node => ({
  id,
  at,
  lives: 1,
  up: false,
  clock: 0,
  disk: { term: 0 },
  timers: [],
  calls: new Map(),
  nextCall: 1,
  founders,
});

export const create = (members: number, spares: number): Model => {
  const founders = Array.from({ length: members }, (_, i) => addressOf(i));
  const nodes = Array.from({ length: members + spares }, (_, i) =>
    blank(addressOf(i), `n${i + 1}`, i < members ? founders : []),
  );
  for (const node of nodes) boot(node);
  return {
    nodes,
    packets: new Map(),
    nextPacket: 1,
    cut: new Set(),
    frozen: new Set(),
    lost: new Set(),
    next: 1,
    proposals: new Map(),
    reads: new Map(),
    confirmed: [],
    refused: [],
    holders: new Map(),
    chosen: [],
    leaders: new Map(),
    problems: [],
    counts: { commits: 0, reads: 0, memberChanges: 0, elections: 0 },
  };
};

/** All troubles end; then everything works for so many ticks. */
export const settle = (model: Model, ticks: number): void => {
  model.cut.clear();
  model.frozen.clear();
  const now = Math.max(...model.nodes.map((node) => node.clock));
  for (const node of model.nodes) {
    node.clock = now;
    if (!node.up) boot(node);
  }
  run(model, ticks);
};

/** So many ticks of 50 ms: packets arrive or, across a cut, are lost; writes are synced. */
export const run = (model: Model, ticks: number): void => {
  for (let tick = 0; tick < ticks; tick++) {
    for (const node of model.nodes) {
      node.clock += 50_000;
      feed(model, node, { type: 'tick' });
      if (tick % 2) feed(model, node, { type: 'heartbeat-due' });
    }
    drain(model);
  }
};

const roundsUntilLost = 5;
/** Until nothing is under way. */
export const drain = (model: Model): void => {
  for (let rounds = 0; rounds < 60; rounds++) {
    for (const node of model.nodes) {
      if (node.write) perform(model, { kind: 'sync', at: node.at });
      if (node.timers.length && rounds < 20) perform(model, { kind: 'timer', at: node.at });
    }
    for (const [packet, one] of [...model.packets]) {
      if (reachable(model, one)) perform(model, { kind: 'deliver', packet });
      else if (rounds > roundsUntilLost) perform(model, { kind: 'lose', packet });
    }
    if (model.packets.size === 0 && model.nodes.every((node) => !node.write)) return;
  }
};

/** Cuts or heals all links between two sets of nodes. */
export const separate = (model: Model, some: string[], others: string[], kind: 'cut' | 'heal' = 'cut'): void => {
  for (const a of some)
    for (const b of others) for (const link of [`${a}>${b}`, `${b}>${a}`]) perform(model, { kind, link });
};

export const leaderOf = (model: Model): Node | undefined =>
  model.nodes
    .filter((node) => node.up && node.state?.role === 'leader' && !model.frozen.has(node.at))
    .sort((a, b) => b.state!.term - a.state!.term)[0];

/** After the troubles the group must take a change and read it back: no tolerated step leaves it without a quorum. */
export const checkRecovers = (model: Model): void => {
  settle(model, 120);
  const leader = leaderOf(model);
  if (!leader) return problem(model, 'no leader six seconds after the last trouble');
  perform(model, { kind: 'propose', at: leader.at });
  drain(model);
  const value = model.next - 1;
  if (!model.confirmed.includes(value)) problem(model, 'nothing is confirmed after the last trouble');
  const { reads } = model.counts;
  perform(model, { kind: 'read', at: leader.at });
  drain(model);
  if (model.counts.reads === reads) problem(model, 'nothing is read after the last trouble');
};

/** A copy that shares nothing that changes; versions and functions are shared. */
export const clone = (model: Model): Model => copy(model) as Model;
const isVersion = (value: object): boolean => 'term' in value && 'index' in value && 'members' in value;
const copy = (value: unknown): unknown => {
  if (typeof value !== 'object' || value === null || isVersion(value)) return value;
  if (Array.isArray(value)) return value.map(copy);
  if (value instanceof Map) return new Map([...value].map(([key, one]) => [key, copy(one)]));
  if (value instanceof Set) return new Set(value);
  return Object.fromEntries(Object.entries(value).map(([key, one]) => [key, copy(one)]));
};
