/** The operations that the coordinators serve (§3.3). Every member accepts requests; only the leader executes them. */
import type { Clock } from '@thornsail/runtime';
import { configuration, type Push, type PushResult } from './configuration.js';
import { waitForConfirmation, type UsedVersion } from './confirmation.js';
import type { CoreRequest, CoreResult } from './core-messages.js';
import type { Consensus } from './driver.js';
import { consensusErrors } from './errors.js';
import { storeGroup } from './store-group.js';
import type { GroupMaintenance } from './group-maintenance.js';
import { agreedState, type AgreedState } from './agreed-state.js';
import type { SuspicionTracker } from './suspicions.js';

/** Dependencies and settings of the operations. */
export type OperationOptions = {
  clock: Clock;
  consensus: Consensus<AgreedState>;
  suspicions: SuspicionTracker;
  maintenance: Pick<GroupMaintenance, 'isStoreGroupRepaired'>;
  /** A drain that would leave fewer live stores than this is refused. */
  leastStores: number;
  /** The configuration version in use at a gateway. If absent, a push is acknowledged as soon as it is committed. */
  usedVersion?: UsedVersion;
  /** Data of the leader's own, outside the agreed state, that it adds to the result of a read. */
  news?: () => unknown;
};
type Outcome = { index: number; result: unknown };
type PushOutcome = { index: number; result: PushResult };

/**
 * Proposes the push and waits until the gateways use it. The result is `unconfirmed` if the push is committed but the
 * gateways have not confirmed it in time. With `acknowledge: 'agreed'` the commit alone is enough.
 */
const pushConfiguration = async (options: OperationOptions, request: Push): Promise<PushOutcome> => {
  const { clock, consensus, usedVersion } = options;
  const outcome = await consensus.propose((state) => configuration.push(state, request, clock.wallTime()));
  const { index, result } = outcome;
  const committed = (): AgreedState | undefined => consensus.committed()?.state;
  if (!result.ok || !usedVersion || committed()?.config.value?.acknowledge === 'agreed') return outcome;
  const confirmation = await waitForConfirmation(clock, committed, result.mark, usedVersion);
  if (confirmation.ok) return outcome;
  return { index, result: { ok: false, why: 'unconfirmed', mark: result.mark, gateways: confirmation.gateways } };
};

const readState = async ({ consensus, maintenance, news }: OperationOptions): Promise<Outcome> => {
  const { term, index, members, state } = await consensus.readLinearizable();
  const repaired = maintenance.isStoreGroupRepaired(state);
  return { index, result: { state, term, members, news: news?.() ?? null, repaired } };
};

const execute = async (options: OperationOptions, request: CoreRequest): Promise<Outcome> => {
  const { clock, consensus } = options;
  switch (request.type) {
    case 'push':
      return pushConfiguration(options, request.push);
    case 'read':
      return readState(options);
    case 'join':
      return consensus.propose((state) => agreedState.join(state, request.node, clock.wallTime()));
    case 'sweep-complete':
      return consensus.propose((state) => storeGroup.swept(state, request.version));
    case 'drain':
      return consensus.propose((state) => storeGroup.drain(state, request.id, request.on, options.leastStores));
    case 'suspect':
      if (consensus.role() !== 'leader') throw consensusErrors.create('not-leader', { step: 'suspect' });
      options.suspicions.record(request.suspicions);
      return { index: consensus.committed()?.index ?? 0, result: true };
  }
};

/**
 * Executes a request. If this member is not the leader or cannot confirm the outcome, the result has the reason, the
 * known leader and the members; `founders` are returned as members while no version is known.
 */
export const serveRequest = async (
  options: OperationOptions,
  request: CoreRequest,
  founders: string[],
): Promise<CoreResult> => {
  const { consensus } = options;
  try {
    const { index, result } = await execute(options, request);
    return { ok: true, index, value: result };
  } catch (error) {
    const code = consensusErrors.codeOf(error);
    if (code !== 'not-leader' && code !== 'outcome-unknown') throw error;
    return {
      ok: false,
      reason: code,
      leader: consensus.role() === 'leader' ? null : (consensus.leader() ?? null),
      members: consensus.committed()?.members.map((member) => member.at) ?? founders,
    };
  }
};
