/** How any node reaches the coordinators (§3.3): the leader it knew last, then a redirect, then the others. */
import { time, duration, type Clock, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { coreCodec, coreRequestName } from './core-messages.js';
import { consensusErrors } from './errors.js';
import type { CoreRequest, CoreResult, CoreValue, EncodedResult } from './core-messages.js';

/** A node's client of the coordinators. Time-outs are in microseconds. */
export type CoreClient = {
  /**
   * Every operation may be repeated safely, so an unknown outcome is simply asked again. Throws with code
   * `no-quorum` when `timeLeft` is over; for what an operator waits for, as soon as no member has given an agreed
   * answer for `operatorPatience`.
   */
  request: <R extends CoreRequest>(
    request: R,
    timeLeft?: Microseconds,
  ) => Promise<{ index: number; value: CoreValue<R> }>;
};

type Agreed<R extends CoreRequest> = Extract<CoreResult<CoreValue<R>>, { ok: true }>;

/** A member that does not answer in this time may be gone. To ask another, or twice, has no other effect. */
const requestLimit = duration.ms(500);
/** A member that has not answered in this time is still waited for, while the next one is asked. */
const hedgeAfter = duration.ms(150);
/** An operator's client goes on to another node after a second of silence: it gets its answer before. */
const operatorPatience = duration.ms(800);
const operatorCalls: readonly CoreRequest['type'][] = ['push', 'read', 'drain'];
const defaultTimeLeft = duration.s(4);
const pauseBetweenRounds = duration.ms(40);
const pauseSpread = duration.ms(60);

type Client = {
  runtime: Runtime;
  rpc: Rpc;
  leader: Address | undefined;
  /** Members that a coordinator named last. */
  named: Address[];
  lastError: unknown;
};

/** A question to the node's own coordinator goes over no connection, so nothing else bounds it. */
const answerWithin = <T>(clock: Clock, limit: Microseconds, to: Address, answer: Promise<T>): Promise<T> =>
  new Promise((resolve, reject) => {
    const stopTimer = clock.schedule(limit, () =>
      reject(consensusErrors.create('outcome-unknown', { step: 'core', peer: to, message: 'no answer in time' })),
    );
    answer.then(resolve, reject).finally(stopTimer);
  });

/** One member's answer, if it is an agreed one; what it says of the leader is remembered. */
const askOne = async <R extends CoreRequest>(
  client: Client,
  to: Address,
  request: R,
  limit: Microseconds,
): Promise<Agreed<R> | undefined> => {
  try {
    const sent = client.rpc.request<EncodedResult>(to, coreRequestName, coreCodec.encodeRequest(request), limit);
    const result = coreCodec.decodeResult(request, await answerWithin(client.runtime.clock, limit, to, sent));
    if (result.ok) {
      client.leader = to;
      return result;
    }
    client.named = result.members;
    if (result.leader && result.leader !== to) client.leader = result.leader;
    else if (client.leader === to) client.leader = undefined;
    client.lastError = consensusErrors.create(result.reason, { step: `core.${request.type}`, peer: to });
  } catch (error) {
    client.lastError = error;
    if (client.leader === to) client.leader = undefined;
  }
  return undefined;
};

/** Asks each member once, the next one when one refused or is slow; the first agreed answer ends it. */
const askRound = <R extends CoreRequest>(
  client: Client,
  request: R,
  members: Address[],
  end: Microseconds,
): Promise<Agreed<R> | undefined> =>
  new Promise((resolve) => {
    const { clock } = client.runtime;
    const left = [...members];
    const asked = new Set<Address>();
    let open = 0;
    let stopTimer = (): void => undefined;
    const next = (): Address | undefined => {
      const { leader } = client;
      if (leader !== undefined && !asked.has(leader)) return leader;
      return left.find((member) => !asked.has(member));
    };
    const finish = (result: Agreed<R> | undefined): void => {
      stopTimer();
      asked.clear();
      left.length = 0;
      open = -Infinity;
      resolve(result);
    };
    const askNext = (): void => {
      stopTimer();
      const to = open < 0 ? undefined : next();
      if (to === undefined) {
        if (open === 0) finish(undefined);
        return;
      }
      asked.add(to);
      open += 1;
      stopTimer = clock.schedule(hedgeAfter, askNext);
      const limit = Math.min(requestLimit, Math.max(duration.ms(1), end - clock.now()));
      void askOne(client, to, request, limit).then((result) => {
        open -= 1;
        if (result) finish(result);
        else askNext();
      });
    };
    askNext();
  });

const askUntil = async <R extends CoreRequest>(
  client: Client,
  request: R,
  members: () => Address[],
  timeLeft: Microseconds,
): Promise<{ index: number; value: CoreValue<R> }> => {
  const { clock, rand } = client.runtime;
  const patience = operatorCalls.includes(request.type) ? Math.min(timeLeft, operatorPatience) : timeLeft;
  const end = clock.now() + patience;
  while (clock.now() < end) {
    const all = [...new Set([...members(), ...client.named])];
    const result = await askRound(client, request, all, end);
    if (result) return { index: result.index, value: result.value };
    const pause = pauseBetweenRounds + rand.int(pauseSpread);
    if (clock.now() + pause >= end) break;
    await time.sleep(clock, pause);
  }
  throw consensusErrors.create('no-quorum', { step: `core.${request.type}`, cause: client.lastError });
};

/** Opens a client; `coordinators` gives the addresses known now, to which those that members name are added. */
export const coreClient = {
  open: (options: { runtime: Runtime; rpc: Rpc; coordinators: () => Address[] }): CoreClient => {
    const { runtime, rpc, coordinators } = options;
    const client: Client = { runtime, rpc, leader: undefined, named: [], lastError: undefined };
    return {
      request: (request, timeLeft = defaultTimeLeft) => askUntil(client, request, coordinators, timeLeft),
    };
  },
};
