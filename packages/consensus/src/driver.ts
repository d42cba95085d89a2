/**
 * Runs the consensus state machine (§3.3): carries out its effects over RPC and disk, and feeds it what comes of them.
 */
import { fault, time, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { recoverFolder, type DurableStore } from '@thornsail/durable-files';
import type { Rpc } from '@thornsail/rpc';
import { consensusErrors } from './errors.js';
import { defaultTiming, replica } from './replica.js';
import type { Change, Effect, Event, ProposalOutcome, ReadOutcome, ReplicaState } from './types.js';
import type { ReplyMessage, RequestMessage, Role, Snapshot, Timing, WriteEffect } from './types.js';
import * as wire from './wire.js';
import type { EncodedSnapshot, StateCodec } from './wire.js';

/** A running member of the group. Times are in microseconds, indices grow by one with each version. */
export type Consensus<S> = {
  id: string;
  role: () => Role;
  /** The newest version known to be held by a quorum. */
  committed: () => Snapshot<S> | undefined;
  /** The address of the leader, as far as it is known here. */
  leader: () => Address | undefined;
  /** True while this leader was confirmed by a quorum lately. */
  isLeaseValid: () => boolean;
  /** Whether a member has acknowledged something of this leader lately; always true of itself. */
  isInTouch: (memberId: string) => boolean;
  /** Resolves once synced at a quorum. An error `not-leader` was not taken; `outcome-unknown` may have been. */
  propose: <R>(change: Change<S, R>) => Promise<{ index: number; result: R }>;
  /** The committed state, confirmed by a quorum after the time of asking. Errors: `not-leader`, `outcome-unknown`. */
  readAgreed: () => Promise<Snapshot<S>>;
  close: () => void;
};
/** What a member needs: its clock and chance, its connections, its disk, and the state to start from. */
export type ConsensusOptions<S> = {
  runtime: Runtime;
  rpc: Rpc;
  durable: DurableStore;
  founders: Address[];
  initial: S;
  onCommit: (snapshot: Snapshot<S>) => void;
  /** How the state is written between members and on disk; as it is where there is none. */
  codec?: StateCodec<S>;
  timing?: Partial<Timing>;
};

const tickInterval: Microseconds = duration.ms(50);
/** Codes of a write that the caller is told of; any other error is a fault of this program. */
const diskErrors = ['full', 'failed'];

type Waiting<T> = { resolve: (value: T) => void; reject: (error: Error) => void };

type Stored<S> = { id: string; term: number; accepted: Snapshot<S> | undefined; fileMark: number };
const load = async <S>(durable: DurableStore, codec: StateCodec<S>, newId: () => string): Promise<Stored<S>> => {
  const identity = await durable.read<wire.IdentityDocument>(wire.documents.identity);
  const id = identity?.value.id ?? newId();
  if (!identity) await durable.write(wire.documents.identity, 1, { id });
  const term = (await durable.read<wire.TermDocument>(wire.documents.term))?.value.view ?? 0;
  const kept = await durable.read<EncodedSnapshot>(wire.documents.snapshot);
  return { id, term, accepted: kept && wire.decodeSnapshot(kept.value, codec), fileMark: kept?.version ?? 0 };
};

/** The promises of callers, by number. */
const waitingCalls = <T>(): {
  add: (begin: (number: number) => void) => Promise<T>;
  settle: (number: number, act: (waiting: Waiting<T>) => void) => void;
} => {
  const waiting = new Map<number, Waiting<T>>();
  let last = 0;
  return {
    add: (begin) =>
      new Promise((resolve, reject) => {
        const number = ++last;
        waiting.set(number, { resolve, reject });
        begin(number);
      }),
    settle: (number, act) => {
      const one = waiting.get(number);
      waiting.delete(number);
      if (one) act(one);
    },
  };
};

const settleProposal = (waiting: Waiting<{ index: number; result: unknown }>, outcome: ProposalOutcome): void => {
  if (outcome.ok) waiting.resolve({ index: outcome.index, result: outcome.result });
  else if (outcome.code === 'failed') waiting.reject(outcome.error);
  else waiting.reject(consensusErrors.create(outcome.code, { step: 'consensus.propose' }));
};
const settleRead = <S>(waiting: Waiting<Snapshot<S>>, outcome: ReadOutcome<S>): void => {
  if (outcome.ok) waiting.resolve(outcome.snapshot);
  else waiting.reject(consensusErrors.create(outcome.code, { step: 'consensus.read' }));
};

type Io<S> = {
  options: ConsensusOptions<S>;
  codec: StateCodec<S>;
  dispatch: (event: Event<S>) => void;
  log: (text: string) => void;
  calls: ReturnType<typeof waitingCalls<ReplyMessage<S>>>;
  proposals: ReturnType<typeof waitingCalls<{ index: number; result: unknown }>>;
  reads: ReturnType<typeof waitingCalls<Snapshot<S>>>;
  nextFileMark: () => number;
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
      await durable.write(wire.documents.snapshot, io.nextFileMark(), wire.encodeSnapshot(effect.snapshot, io.codec));
  } catch (error) {
    const code = fault.info(error).code ?? '';
    io.log(`${effect.document} was not written: ${fault.text(error)}.`);
    io.dispatch({ type: 'write-failed', unchanged: code === 'full' });
    if (!diskErrors.includes(code)) throw error;
    return;
  }
  io.dispatch({ type: 'written' });
};

const carryOut = <S>(io: Io<S>, effect: Effect<S>): void => {
  switch (effect.type) {
    case 'send':
      return void sendRequest(io, effect);
    case 'write':
      return void writeDocument(io, effect);
    case 'reply':
      return io.calls.settle(effect.call, ({ resolve }) => resolve(effect.reply));
    case 'refuse':
      return io.calls.settle(effect.call, ({ reject }) =>
        reject(fault.make({ step: 'consensus.write', code: 'full' }, 'nothing was written')),
      );
    case 'commit':
      return io.options.onCommit(effect.snapshot);
    case 'proposal-outcome':
      return io.proposals.settle(effect.proposal, (waiting) => settleProposal(waiting, effect.outcome));
    case 'read-outcome':
      return io.reads.settle(effect.read, (waiting) => settleRead(waiting, effect.outcome));
    case 'timer':
      return void io.options.runtime.clock.schedule(effect.after, () => io.dispatch(effect.event));
    case 'log':
      return io.log(effect.text);
  }
};

/** Events are handled one after another, each with all its effects begun before the next. */
const dispatcher = <S>(
  options: ConsensusOptions<S>,
  state: ReplicaState<S>,
  carryOutEffect: (effect: Effect<S>) => void,
  onFault: (event: Event<S>, error: Error) => void,
): ((event: Event<S>) => void) => {
  const { clock, rand } = options.runtime;
  const events: Event<S>[] = [];
  let running = false;
  const handle = (event: Event<S>): void => {
    try {
      const effects = replica.step(state, event, clock.now(), (limit) => rand.int(limit));
      for (const effect of effects) carryOutEffect(effect);
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
  const shapes = wire.requestValidators(io.codec);
  for (const kind of Object.keys(wire.requestNames) as RequestMessage<S>['kind'][])
    io.options.rpc.on<unknown>(wire.requestNames[kind], shapes[kind], async (body, from) => {
      const message = wire.decodeRequest<S>(kind, body, io.codec);
      const reply = await io.calls.add((call) => io.dispatch({ type: 'request', call, from, message }));
      return wire.encodeReply(reply, io.codec);
    });
};

const createState = <S>(
  { runtime, rpc, founders, initial }: ConsensusOptions<S>,
  stored: Stored<S>,
  timing: Timing,
): ReplicaState<S> =>
  replica.create<S>({
    id: stored.id,
    at: rpc.address,
    founders,
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
  lastFileMark: number,
  log: (text: string) => void,
): Io<S> => {
  let fileMark = lastFileMark;
  const io: Io<S> = {
    options,
    codec,
    log,
    dispatch: dispatcher(
      options,
      state,
      (effect) => carryOut(io, effect),
      (event, error) => {
        log(`${event.type} failed: ${fault.text(error)}.`);
        if (event.type === 'request') io.calls.settle(event.call, ({ reject }) => reject(error));
      },
    ),
    calls: waitingCalls(),
    proposals: waitingCalls(),
    reads: waitingCalls(),
    nextFileMark: () => ++fileMark,
  };
  return io;
};

const open = async <S>(options: ConsensusOptions<S>): Promise<Consensus<S>> => {
  const { runtime, durable } = options;
  const log = runtime.log('coordinator');
  await recoverFolder(durable, log);
  const codec = options.codec ?? wire.plainCodec<S>();
  const stored = await load(durable, codec, () => `coordinator-${runtime.rand.id()}`);
  const timing = { ...defaultTiming, ...options.timing };
  const state = createState(options, stored, timing);
  const io = openIo(options, codec, state, stored.fileMark, log);
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
    isInTouch: (memberId) => replica.isInTouch(state, memberId, runtime.clock.now()),
    propose: <R>(change: Change<S, R>) =>
      io.proposals.add((proposal) => io.dispatch({ type: 'propose', proposal, change })) as Promise<{
        index: number;
        result: R;
      }>,
    readAgreed: () => io.reads.add((read) => io.dispatch({ type: 'read', read })),
    close: () => {
      for (const stop of stops) stop();
      io.dispatch({ type: 'close' });
    },
  };
};

/** Starts a member from its documents on disk. Rejects with the error of the disk where these cannot be read. */
export const consensus = { open };
