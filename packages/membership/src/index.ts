/** Cluster membership of a node: discovery, joining, and the newest agreed state (§3.2). */
export { membership } from './membership.js';
export type { Membership, MembershipOptions } from './types.js';
export { isLoad } from './update-validators.js';
