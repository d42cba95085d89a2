import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { admissionScheduler } from '@thornsail/admission-scheduler';

test('the defaults are the documented ones', () => {
  const options = admissionScheduler.defaults();
  assert.equal(
    [
      options.pauseThreshold,
      options.pauseTarget,
      options.resumeHysteresis,
      options.resumeTimeout,
      options.idleRetention,
      options.tickInterval,
      options.actingTokenWeight,
      options.actingHalfLife,
      options.headroomTokens,
      options.maxTurns,
      options.maxPrograms,
    ],
    [0.95, 0.8, 0.1, duration.s(1800), duration.s(1800), duration.s(5), 1, duration.s(1), 100, 10_000, 10_000],
  );
});

test.run();
