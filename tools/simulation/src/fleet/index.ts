// Complete deployments in the simulator.
export { fleet } from './fleet.js';
export type { Fleet, FleetProcess } from './types.js';
