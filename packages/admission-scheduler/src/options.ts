/** The scheduler's parameters and their defaults (§4.1); those of the source have its values. */
import { duration, type Microseconds } from '@thornsail/runtime';

/** Utilization is tokens over capacity; times are in microseconds. */
export type SchedulerOptions = {
  /** Utilization of a worker from which programs are paused. */
  pauseThreshold: number;
  /** Utilization that a pause drains a worker to. */
  pauseTarget: number;
  /** How far below `pauseThreshold` the utilization must be before programs are resumed. */
  resumeHysteresis: number;
  /** The source's limit on a hold; after it the turn is released by force. */
  resumeTimeout: Microseconds;
  /** How long an idle program is retained. */
  idleRetention: Microseconds;
  /** Time between two ticks; the caller's timer keeps it. */
  tickInterval: Microseconds;
  /** Weight of the tokens of ACTING programs in the utilization that pauses go by. */
  actingTokenWeight: number;
  /** Half-life of the tokens of ACTING programs when a turn is placed by force. */
  actingHalfLife: Microseconds;
  /** Tokens that a resume reserves for each active program to grow. */
  headroomTokens: number;
  /** Limit on held and running turns together. */
  maxTurns: number;
  /** Limit on programs in the table. */
  maxPrograms: number;
  /** Ours: the longest hold that keeps a client from giving up (§4.3). */
  holdLimit: Microseconds;
  /** Ours: also resume when a turn ends or capacity appears, not at the tick alone (§4.3). */
  resumeOnRoom: boolean;
  /** Ours: by how much utilization a worker of the gateway's zone may be fuller and still be chosen (§4.3). */
  localPreference: number;
};

/** The defaults of §4.1. */
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
