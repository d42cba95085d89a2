// A model of a group of replicas (§3.3). It runs the state machine itself through sequences of events chosen by an
// adversary, and checks invariants after each event. The clocks of the nodes diverge, because safety must not depend on
// time.
import { replica, defaultTiming } from '../src/replica.js';
import { hasQuorum, isNewer, membersChanged } from '../src/quorum.js';
import type { Effect, Event, Founding, Member, ReplicaState, ReplyMessage, RequestMessage } from '../src/types.js';
import type { Snapshot, WriteEffect } from '../src/types.js';

/** The replicated state of the model: the values of all changes that were applied. */
export type Values = number[];
type Version = Snapshot<Values>;
/** A node with its disk; `write` is the write that is not synced yet, `calls` maps a pending call to its packet. */
type Node = {
  id: string;
  at: string;
  incarnation: number;
  up: boolean;
  clock: number;
  disk: { term: number; accepted?: Version };
  state?: ReplicaState<Values>;
  write?: WriteEffect<Values>;
  timers: Event<Values>[];
  calls: Map<number, number>;
  nextCall: number;
  /** The addresses that its machine is configured to join by: the founders, for a founder. */
  seeds: string[];
  /** As its disk has them. */
  founders: string[];
  founding: Founding;
};
/** A request and its reply, on their way between two nodes. */
type Packet = {
  from: string;
  senderIncarnation: number;
  request: number;
  to: string;
  message: RequestMessage<Values>;
  phase: 'sent' | 'delivered' | 'replied';
  reply?: ReplyMessage<Values>;
  /** The request has timed out at its sender; the packet may still arrive. */
  expired: boolean;
  /** The number of duplicates still to be delivered. */
  copies: number;
};
/** The nodes, the network and the history that the invariants are checked against. */
export type Model = {
  nodes: Node[];
  packets: Map<number, Packet>;
  nextPacket: number;
  /** Directed links that deliver nothing, as "from>to". */
  cutLinks: Set<string>;
  frozenNodes: Set<string>;
  wipedIds: Set<string>;
  nextNumber: number;
  proposals: Map<number, { value: number; changesMembers: boolean }>;
  reads: Map<number, { confirmed: Values }>;
  confirmedValues: Values;
  refusedValues: Values;
  /** The identities that have ever had a version on their disks, by term and index. */
  acceptedBy: Map<string, { version: Version; ids: string[] }>;
  /** The versions that a quorum has ever accepted, in order. */
  chosenVersions: Version[];
  leaders: Map<number, string>;
  violations: string[];
  counts: { commits: number; reads: number; memberChanges: number; elections: number };
};

/** A step of the adversary or of the environment. `at` is the address of the node that it happens at. */
export type Action =
  | { kind: 'deliver' | 'expire' | 'lose' | 'duplicate'; packet: number }
  | { kind: 'sync' | 'crash' | 'crash-after-sync' | 'restart' | 'wipe'; at: string }
  | { kind: 'disk-full' | 'time-out' | 'heartbeat' | 'timer' | 'propose' | 'read'; at: string }
  | { kind: 'freeze' | 'thaw'; at: string }
  | { kind: 'cut' | 'heal'; link: string }
  | { kind: 'add' | 'remove' | 'swap'; at: string; member: Member; other?: Member };

/** Safety must not depend on the delay. */
const timing = { ...defaultTiming, possibleFounderDelay: 0 };

/** A deterministic random source that differs by node and by time. */
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
const addViolation = (model: Model, text: string): void => void model.violations.push(text);

// --- invariants

const hasPrefix = (values: Values, prefix: Values): boolean => prefix.every((value, i) => values[i] === value);

const checkChosen = (model: Model, version: Version): void => {
  const { chosenVersions } = model;
  if (chosenVersions.some((chosen) => keyOf(chosen) === keyOf(version))) return;
  const newerPosition = chosenVersions.findIndex((chosen) => isNewer(chosen, version));
  const position = newerPosition < 0 ? chosenVersions.length : newerPosition;
  const [before, after] = [chosenVersions[position - 1], chosenVersions[position]];
  for (const [older, newer] of [
    [before, version],
    [version, after],
  ]) {
    if (!older || !newer) continue;
    if (newer.index <= older.index || !hasPrefix(newer.state, older.state))
      addViolation(model, `commits diverge: ${JSON.stringify(older)} and ${JSON.stringify(newer)}`);
  }
  chosenVersions.splice(position, 0, version);
  for (const value of model.refusedValues)
    if (version.state.includes(value)) addViolation(model, `value ${value} was refused but is in a chosen version`);
};

const recordAccepted = (model: Model, id: string, version: Version): void => {
  const key = keyOf(version);
  const accepted = model.acceptedBy.get(key) ?? { version, ids: [] };
  if (JSON.stringify(accepted.version) !== JSON.stringify(version))
    addViolation(model, `two different versions ${key}`);
  if (!accepted.ids.includes(id)) accepted.ids.push(id);
  model.acceptedBy.set(key, accepted);
  if (hasQuorum(version.members, accepted.ids)) checkChosen(model, version);
};

/** A change of members may start only from a version that a quorum has accepted, so that any two quorums overlap. */
const checkProposed = (model: Model, node: Node, version: Version): void => {
  const base = node.state?.accepted;
  if (node.state?.role !== 'leader' || !base) return;
  const changed = membersChanged(base.members, version.members);
  if (changed > 1) addViolation(model, `${changed} members change at once: quorums may be disjoint`);
  if (changed > 0) {
    model.counts.memberChanges += 1;
    if (!model.chosenVersions.some((chosen) => keyOf(chosen) === keyOf(base)) || base.term !== version.term)
      addViolation(model, `members change in term ${version.term} before that term has a commit`);
  }
};

const onCommit = (model: Model, node: Node, version: Version): void => {
  model.counts.commits += 1;
  if (!model.chosenVersions.some((chosen) => keyOf(chosen) === keyOf(version)))
    addViolation(model, `${node.id} reports ${keyOf(version)} as committed, but no quorum has accepted it`);
  if (node.state?.role !== 'leader') return;
  const leader = model.leaders.get(version.term) ?? node.id;
  if (leader !== node.id) addViolation(model, `${leader} and ${node.id} are both leaders in term ${version.term}`);
  model.leaders.set(version.term, leader);
};

const onOutcome = (model: Model, effect: Effect<Values> & { type: 'proposal-outcome' }): void => {
  const proposal = model.proposals.get(effect.proposal);
  if (!proposal) return;
  model.proposals.delete(effect.proposal);
  if (proposal.changesMembers) return;
  if (effect.outcome.ok) {
    model.confirmedValues.push(proposal.value);
    if (!model.chosenVersions.at(-1)?.state.includes(proposal.value))
      addViolation(model, `value ${proposal.value} was confirmed but is not in the newest commit`);
  } else if (effect.outcome.code === 'not-leader') {
    model.refusedValues.push(proposal.value);
    if (model.chosenVersions.some((chosen) => chosen.state.includes(proposal.value)))
      addViolation(model, `value ${proposal.value} is in a chosen version but was refused`);
  }
};

const onReadOutcome = (model: Model, effect: Effect<Values> & { type: 'read-outcome' }): void => {
  const read = model.reads.get(effect.read);
  model.reads.delete(effect.read);
  if (!read || !effect.outcome.ok) return;
  model.counts.reads += 1;
  const { state } = effect.outcome.snapshot;
  const missing = read.confirmed.filter((value) => !state.includes(value));
  if (missing.length) addViolation(model, `a read lacks ${missing.join()}, confirmed before the read started`);
};

// --- execution of effects

const enqueue = (model: Model, node: Node, effect: Effect<Values> & { type: 'send' }): void => {
  if (effect.message.kind === 'vote') model.counts.elections += 1;
  model.packets.set(model.nextPacket++, {
    from: node.at,
    senderIncarnation: node.incarnation,
    request: effect.request,
    to: effect.at,
    message: effect.message,
    phase: 'sent',
    expired: false,
    copies: 0,
  });
};

const executeEffect = (model: Model, node: Node, effect: Effect<Values>): void => {
  switch (effect.type) {
    case 'send':
      return enqueue(model, node, effect);
    case 'write':
      node.write = effect;
      if (effect.document === 'snapshot') checkProposed(model, node, effect.snapshot);
      return;
    case 'reply': {
      const packet = model.packets.get(node.calls.get(effect.call) ?? -1);
      if (packet) Object.assign(packet, { phase: 'replied', reply: effect.reply });
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
    case 'forget-founders':
      // A crash may come before this write is synced.
      if (randomOf(node)(2)) Object.assign(node, { founders: [], founding: 'none' });
      return;
    case 'refuse':
    case 'log':
  }
};

const handleEvent = (model: Model, node: Node, event: Event<Values>): void => {
  if (!node.up || !node.state) return;
  try {
    const effects = replica.step(node.state, event, node.clock, randomOf(node));
    for (const effect of effects) executeEffect(model, node, effect);
  } catch (error) {
    addViolation(model, `${node.id}: ${(error as Error).message}`);
  }
};

const writeToDisk = (model: Model, node: Node): void => {
  const { write } = node;
  node.write = undefined;
  if (!write) return;
  if (write.document === 'term') node.disk.term = write.term;
  else {
    node.disk.accepted = write.snapshot;
    recordAccepted(model, node.id, write.snapshot);
  }
};

const startNode = (node: Node): void => {
  node.up = true;
  node.state = replica.create<Values>({
    id: node.id,
    at: node.at,
    founders: node.founders,
    founding: node.founding,
    initial: [],
    timing,
    term: node.disk.term,
    accepted: node.disk.accepted,
    now: node.clock,
    random: randomOf(node),
  });
};

const stopNode = (node: Node): void => {
  node.up = false;
  node.state = undefined;
  node.write = undefined;
  node.timers = [];
  node.calls = new Map();
  node.incarnation += 1;
};

// --- actions

const respond = (model: Model, packet: Packet, reply?: ReplyMessage<Values>): void => {
  const node = nodeAt(model, packet.from);
  if (node.incarnation === packet.senderIncarnation && !packet.expired)
    handleEvent(model, node, { type: 'response', request: packet.request, reply });
};

const deliver = (model: Model, number: number, packet: Packet): void => {
  if (packet.phase === 'replied') {
    if (packet.copies > 0) packet.copies -= 1;
    else model.packets.delete(number);
    respond(model, packet, packet.reply);
    packet.expired = true;
    return;
  }
  const node = nodeAt(model, packet.to);
  if (packet.copies > 0) packet.copies -= 1;
  else packet.phase = 'delivered';
  const call = node.nextCall++;
  node.calls.set(call, number);
  handleEvent(model, node, { type: 'request', call, from: packet.from, message: packet.message });
};

const propose = (model: Model, at: string, members?: (members: Member[]) => Member[]): void => {
  const proposal = model.nextNumber++;
  const value = proposal;
  model.proposals.set(proposal, { value, changesMembers: members !== undefined });
  handleEvent(model, nodeAt(model, at), {
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
  model.wipedIds.add(node.id);
  stopNode(node);
  node.id = `${node.id}'`;
  node.disk = { term: 0 };
  // Its machine can't tell whether it was killed in the first start or has lost its disk.
  node.founders = node.seeds;
  node.founding = node.seeds.length ? 'possible' : 'none';
};

const performNode = (model: Model, action: Action & { at: string }): void => {
  const node = nodeAt(model, action.at);
  switch (action.kind) {
    case 'sync':
      writeToDisk(model, node);
      return handleEvent(model, node, { type: 'written' });
    case 'crash':
      return stopNode(node);
    case 'crash-after-sync':
      writeToDisk(model, node);
      return stopNode(node);
    case 'restart':
      return startNode(node);
    case 'wipe':
      return wipe(model, node);
    case 'disk-full':
      node.write = undefined;
      return handleEvent(model, node, { type: 'write-failed', unchanged: true });
    case 'time-out':
      node.clock += 2 * defaultTiming.electionTimeout;
      return handleEvent(model, node, { type: 'tick' });
    case 'heartbeat':
      node.clock += 1;
      return handleEvent(model, node, { type: 'heartbeat-due' });
    case 'timer': {
      const event = node.timers.shift();
      return event && handleEvent(model, node, event);
    }
    case 'propose':
      return propose(model, action.at);
    case 'read': {
      const read = model.nextNumber++;
      model.reads.set(read, { confirmed: [...model.confirmedValues] });
      return handleEvent(model, node, { type: 'read', read });
    }
    case 'freeze':
      return void model.frozenNodes.add(action.at);
    case 'thaw':
      return void model.frozenNodes.delete(action.at);
    case 'add':
      return propose(model, action.at, (members) => [...members, action.member]);
    case 'remove':
      return propose(model, action.at, (members) => members.filter((member) => member.id !== action.member.id));
    case 'swap':
      return propose(model, action.at, (members) => [
        ...members.filter((member) => member.id !== action.other?.id),
        action.member,
      ]);
    default:
  }
};

/** Performs one action on the model and checks the invariants. */
export const perform = (model: Model, action: Action): void => {
  if ('packet' in action) performPacket(model, action);
  else if ('link' in action) {
    if (action.kind === 'cut') model.cutLinks.add(action.link);
    else model.cutLinks.delete(action.link);
  } else performNode(model, action);
};

// --- possible actions

/** The member lists of the newest chosen version and of every version that may still be committed. */
const possibleConfigurations = (model: Model): Member[][] => {
  const newest = model.chosenVersions.at(-1);
  const versions = model.nodes.flatMap((node) => [
    node.disk.accepted,
    node.write?.document === 'snapshot' ? node.write.snapshot : undefined,
  ]);
  for (const packet of model.packets.values())
    if (packet.message.kind === 'append') versions.push(packet.message.snapshot);
  const possible = versions.filter((version) => version && (!newest || !isNewer(newest, version)));
  return [...(newest ? [newest.members] : []), ...possible.map((version) => version!.members)];
};
const isMemberChangePending = (model: Model): boolean =>
  [...model.proposals.values()].some((proposal) => proposal.changesMembers);

const keepsQuorum = (model: Model, members: Member[], without?: string): boolean => {
  const intact = members.filter((member) => !model.wipedIds.has(member.id) && member.id !== without);
  return hasQuorum(
    members,
    intact.map((member) => member.id),
  );
};
/** Whether the group tolerates the loss of a node's disk: every configuration that may be in force keeps a quorum. */
export const isTolerableLoss = (model: Model, id: string): boolean =>
  !isMemberChangePending(model) && possibleConfigurations(model).every((members) => keepsQuorum(model, members, id));

const isDeliverable = (model: Model, packet: Packet): boolean => {
  const [from, to] = packet.phase === 'replied' ? [packet.to, packet.from] : [packet.from, packet.to];
  return (
    packet.phase !== 'delivered' &&
    nodeAt(model, to).up &&
    !model.frozenNodes.has(to) &&
    !model.cutLinks.has(`${from}>${to}`)
  );
};

/** The possible actions on the packets under way. */
export const packetActions = (model: Model): Action[] => {
  const actions: Action[] = [];
  for (const [number, packet] of model.packets) {
    if (isDeliverable(model, packet)) actions.push({ kind: 'deliver', packet: number });
    if (isDeliverable(model, packet) && packet.copies === 0) actions.push({ kind: 'duplicate', packet: number });
    if (!packet.expired && !model.frozenNodes.has(packet.from)) actions.push({ kind: 'expire', packet: number });
    actions.push({ kind: 'lose', packet: number });
  }
  return actions;
};

const memberActions = (model: Model, node: Node): Action[] => {
  const { state } = node;
  const members = state?.accepted?.members;
  if (state?.role !== 'leader' || !members || isMemberChangePending(model)) return [];
  const actions: Action[] = [];
  for (const spare of model.nodes) {
    if (members.some((member) => member.id === spare.id) || spare.disk.accepted) continue;
    const member = { id: spare.id, at: spare.at };
    if (keepsQuorum(model, [...members, member])) actions.push({ kind: 'add', at: node.at, member });
    const other = members.find((member) => member.id !== node.id);
    if (other) actions.push({ kind: 'swap', at: node.at, member, other });
  }
  for (const member of members)
    if (
      members.length > 2 &&
      keepsQuorum(
        model,
        members.filter((remaining) => remaining !== member),
      )
    )
      actions.push({ kind: 'remove', at: node.at, member });
  return actions;
};

/** The possible actions at a node. */
export const nodeActions = (model: Model, node: Node): Action[] => {
  const { at } = node;
  if (!node.up) return [{ kind: 'restart', at }];
  if (model.frozenNodes.has(at)) return [{ kind: 'thaw', at }];
  const actions: Action[] = [
    { kind: 'time-out', at },
    { kind: 'crash', at },
    { kind: 'freeze', at },
  ];
  if (node.write) actions.push({ kind: 'sync', at }, { kind: 'crash-after-sync', at }, { kind: 'disk-full', at });
  if (node.timers.length) actions.push({ kind: 'timer', at });
  if (node.state?.role === 'leader')
    actions.push({ kind: 'propose', at }, { kind: 'read', at }, { kind: 'heartbeat', at });
  if (isTolerableLoss(model, node.id)) actions.push({ kind: 'wipe', at });
  return [...actions, ...memberActions(model, node)];
};

// --- runs

const newNode = (at: string, id: string, founders: string[]): Node => ({
  id,
  at,
  incarnation: 1,
  up: false,
  clock: 0,
  disk: { term: 0 },
  timers: [],
  calls: new Map(),
  nextCall: 1,
  seeds: founders,
  founders,
  founding: founders.length ? 'certain' : 'none',
});

/** Starts a group of founders and some spare nodes that belong to no group. */
export const createModel = (members: number, spares: number): Model => {
  const founders = Array.from({ length: members }, (_, i) => addressOf(i));
  const nodes = Array.from({ length: members + spares }, (_, i) =>
    newNode(addressOf(i), `n${i + 1}`, i < members ? founders : []),
  );
  for (const node of nodes) startNode(node);
  return {
    nodes,
    packets: new Map(),
    nextPacket: 1,
    cutLinks: new Set(),
    frozenNodes: new Set(),
    wipedIds: new Set(),
    nextNumber: 1,
    proposals: new Map(),
    reads: new Map(),
    confirmedValues: [],
    refusedValues: [],
    acceptedBy: new Map(),
    chosenVersions: [],
    leaders: new Map(),
    violations: [],
    counts: { commits: 0, reads: 0, memberChanges: 0, elections: 0 },
  };
};

/** Ends all failures, synchronizes the clocks and restarts stopped nodes; then runs a number of ticks. */
export const healAndRun = (model: Model, ticks: number): void => {
  model.cutLinks.clear();
  model.frozenNodes.clear();
  const now = Math.max(...model.nodes.map((node) => node.clock));
  for (const node of model.nodes) {
    node.clock = now;
    if (!node.up) startNode(node);
  }
  runTicks(model, ticks);
};

/** Runs a number of ticks of 50 ms: packets are delivered or, across a cut link, lost; writes are synced. */
export const runTicks = (model: Model, ticks: number): void => {
  for (let tick = 0; tick < ticks; tick++) {
    for (const node of model.nodes) {
      node.clock += 50_000;
      handleEvent(model, node, { type: 'tick' });
      if (tick % 2) handleEvent(model, node, { type: 'heartbeat-due' });
    }
    runUntilIdle(model);
  }
};

const roundsUntilLost = 5;
/** Delivers packets, syncs writes and fires timers until none is pending, for 60 rounds at most. */
export const runUntilIdle = (model: Model): void => {
  for (let rounds = 0; rounds < 60; rounds++) {
    for (const node of model.nodes) {
      if (node.write) perform(model, { kind: 'sync', at: node.at });
      if (node.timers.length && rounds < 20) perform(model, { kind: 'timer', at: node.at });
    }
    for (const [number, packet] of [...model.packets]) {
      if (isDeliverable(model, packet)) perform(model, { kind: 'deliver', packet: number });
      else if (rounds > roundsUntilLost) perform(model, { kind: 'lose', packet: number });
    }
    if (model.packets.size === 0 && model.nodes.every((node) => !node.write)) return;
  }
};

/** Cuts or heals all links between two sets of nodes, in both directions. */
export const setLinksBetween = (model: Model, left: string[], right: string[], kind: 'cut' | 'heal' = 'cut'): void => {
  for (const a of left)
    for (const b of right) for (const link of [`${a}>${b}`, `${b}>${a}`]) perform(model, { kind, link });
};

/** The running leader of the highest term, if any. */
export const leaderOf = (model: Model): Node | undefined =>
  model.nodes
    .filter((node) => node.up && node.state?.role === 'leader' && !model.frozenNodes.has(node.at))
    .sort((a, b) => b.state!.term - a.state!.term)[0];

/**
 * Checks that the group commits a change and reads it back after all failures have ended: no sequence of tolerated
 * actions may leave it without a quorum.
 */
export const checkRecovers = (model: Model): void => {
  healAndRun(model, 120);
  const leader = leaderOf(model);
  if (!leader) return addViolation(model, 'no leader six seconds after the last failure');
  perform(model, { kind: 'propose', at: leader.at });
  runUntilIdle(model);
  const value = model.nextNumber - 1;
  if (!model.confirmedValues.includes(value))
    addViolation(model, 'a proposal after the last failure was not confirmed');
  const { reads } = model.counts;
  perform(model, { kind: 'read', at: leader.at });
  runUntilIdle(model);
  if (model.counts.reads === reads) addViolation(model, 'a read after the last failure did not succeed');
};

/** A deep copy. Versions and functions are shared, since they are immutable. */
export const cloneModel = (model: Model): Model => copyValue(model) as Model;
const isVersion = (value: object): boolean => 'term' in value && 'index' in value && 'members' in value;
const copyValue = (value: unknown): unknown => {
  if (typeof value !== 'object' || value === null || isVersion(value)) return value;
  if (Array.isArray(value)) return value.map(copyValue);
  if (value instanceof Map) return new Map([...value].map(([key, entry]) => [key, copyValue(entry)]));
  if (value instanceof Set) return new Set(value);
  return Object.fromEntries(Object.entries(value).map(([key, entry]) => [key, copyValue(entry)]));
};
