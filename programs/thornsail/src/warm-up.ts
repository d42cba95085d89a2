/** Warms a gateway up on an ordinary start, while it gets no requests yet (§5.10). */
import { warmUp } from '@thornsail/data-plane';
import { duration, time, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Node } from './roles.js';

/** A gateway that starts in a running cluster gets its first requests within this time, and needs no warm-up. */
const firstRequestsWithin: Microseconds = duration.s(2.5);
/** Enough to compile most functions on the path of a request. */
const programs = 10;
const maxDuration: Microseconds = duration.s(6);
/** A small part of the time that clients wait for a first event or an answer. */
const goodEnough: Microseconds = duration.ms(12);

/** Warms a gateway up unless requests come first. Never rejects. */
export const warmUpGateway = async (runtime: Runtime, { dataPlane }: Node): Promise<void> => {
  if (!dataPlane) return;
  const isUnused = (): boolean => dataPlane.counts()['requests'] === 0;
  await time.sleep(runtime.clock, firstRequestsWithin);
  if (isUnused())
    await warmUp.run({
      runtime,
      programs,
      timeout: maxDuration,
      targetRequestTime: goodEnough,
      shouldContinue: isUnused,
    });
};
