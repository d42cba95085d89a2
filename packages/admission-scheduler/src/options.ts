/** The scheduler's parameters and their defaults (§4.1). Parameters taken from ThunderAgent have its default values. */
import { duration, type Microseconds } from '@thornsail/runtime';

/** Scheduler parameters. Utilization is tokens divided by KV cache capacity; times are in microseconds. */
export type SchedulerOptions = {
  /** Utilization of a worker at and above which its programs are paused. */
  pauseThreshold: number;
  /** Utilization to which pausing reduces a worker. */
  pauseTarget: number;
  /** How far utilization must be below `pauseThreshold` before programs are resumed. */
  resumeHysteresis: number;
  /** ThunderAgent's limit on how long a turn is held; the turn is force-released afterwards. */
  resumeTimeout: Microseconds;
  /** How long an idle program stays in the program table. */
  idleRetention: Microseconds;
  /** Interval between ticks; the caller runs the timer. */
  tickInterval: Microseconds;
  /** Weight of the tokens of ACTING programs in utilization. */
  actingTokenWeight: number;
  /** Half-life by which the tokens of ACTING programs decay when a forced release chooses a worker. */
  actingHalfLife: Microseconds;
  /** Tokens reserved for the growth of each active program's context when programs are resumed. */
  headroomTokens: number;
  /** Maximum number of held and running turns together. */
  maxTurns: number;
  /** Maximum number of programs in the table. */
  maxPrograms: number;
  /** Not in ThunderAgent: the maximum time a turn is held, short enough that clients do not time out (§4.3). */
  holdLimit: Microseconds;
  /** Not in ThunderAgent: resume also when a turn ends or capacity becomes available, not only on a tick (§4.3). */
  resumeOnRoom: boolean;
  /**
   * Not in ThunderAgent: a worker in the gateway's zone is preferred while its utilization exceeds that of another
   * worker by less than this (§4.3).
   */
  localPreference: number;
};

/** The default parameters (§4.1). */
export const defaultOptions = (): SchedulerOptions => ({
  pauseThreshold: 0.95,
  pauseTarget: 0.8,
  resumeHysteresis: 0.1,
  resumeTimeout: duration.s(1800),
  idleRetention: duration.s(1800),
  tickInterval: duration.s(5),
  actingTokenWeight: 1,
  actingHalfLife: duration.s(1),
  headroomTokens: 100,
  maxTurns: 10_000,
  maxPrograms: 10_000,
  holdLimit: duration.ms(1500),
  resumeOnRoom: true,
  localPreference: 0,
});
