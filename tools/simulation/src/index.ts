// Deterministic simulation testing: the simulated environment, deployments in it, scenarios, and guards of the tests.
export { simulatedDisk, world, type DiskState, type Host, type World } from './world/index.js';
export { fleet, type Fleet, type FleetProcess } from './fleet/index.js';
export { scenarios, type Scenario, type Outcome } from './scenarios/index.js';
export { scenarioTests } from './scenario-tests.js';
export { guard, guardRunner, type Guard, type NoticedBy, type Verdict } from './guards/index.js';
