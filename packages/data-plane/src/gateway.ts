/** What all requests share at one gateway. */
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

/** One gateway, as the steps of a request see it. */
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
  /** Adds one to a counter. */
  count: (counter: string) => void;
  log: (text: string) => void;
  /** Is told of each request that has ended, and of each exchange with a worker. */
  requestEnded: TimelineObserver;
  workerOutcome: (worker: string, outcome: WorkerOutcome) => void;
  /** Tells the load balancer and the metrics of an exchange that the worker has ended well, or has failed. */
  exchangeEnded: (worker: string, outcome: 'answered' | 'failed' | 'lost' | 'cut') => void;
  /** Requests of this gateway whose records are not closed, by id. */
  inFlight: Set<string>;
  /** Takes one from the retry budget, if there is one left (§5.4). */
  takeRetry: () => boolean;
  /** After a freeze nothing is dispatched on an old membership (§3.7). False: it could not be refreshed. */
  refreshIfStale: () => Promise<boolean>;
  /** A program was served by another gateway before: that one forgets it (§4.4). */
  programTakenOver: (program: string) => void;
  /** Asks another gateway whether it still has a turn in flight. */
  isTurnOpenAt: (address: Address, turn: string) => Promise<boolean>;
};

/**
 * Whether the gateway that claimed a key still has the request in flight. That gateway's own answer decides, never a
 * clock; one that does not answer may still be serving it.
 */
export const isInFlight = async (gateway: Gateway, claim: KeyClaim): Promise<boolean> => {
  if (claim.by === gateway.id) return gateway.inFlight.has(claim.turn);
  const node = gateway.membership.state()?.nodes[claim.by];
  if (!node || node.status === 'dead') return false;
  return gateway.isTurnOpenAt(node.place, claim.turn).catch(() => true);
};
