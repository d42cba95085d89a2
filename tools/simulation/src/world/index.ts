// The simulated environment of a deployment: time, network and disks, with fault injection.
export { simulatedDisk, type DiskState } from './disk.js';
export type { Host } from './host.js';
export { world, type World, type WorldOptions } from './world.js';
