export { world, type World, type Host } from './world.js';
export { fleet, type Fleet, type FleetProcess as Proc } from './fleet.js';
export { scenarios, type Scenario, type Outcome } from './scenarios/index.js';
export { simulatedDisk, type DiskState } from './disk.js';
export { rules } from './rules.js';
export { guard, guardRunner, type Guard, type NoticedBy, type Verdict } from './guards/index.js';
