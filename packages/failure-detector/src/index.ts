/** Failure detection with heartbeats between neighbours on a ring (§3.2). */
export {
  failureDetector,
  type FailureDetector,
  type FailureDetectorOptions,
  type FailureDetectorTiming,
} from './detector.js';
export type { Peer } from './neighbours.js';
export { ring } from './ring.js';
