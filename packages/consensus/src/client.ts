/**
 * The client of the coordinators (§3.3), used by every node. It tries the last known leader first, then the leader that
 * a member redirects it to, then the other members.
 */
import { time, duration, type Clock, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { coreCodec, coreRequestName } from './core-messages.js';
import { consensusErrors } from './errors.js';
import type { CoreRequest, CoreResult, CoreValue, EncodedResult } from './core-messages.js';

/** A node's client of the coordinators. Timeouts are in microseconds. */
export type CoreClient = {
  /**
   * Sends a request and returns its agreed result. All requests are idempotent, so a request with an unknown outcome is
   * sent again. Throws `no-quorum` after `timeLeft` without an agreed result; requests that an operator waits for end
   * after `operatorTimeout` already.
   */
  request: <R extends CoreRequest>(
    request: R,
    timeLeft?: Microseconds,
  ) => Promise<{ index: number; value: CoreValue<R> }>;
};

type AgreedResult<R extends CoreRequest> = Extract<CoreResult<CoreValue<R>>, { ok: true }>;

/** A member that does not reply in this time may be down. Sending the request again or to another member is safe. */
const requestTimeout = duration.ms(500);
/** After this time without a reply the next member is tried as well; the first reply that arrives counts. */
const hedgeDelay = duration.ms(150);
/** Below one second, because an operator's client goes on to another node after a second without a reply. */
const operatorTimeout = duration.ms(800);
const operatorRequests: readonly CoreRequest['type'][] = ['push', 'read', 'drain'];
const defaultTimeLeft = duration.s(4);
const pauseBetweenRounds = duration.ms(40);
/** Upper bound of the random time that is added to the pause. */
const pauseJitter = duration.ms(60);

type Client = {
  runtime: Runtime;
  rpc: Rpc;
  leader: Address | undefined;
  /** The members in the most recent redirect of a coordinator. */
  redirectMembers: Address[];
  lastError: unknown;
};

/**
 * Rejects after `timeout` microseconds without a reply. A request to the node's own coordinator uses no connection, so
 * no other timeout applies to it.
 */
const withTimeout = <T>(clock: Clock, timeout: Microseconds, to: Address, reply: Promise<T>): Promise<T> =>
  new Promise((resolve, reject) => {
    const stopTimer = clock.schedule(timeout, () =>
      reject(consensusErrors.create('outcome-unknown', { step: 'core', peer: to, message: 'no reply in time' })),
    );
    reply.then(resolve, reject).finally(stopTimer);
  });

/** Sends the request to one member. Returns its result if it is agreed; otherwise records the leader that it names. */
const requestFromMember = async <R extends CoreRequest>(
  client: Client,
  to: Address,
  request: R,
  timeout: Microseconds,
): Promise<AgreedResult<R> | undefined> => {
  try {
    const reply = client.rpc.request<EncodedResult>(to, coreRequestName, coreCodec.encodeRequest(request), timeout);
    const result = coreCodec.decodeResult(request, await withTimeout(client.runtime.clock, timeout, to, reply));
    if (result.ok) {
      client.leader = to;
      return result;
    }
    client.redirectMembers = result.members;
    if (result.leader && result.leader !== to) client.leader = result.leader;
    else if (client.leader === to) client.leader = undefined;
    client.lastError = consensusErrors.create(result.reason, { step: `core.${request.type}`, peer: to });
  } catch (error) {
    client.lastError = error;
    if (client.leader === to) client.leader = undefined;
  }
  return undefined;
};

/**
 * Sends the request to each member at most once, going on to the next when one refuses, fails or is slow. Ends with the
 * first agreed result, or `undefined` if no member returned one.
 */
const requestRound = <R extends CoreRequest>(
  client: Client,
  request: R,
  members: Address[],
  end: Microseconds,
): Promise<AgreedResult<R> | undefined> =>
  new Promise((resolve) => {
    const { clock } = client.runtime;
    const candidates = [...members];
    const requested = new Set<Address>();
    let outstanding = 0;
    let stopTimer = (): void => undefined;
    const next = (): Address | undefined => {
      const { leader } = client;
      if (leader !== undefined && !requested.has(leader)) return leader;
      return candidates.find((member) => !requested.has(member));
    };
    const finish = (result: AgreedResult<R> | undefined): void => {
      stopTimer();
      requested.clear();
      candidates.length = 0;
      outstanding = -Infinity;
      resolve(result);
    };
    const requestNext = (): void => {
      stopTimer();
      const to = outstanding < 0 ? undefined : next();
      if (to === undefined) {
        if (outstanding === 0) finish(undefined);
        return;
      }
      requested.add(to);
      outstanding += 1;
      stopTimer = clock.schedule(hedgeDelay, requestNext);
      const timeout = Math.min(requestTimeout, Math.max(duration.ms(1), end - clock.now()));
      void requestFromMember(client, to, request, timeout).then((result) => {
        outstanding -= 1;
        if (result) finish(result);
        else requestNext();
      });
    };
    requestNext();
  });

const requestUntilTimeout = async <R extends CoreRequest>(
  client: Client,
  request: R,
  members: () => Address[],
  timeLeft: Microseconds,
): Promise<{ index: number; value: CoreValue<R> }> => {
  const { clock, rand } = client.runtime;
  const timeout = operatorRequests.includes(request.type) ? Math.min(timeLeft, operatorTimeout) : timeLeft;
  const end = clock.now() + timeout;
  while (clock.now() < end) {
    const targets = [...new Set([...members(), ...client.redirectMembers])];
    const result = await requestRound(client, request, targets, end);
    if (result) return { index: result.index, value: result.value };
    const pause = pauseBetweenRounds + rand.int(pauseJitter);
    if (clock.now() + pause >= end) break;
    await time.sleep(clock, pause);
  }
  throw consensusErrors.create('no-quorum', { step: `core.${request.type}`, cause: client.lastError });
};

/** Opens a client. `coordinators` returns the addresses known now; those in redirects of the members are added. */
export const coreClient = {
  open: (options: { runtime: Runtime; rpc: Rpc; coordinators: () => Address[] }): CoreClient => {
    const { runtime, rpc, coordinators } = options;
    const client: Client = { runtime, rpc, leader: undefined, redirectMembers: [], lastError: undefined };
    return {
      request: (request, timeLeft = defaultTimeLeft) => requestUntilTimeout(client, request, coordinators, timeLeft),
    };
  },
};
