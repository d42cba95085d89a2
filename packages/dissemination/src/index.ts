/** Dissemination of small versioned items to all nodes (§3.5). */
export { dissemination } from './dissemination.js';
export { relayTree } from './relay-tree.js';
export type { Dissemination, DisseminationOptions, DisseminationTiming, Item, Relay, Update } from './types.js';
