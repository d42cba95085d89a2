/** Services and state that all requests of one gateway share. */
import type { Config } from '@thornsail/config-schema';
import type { GatewayMembership } from './gateway-membership.js';
import type { Address, Runtime } from '@thornsail/runtime';
import type { Admission } from './admission.js';
import type { BudgetAccounts } from './records/budget-accounts.js';
import type { Conversations } from './records/conversations.js';
import type { IdempotencyKeys, KeyClaim } from './records/idempotency-keys.js';
import type { WorkerOutcome } from './request-metrics.js';
import type { TimelineObserver } from './request-timeline.js';
import type { Responses } from './responses.js';

/** One gateway, as the request steps use it. */
export type Gateway = {
  runtime: Runtime;
  id: string;
  membership: GatewayMembership;
  admission: Admission;
  keys: IdempotencyKeys;
  budgets: BudgetAccounts;
  conversations: Conversations;
  responses: Responses;
  /** The configuration in use. No request is served before there is one. */
  config: () => Config;
  /** Increments a counter. */
  count: (counter: string) => void;
  log: (text: string) => void;
  /** Called with each finished request. */
  requestEnded: TimelineObserver;
  /** Counts an exchange with a worker in the metrics only. */
  workerOutcome: (worker: string, outcome: WorkerOutcome) => void;
  /** Reports to load balancer and metrics that an exchange succeeded (`answered`) or that the worker failed. */
  exchangeEnded: (worker: string, outcome: 'answered' | 'failed' | 'lost' | 'cut') => void;
  /** IDs of this gateway's requests whose records are not closed yet. */
  inFlight: Set<string>;
  /** Takes one retry from the retry budget; false if it is used up (§5.4). */
  takeRetry: () => boolean;
  /**
   * Refreshes the membership if it is stale because the process was suspended: nothing is dispatched on a stale
   * membership (§3.7). False if it could not be refreshed.
   */
  refreshIfStale: () => Promise<boolean>;
  /** Reports that a program has moved here from another gateway, so that the other one drops its state (§4.4). */
  reportTakeover: (program: string) => void;
  /** Queries another gateway on whether a turn is still in flight there. Rejects if it does not answer. */
  isTurnOpenAt: (address: Address, turn: string) => Promise<boolean>;
};

/**
 * Whether the gateway that claimed a key still has the request in flight. Decided by that gateway's answer and never by
 * clocks; a live gateway that does not answer may still be serving it, so the result is true.
 */
export const isInFlight = async (gateway: Gateway, claim: KeyClaim): Promise<boolean> => {
  if (claim.by === gateway.id) return gateway.inFlight.has(claim.turn);
  const node = gateway.membership.state()?.nodes[claim.by];
  if (!node || node.status === 'dead') return false;
  return gateway.isTurnOpenAt(node.place, claim.turn).catch(() => true);
};
