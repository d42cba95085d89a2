/**
 * Runs the consensus state machine (§3.3): executes its effects by RPC and disk I/O, and feeds the outcomes back to it
 * as events.
 */
import { fault, time, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { recoverFolder, type DurableStore } from '@thornsail/durable-files';
import type { Rpc } from '@thornsail/rpc';
import { consensusErrors } from './errors.js';
import { defaultTiming, replica } from './replica.js';
import type { Change, Effect, Event, Founding, ProposalOutcome, ReadOutcome, ReplicaState } from './types.js';
import type { ReplyMessage, RequestMessage, Role, Snapshot, Timing, WriteEffect } from './types.js';
import * as wire from './wire.js';
import type { EncodedSnapshot, StateCodec } from './wire.js';

/** A running member of the group. The index grows by one with each version. */
export type Consensus<S> = {
  id: string;
  role: () => Role;
  /** The newest version that a quorum is known to have accepted. */
  committed: () => Snapshot<S> | undefined;
  /** The address of the leader, if this member knows it. */
  leader: () => Address | undefined;
  /** Whether this member is the leader and a quorum has confirmed it within the lease. */
  isLeaseValid: () => boolean;
  /** Whether a member has acknowledged a message of this leader within the lease; always true of itself. */
  hasRecentContact: (memberId: string) => boolean;
  /**
   * Resolves once the change is synced by a quorum. Errors: `not-leader` (the change had no effect), `outcome-unknown`
   * (it may have had one), or the error that the change itself throws.
   */
  propose: <R>(change: Change<S, R>) => Promise<{ index: number; result: R }>;
  /**
   * Linearizable read: the committed version, after a quorum has confirmed the leader since the call. Errors:
   * `not-leader`, `outcome-unknown`.
   */
  readLinearizable: () => Promise<Snapshot<S>>;
  /** To be called when this node has learnt from others that a group exists. */
  noteGroupExists: () => void;
  close: () => void;
};
/** Dependencies and settings of a member: clock and random source, RPC, disk, and the initial state. */
export type ConsensusOptions<S> = {
  runtime: Runtime;
  rpc: Rpc;
  durable: DurableStore;
  /** The addresses of the members of the first group, at the first start; empty if the group exists already. */
  founders: Address[];
  /** Those that were the founders if no group was ever formed; they count if there is no identity on the disk. */
  possibleFounders?: Address[];
  initial: S;
  onCommit: (snapshot: Snapshot<S>) => void;
  /** Encodes the state for the wire and the disk; without a codec the state is used as it is. */
  codec?: StateCodec<S>;
  timing?: Partial<Timing>;
};

/** Versions of the identity document: as created, and after a possible founder has learnt that a group exists. */
const identityVersions = { created: 1, groupExists: 2 } as const;
const tickInterval: Microseconds = duration.ms(50);
/** Error codes of a failed disk write; any other error is a programming error and is thrown. */
const diskErrorCodes = ['full', 'failed'];

type PendingCall<T> = { resolve: (value: T) => void; reject: (error: Error) => void };

type Stored<S> = {
  id: string;
  /** The founders as configured now or at an earlier start: they count until the group is formed. */
  founders: Address[];
  founding: Founding;
  term: number;
  accepted: Snapshot<S> | undefined;
  fileVersion: number;
};
const foundingOf = ({ founders = [], possible = false }: wire.IdentityDocument): Founding => {
  if (founders.length === 0) return 'none';
  return possible ? 'possible' : 'certain';
};
/** Reads the identity, or creates it at the first start. The founders that are configured now replace those on disk. */
const loadIdentity = async (
  durable: DurableStore,
  founders: Address[],
  possibleFounders: Address[],
  newId: () => string,
): Promise<wire.IdentityDocument> => {
  const stored = await durable.read<wire.IdentityDocument>(wire.documents.identity);
  if (stored) return founders.length ? { ...stored.value, founders, possible: false } : stored.value;
  const possible = founders.length === 0 && possibleFounders.length > 0;
  const identity = { id: newId(), founders: possible ? possibleFounders : founders, possible };
  await durable.write(wire.documents.identity, identityVersions.created, identity);
  return identity;
};
const load = async <S>(
  durable: DurableStore,
  codec: StateCodec<S>,
  { founders, possibleFounders = [] }: ConsensusOptions<S>,
  newId: () => string,
): Promise<Stored<S>> => {
  const identity = await loadIdentity(durable, founders, possibleFounders, newId);
  const term = (await durable.read<wire.TermDocument>(wire.documents.term))?.value.view ?? 0;
  const snapshot = await durable.read<EncodedSnapshot>(wire.documents.snapshot);
  return {
    id: identity.id,
    founders: identity.founders ?? [],
    founding: foundingOf(identity),
    term,
    accepted: snapshot && wire.decodeSnapshot(snapshot.value, codec),
    fileVersion: snapshot?.version ?? 0,
  };
};

/** Promises of callers that wait for the outcome of an event, by number. */
const pendingCalls = <T>(): {
  add: (start: (number: number) => void) => Promise<T>;
  settle: (number: number, complete: (pending: PendingCall<T>) => void) => void;
} => {
  const calls = new Map<number, PendingCall<T>>();
  let lastNumber = 0;
  return {
    add: (start) =>
      new Promise((resolve, reject) => {
        const number = ++lastNumber;
        calls.set(number, { resolve, reject });
        start(number);
      }),
    settle: (number, complete) => {
      const pending = calls.get(number);
      calls.delete(number);
      if (pending) complete(pending);
    },
  };
};

const settleProposal = (pending: PendingCall<{ index: number; result: unknown }>, outcome: ProposalOutcome): void => {
  if (outcome.ok) pending.resolve({ index: outcome.index, result: outcome.result });
  else if (outcome.code === 'failed') pending.reject(outcome.error);
  else pending.reject(consensusErrors.create(outcome.code, { step: 'consensus.propose' }));
};
const settleRead = <S>(pending: PendingCall<Snapshot<S>>, outcome: ReadOutcome<S>): void => {
  if (outcome.ok) pending.resolve(outcome.snapshot);
  else pending.reject(consensusErrors.create(outcome.code, { step: 'consensus.read' }));
};

/** The I/O of a member: event dispatch, log, pending calls, and the versions of the snapshot file. */
type Io<S> = {
  id: string;
  options: ConsensusOptions<S>;
  codec: StateCodec<S>;
  dispatch: (event: Event<S>) => void;
  log: (text: string) => void;
  calls: ReturnType<typeof pendingCalls<ReplyMessage<S>>>;
  proposals: ReturnType<typeof pendingCalls<{ index: number; result: unknown }>>;
  reads: ReturnType<typeof pendingCalls<Snapshot<S>>>;
  nextFileVersion: () => number;
};

const sendRequest = async <S>(io: Io<S>, effect: Effect<S> & { type: 'send' }): Promise<void> => {
  const { request, at, message, timeout } = effect;
  const body = await io.options.rpc
    .request<unknown>(at, wire.requestNames[message.kind], wire.encodeRequest(message, io.codec), timeout)
    .catch(() => undefined);
  const reply = body === undefined ? undefined : wire.decodeReply<S>(message.kind, body, io.codec);
  io.dispatch({ type: 'response', request, reply });
};

const writeDocument = async <S>(io: Io<S>, effect: WriteEffect<S>): Promise<void> => {
  const { durable } = io.options;
  try {
    if (effect.document === 'term') await durable.write(wire.documents.term, effect.term, { view: effect.term });
    else
      await durable.write(
        wire.documents.snapshot,
        io.nextFileVersion(),
        wire.encodeSnapshot(effect.snapshot, io.codec),
      );
  } catch (error) {
    const code = fault.info(error).code ?? '';
    io.log(`writing the ${effect.document} document failed: ${fault.text(error)}.`);
    io.dispatch({ type: 'write-failed', unchanged: code === 'full' });
    if (!diskErrorCodes.includes(code)) throw error;
    return;
  }
  io.dispatch({ type: 'written' });
};

const forgetFounders = <S>({ id, options, log }: Io<S>): Promise<void> =>
  options.durable
    .write(wire.documents.identity, identityVersions.groupExists, { id, founders: [] })
    .catch((error: unknown) => log(`the identity document could not be replaced: ${fault.text(error)}.`));

const execute = <S>(io: Io<S>, effect: Effect<S>): void => {
  switch (effect.type) {
    case 'send':
      return void sendRequest(io, effect);
    case 'write':
      return void writeDocument(io, effect);
    case 'forget-founders':
      return void forgetFounders(io);
    case 'reply':
      return io.calls.settle(effect.call, ({ resolve }) => resolve(effect.reply));
    case 'refuse':
      return io.calls.settle(effect.call, ({ reject }) =>
        reject(
          fault.make(
            { step: 'consensus.write', code: 'full' },
            'the request failed because its write did not complete',
          ),
        ),
      );
    case 'commit':
      return io.options.onCommit(effect.snapshot);
    case 'proposal-outcome':
      return io.proposals.settle(effect.proposal, (pending) => settleProposal(pending, effect.outcome));
    case 'read-outcome':
      return io.reads.settle(effect.read, (pending) => settleRead(pending, effect.outcome));
    case 'timer':
      return void io.options.runtime.clock.schedule(effect.after, () => io.dispatch(effect.event));
    case 'log':
      return io.log(effect.text);
  }
};

/** Returns a function that queues events and handles them in order: all effects of one are started before the next. */
const dispatcher = <S>(
  options: ConsensusOptions<S>,
  state: ReplicaState<S>,
  executeEffect: (effect: Effect<S>) => void,
  onFault: (event: Event<S>, error: Error) => void,
): ((event: Event<S>) => void) => {
  const { clock, rand } = options.runtime;
  const events: Event<S>[] = [];
  let running = false;
  const handle = (event: Event<S>): void => {
    try {
      const effects = replica.step(state, event, clock.now(), (limit) => rand.int(limit));
      for (const effect of effects) executeEffect(effect);
    } catch (error) {
      onFault(event, error as Error);
    }
  };
  return (event) => {
    events.push(event);
    if (running) return;
    running = true;
    for (let next = events.shift(); next !== undefined; next = events.shift()) handle(next);
    running = false;
  };
};

const serve = <S>(io: Io<S>): void => {
  const validators = wire.requestValidators(io.codec);
  for (const kind of Object.keys(wire.requestNames) as RequestMessage<S>['kind'][])
    io.options.rpc.on<unknown>(wire.requestNames[kind], validators[kind], async (body, from) => {
      const message = wire.decodeRequest<S>(kind, body, io.codec);
      const reply = await io.calls.add((call) => io.dispatch({ type: 'request', call, from, message }));
      return wire.encodeReply(reply, io.codec);
    });
};

const createState = <S>(
  { runtime, rpc, initial }: ConsensusOptions<S>,
  stored: Stored<S>,
  timing: Timing,
): ReplicaState<S> =>
  replica.create<S>({
    id: stored.id,
    at: rpc.address,
    founders: stored.founders,
    founding: stored.founding,
    initial,
    timing,
    term: stored.term,
    accepted: stored.accepted,
    now: runtime.clock.now(),
    random: (limit) => runtime.rand.int(limit),
  });

const openIo = <S>(
  options: ConsensusOptions<S>,
  codec: StateCodec<S>,
  state: ReplicaState<S>,
  lastFileVersion: number,
  log: (text: string) => void,
): Io<S> => {
  let fileVersion = lastFileVersion;
  const io: Io<S> = {
    id: state.id,
    options,
    codec,
    log,
    dispatch: dispatcher(
      options,
      state,
      (effect) => execute(io, effect),
      (event, error) => {
        log(`handling the event ${event.type} failed: ${fault.text(error)}.`);
        if (event.type === 'request') io.calls.settle(event.call, ({ reject }) => reject(error));
      },
    ),
    calls: pendingCalls(),
    proposals: pendingCalls(),
    reads: pendingCalls(),
    nextFileVersion: () => ++fileVersion,
  };
  return io;
};

const open = async <S>(options: ConsensusOptions<S>): Promise<Consensus<S>> => {
  const { runtime, durable } = options;
  const log = runtime.log('coordinator');
  await recoverFolder(durable, log);
  const codec = options.codec ?? wire.plainCodec<S>();
  const stored = await load(durable, codec, options, () => `coordinator-${runtime.rand.id()}`);
  const timing = { ...defaultTiming, ...options.timing };
  const state = createState(options, stored, timing);
  const io = openIo(options, codec, state, stored.fileVersion, log);
  serve(io);
  const stops = [
    time.every(runtime.clock, timing.heartbeat, () => io.dispatch({ type: 'heartbeat-due' })),
    time.every(runtime.clock, tickInterval, () => io.dispatch({ type: 'tick' })),
  ];
  return {
    id: state.id,
    role: () => state.role,
    committed: () => state.committed,
    leader: () => state.leader,
    isLeaseValid: () => replica.isLeaseValid(state, runtime.clock.now()),
    hasRecentContact: (memberId) => replica.hasRecentContact(state, memberId, runtime.clock.now()),
    propose: <R>(change: Change<S, R>) =>
      io.proposals.add((proposal) => io.dispatch({ type: 'propose', proposal, change })) as Promise<{
        index: number;
        result: R;
      }>,
    noteGroupExists: () => io.dispatch({ type: 'group-exists' }),
    readLinearizable: () => io.reads.add((read) => io.dispatch({ type: 'read', read })),
    close: () => {
      for (const stop of stops) stop();
      io.dispatch({ type: 'close' });
    },
  };
};

/** Starts a member from its documents on disk; rejects with the disk's error if they cannot be read. */
export const consensus = { open };
