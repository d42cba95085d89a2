/** Leases with fencing tokens: a majority of voters grants each lease to one holder at a time (§3.6). */
export { lease, type Lease, type LeaseOptions } from './lease.js';
export { leaseVoter, type Grant, type LeaseVoter, type LeaseVoterOptions } from './voter.js';
