/** Leases with fencing tokens: one holder at a time, by the grants of a majority of voters (§3.6). */
export { lease, type Lease, type LeaseOptions } from './lease.js';
export { leaseVoter, type Grant, type LeaseVoter, type LeaseVoterOptions } from './voter.js';
