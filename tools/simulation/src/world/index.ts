// The simulated outside of a deployment: time, network, disks, and the faults that they may have.
export { simulatedDisk, type DiskState } from './disk.js';
export type { Host } from './host.js';
export { world, type World, type WorldOptions } from './world.js';
