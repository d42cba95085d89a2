/**
 * Membership (§3.2) of a node in the cluster: finds peers from any live seed, joins the agreed membership, rejoins if
 * the node was wrongly declared dead, follows the newest agreed state, and detects freezes of the own process.
 */
import { coreClient, coreCodec, coreRequestName, agreedState } from '@thornsail/consensus';
import type { EncodedSnapshot, AgreedState } from '@thornsail/consensus';
import { dissemination, type Dissemination } from '@thornsail/dissemination';
import { failureDetector, type FailureDetector, type Peer } from '@thornsail/failure-detector';
import { time, duration, type Address, type Microseconds } from '@thornsail/runtime';
import { decodeSnapshot, openAgreedState, stateItemName, type AgreedStateView } from './agreed-state.js';
import { openDeadNodes } from './dead-nodes.js';
import { openDiscovery } from './discovery.js';
import { openFreezeMonitor } from './freeze-monitor.js';
import { openJoining, type Joining } from './joining.js';
import { openKnownNodes, type KnownNodes } from './known-nodes.js';
import { openLocalAgent, type LocalAgent } from './local-agent.js';
import { openRefresh } from './refresh.js';
import type { Membership, MembershipOptions } from './types.js';
import { isValidUpdate } from './update-validators.js';

const freezeCheckInterval = duration.ms(100);
const joinInterval = duration.ms(200);
/** The timeout of each comparison with a peer during a refresh or after a join. */
const refreshTimeout: Microseconds = duration.ms(300);
/** A node is suspected after this many heartbeat intervals without a heartbeat. */
const suspectAfterIntervals = 5;

const knownFromOptions = ({ rpc, seeds, localAgent, coordinators }: MembershipOptions): KnownNodes => {
  const known = openKnownNodes(rpc.address);
  const unknownRoles = localAgent === undefined ? seeds : [...seeds, localAgent];
  known.add(unknownRoles.map((address) => ({ address, role: undefined })));
  known.add((coordinators ?? []).map((address) => ({ address, role: 'coordinator' })));
  return known;
};

/** Rejects items of dead nodes, so that a peer with an older agreed state cannot bring them back (§3.5). */
const admitsName = (state: AgreedState | undefined, name: string): boolean => {
  const slash = name.indexOf('/');
  return slash < 0 || !state || state.nodes[name.slice(slash + 1)]?.status !== 'dead';
};

const openDissemination = (
  { runtime, rpc, id, role }: MembershipOptions,
  agreed: AgreedStateView,
  known: KnownNodes,
  localAgent: LocalAgent,
): Dissemination =>
  dissemination.open({
    runtime,
    rpc,
    self: id,
    isLeaf: role === 'gateway',
    relays: agreed.relays,
    admits: (name) => admitsName(agreed.state(), name),
    isValid: isValidUpdate,
    isVolatile: (name) => name.startsWith('load/') || name.startsWith('read/'),
    isBatched: (name) => name.startsWith('load/'),
    parent: localAgent.usable,
    fallbacks: known.addresses,
  });

const openFailureDetector = (
  { runtime, rpc, id, heartbeatInterval }: MembershipOptions,
  agreed: AgreedStateView,
  incarnation: () => number,
): FailureDetector => {
  const onSuspected = (suspects: Peer[]): void => {
    const suspicions = suspects.map((peer) => ({ watcher: id, id: peer.id, incarnation: peer.incarnation }));
    const request = coreCodec.encodeRequest({ type: 'suspect', suspicions });
    rpc.notifyAll(agreed.coordinators() ?? [], coreRequestName, request);
  };
  return failureDetector.open({
    runtime,
    rpc,
    self: () => ({ id, address: rpc.address, incarnation: incarnation() }),
    members: agreed.peers,
    onSuspected,
    ...(heartbeatInterval === undefined
      ? {}
      : { timing: { heartbeatInterval, suspectAfter: heartbeatInterval * suspectAfterIntervals } }),
  });
};

/** Unless the agreed state has reached `index`, compares with one coordinator after another until one responds. */
const fetchState = async (updates: Dissemination, coordinators: Address[], index: number): Promise<void> => {
  if ((updates.get(stateItemName)?.version ?? -1) >= index) return;
  for (const coordinator of coordinators) if (await updates.refresh(coordinator, refreshTimeout)) return;
};

/** Sends hellos while there is no agreed state, and joins while the agreed state does not list this node as it is. */
const keepJoined =
  (agreed: AgreedStateView, known: KnownNodes, discover: () => Promise<void>, joining: Joining) =>
  async (): Promise<void> => {
    if (!agreed.state()) await discover();
    const mayJoin = agreed.state() !== undefined || known.coordinators().length > 0;
    if (!joining.isMember() && mayJoin) await joining.join().catch(() => undefined);
  };

/** The parts of a membership that the others depend on. */
type Parts = {
  known: KnownNodes;
  agreed: AgreedStateView;
  localAgent: LocalAgent;
  updates: Dissemination;
  /** The addresses of the coordinators: from the agreed state, or else from settings and hellos. */
  coordinators: () => Address[];
};

const openParts = (options: MembershipOptions): Parts => {
  const known = knownFromOptions(options);
  const agreed = openAgreedState(() => updates.get(stateItemName)?.value);
  const localAgent = openLocalAgent(options.localAgent, options.runtime.clock, agreed);
  const updates = openDissemination(options, agreed, known, localAgent);
  const coordinators = (): Address[] => agreed.coordinators() ?? known.coordinators();
  return { known, agreed, localAgent, updates, coordinators };
};

type StateListener = (state: AgreedState, index: number) => void;
type StateEvents = Pick<Membership, 'deadFor' | 'onState'>;

/** Processes each newer agreed state: learns addresses, removes items of dead nodes, and notifies the listeners. */
const followState = ({ runtime }: MembershipOptions, { known, agreed, updates }: Parts): StateEvents => {
  const deadNodes = openDeadNodes(runtime.clock);
  const listeners: StateListener[] = [];
  updates.onUpdate(({ name, value }) => {
    if (name !== stateItemName) return;
    const { state, index } = decodeSnapshot(value);
    known.add(agreedState.liveNodes(state).map(({ place, role }) => ({ address: place, role })));
    updates.retain((itemName) => admitsName(agreed.state(), itemName));
    deadNodes.observe(state);
    for (const listener of listeners) listener(state, index);
  });
  return {
    deadFor: (id) => deadNodes.deadFor(id, agreed.state()),
    onState: (listener) => void listeners.push(listener),
  };
};

type Freshness = Pick<Membership, 'stale' | 'freezes' | 'refresh'> & { check: () => void };

/** Detects freezes and refreshes the state after them; `check` must be called periodically. */
const openFreshness = (options: MembershipOptions, parts: Parts): Freshness => {
  const { agreed, updates, localAgent, coordinators } = parts;
  const log = options.runtime.log('membership');
  const freezes = openFreezeMonitor(options.runtime.clock);
  const refreshWithin = openRefresh({
    self: options.rpc.address,
    localAgent: options.localAgent,
    peers: () => [...coordinators(), ...agreed.relays().map(({ address }) => address)],
    compare: updates.refresh,
    onRefreshed: freezes.refreshed,
  });
  const refresh = (timeout: Microseconds = refreshTimeout): Promise<boolean> => refreshWithin(timeout);
  const check = (): void => {
    if (freezes.tick()) log('resumed after a freeze of this process; refreshing from peers.');
    if (freezes.needsRefresh()) void refresh();
    localAgent.check(updates.lastContact());
  };
  return { stale: freezes.isStale, freezes: freezes.freezes, refresh, check };
};

const openMembershipJoining = (
  options: MembershipOptions,
  { known, agreed, updates, coordinators }: Parts,
): { core: Membership['core']; joining: Joining } => {
  const { runtime, rpc, id, name, role, http, zone } = options;
  const core = coreClient.open({
    runtime,
    rpc,
    coordinators: () => [...new Set([...(agreed.coordinators() ?? []), ...known.coordinators()])],
  });
  const joining = openJoining({
    node: { id, name, role, address: rpc.address, http, zone },
    core,
    state: agreed.state,
    onJoined: (index) => fetchState(updates, coordinators(), index),
    log: runtime.log('membership'),
  });
  return { core, joining };
};

/** Factory of memberships. */
export const membership = {
  /** Starts to find peers and to join the cluster. */
  open: (options: MembershipOptions): Membership => {
    const { rpc, role, id } = options;
    const { clock, rand } = options.runtime;
    const parts = openParts(options);
    const { known, agreed, updates } = parts;
    const { core, joining } = openMembershipJoining(options, parts);
    const detector = openFailureDetector(options, agreed, joining.incarnation);
    const discover = openDiscovery({
      rpc,
      rand,
      role,
      known,
      snapshot: () => updates.get(stateItemName)?.value as EncodedSnapshot | undefined,
      onSnapshot: (snapshot) => updates.put(stateItemName, snapshot.seq, snapshot),
    });
    const { deadFor, onState } = followState(options, parts);
    const { check, ...freshness } = openFreshness(options, parts);
    const stops = [
      time.every(clock, freezeCheckInterval, check),
      time.every(clock, joinInterval, keepJoined(agreed, known, discover, joining)),
    ];
    return {
      id,
      dissemination: updates,
      core,
      failureDetector: detector,
      state: agreed.state,
      snapshot: agreed.snapshot,
      index: () => agreed.snapshot()?.index ?? 0,
      isMember: joining.isMember,
      deadFor,
      ...freshness,
      addSeeds: (addresses) => known.add(addresses.map((address) => ({ address, role: undefined }))),
      onState,
      leave: joining.leave,
      close: () => {
        for (const stop of stops) stop();
        detector.close();
        updates.close();
      },
    };
  },
};
