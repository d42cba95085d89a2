// All guards of the packages and the program, from one list for each package whose built code they change.
import { admissionSchedulerGuards } from './admission-scheduler.js';
import { consensusGuards } from './consensus.js';
import { dataPlaneGuards } from './data-plane.js';
import { disseminationGuards } from './dissemination.js';
import { durableFilesGuards } from './durable-files.js';
import { leasesGuards } from './leases.js';
import { loadBalancerGuards } from './load-balancer.js';
import { membershipGuards } from './membership.js';
import { registerStoreGuards } from './register-store.js';
import { rpcGuards } from './rpc.js';
import { runtimeGuards } from './runtime.js';
import { simulationGuards } from './simulation.js';
import { thornsailGuards } from './thornsail.js';
import { tokenBudgetGuards } from './token-budget.js';
import type { Guard } from './guard.js';

export { guard, type Guard, type NoticedBy, type Replacement } from './guard.js';
export { guardRunner, type Verdict } from './runner.js';

/** Every guard that `npm run guards` disables; names are unique and listed in docs/FAILURES.md. */
export const guards: readonly Guard[] = [
  ...admissionSchedulerGuards,
  ...consensusGuards,
  ...dataPlaneGuards,
  ...disseminationGuards,
  ...durableFilesGuards,
  ...leasesGuards,
  ...loadBalancerGuards,
  ...membershipGuards,
  ...registerStoreGuards,
  ...rpcGuards,
  ...runtimeGuards,
  ...simulationGuards,
  ...thornsailGuards,
  ...tokenBudgetGuards,
];
