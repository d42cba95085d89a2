/** Derives the scheduler's options from the configuration (§7.1). */
import type { SchedulerOptions } from '@thornsail/admission-scheduler';
import type { Config } from '@thornsail/config-schema';
import { duration } from '@thornsail/runtime';

/** Converts the settings, in seconds and milliseconds, to options in microseconds. */
export const optionsOf = ({ scheduler }: Config): SchedulerOptions => ({
  pauseThreshold: scheduler.pauseThreshold,
  pauseTarget: scheduler.pauseTarget,
  resumeHysteresis: scheduler.resumeHysteresis,
  resumeTimeout: duration.s(scheduler.resumeTimeoutSeconds),
  idleRetention: duration.s(scheduler.retentionSeconds),
  tickInterval: duration.s(scheduler.intervalSeconds),
  actingTokenWeight: scheduler.actingTokenWeight,
  actingHalfLife: duration.s(scheduler.actingDecaySeconds),
  headroomTokens: scheduler.headroomTokens,
  maxTurns: scheduler.maxTurns,
  maxPrograms: scheduler.maxPrograms,
  holdLimit: duration.ms(scheduler.holdLimitMs),
  resumeOnRoom: scheduler.resumeOnRoom,
  localPreference: scheduler.localPreference,
});
