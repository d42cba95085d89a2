/** Admission scheduler: decides when the turns of agent programs are sent to model workers. */
export { admissionScheduler, type SchedulerLoad } from './scheduler.js';
export type { SchedulerOptions } from './options.js';
export type {
  HeldTurn,
  PeerLoad,
  Program,
  ProgramPhase,
  ProgramStatus,
  RejectionReason,
  ReleaseReason,
  SchedulerCounts,
  SchedulerEffect,
  SchedulerEvent,
  SchedulerState,
  TurnArrival,
  TurnCompletion,
  Worker,
} from './types.js';
