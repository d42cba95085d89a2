/** The operations that the coordinators serve (§3.3): each member takes requests, and the leader carries them out. */
import type { Clock } from '@thornsail/runtime';
import { configuration, type Push, type PushResult } from './configuration.js';
import { waitForConfirmation, type UsedVersion } from './confirmation.js';
import type { CoreRequest, CoreResult } from './core-messages.js';
import type { Consensus } from './driver.js';
import { consensusErrors } from './errors.js';
import { storeGroup } from './store-group.js';
import type { GroupMaintenance } from './group-maintenance.js';
import { agreedState, type AgreedState } from './agreed-state.js';
import type { Rulings } from './rulings.js';

/** What the operations work on. */
export type OperationOptions = {
  clock: Clock;
  consensus: Consensus<AgreedState>;
  failures: Rulings;
  maintenance: Pick<GroupMaintenance, 'storesRepaired'>;
  /** A drain never leaves fewer stores than this. */
  leastStores: number;
  /** Where there is none, a push is acknowledged once it is committed. */
  usedVersion?: UsedVersion;
  /** What the leader adds to a read of its own knowledge. */
  news?: () => unknown;
};
type Outcome = { index: number; result: unknown };
type PushOutcome = { index: number; result: PushResult };

/**
 * Acknowledged once a majority of coordinators has it and the gateways use it; otherwise its outcome is not known.
 */
const push = async (options: OperationOptions, request: Push): Promise<PushOutcome> => {
  const { clock, consensus, usedVersion } = options;
  const outcome = await consensus.propose((state) => configuration.push(state, request, clock.wallTime()));
  const { index, result } = outcome;
  const committed = (): AgreedState | undefined => consensus.committed()?.state;
  if (!result.ok || !usedVersion || committed()?.config.value?.acknowledge === 'agreed') return outcome;
  const confirmation = await waitForConfirmation(clock, committed, result.mark, usedVersion);
  if (confirmation.ok) return outcome;
  return { index, result: { ok: false, why: 'unconfirmed', mark: result.mark, gateways: confirmation.gateways } };
};

const read = async ({ consensus, maintenance, news }: OperationOptions): Promise<Outcome> => {
  const { term, index, members, state } = await consensus.readAgreed();
  const repaired = maintenance.storesRepaired(state);
  return { index, result: { state, term, members, news: news?.() ?? null, repaired } };
};

const run = async (options: OperationOptions, request: CoreRequest): Promise<Outcome> => {
  const { clock, consensus } = options;
  switch (request.type) {
    case 'push':
      return push(options, request.push);
    case 'read':
      return read(options);
    case 'join':
      return consensus.propose((state) => agreedState.join(state, request.node, clock.wallTime()));
    case 'sweep-complete':
      return consensus.propose((state) => storeGroup.swept(state, request.version));
    case 'drain':
      return consensus.propose((state) => storeGroup.drain(state, request.id, request.on, options.leastStores));
    case 'suspect':
      if (consensus.role() !== 'leader') throw consensusErrors.create('not-leader', { step: 'suspect' });
      options.failures.hear(request.suspicions);
      return { index: consensus.committed()?.index ?? 0, result: true };
  }
};

/** Carries out a request, or says who leads. `founders` are named as members while no version is known. */
export const serveRequest = async (
  options: OperationOptions,
  request: CoreRequest,
  founders: string[],
): Promise<CoreResult> => {
  const { consensus } = options;
  try {
    const { index, result } = await run(options, request);
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
