export { simulatedDisk, world, type DiskState, type Host, type World } from './world/index.js';
export { fleet, type Fleet, type FleetProcess } from './fleet/index.js';
export { scenarios, type Scenario, type Outcome } from './scenarios/index.js';
export { rules } from './rules.js';
export { guard, guardRunner, type Guard, type NoticedBy, type Verdict } from './guards/index.js';
