/** When a gateway warms itself up (§5.10): on an ordinary start, while nobody asks it for anything yet. */
import { warmUp } from '@thornsail/data-plane';
import { duration, time, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Node } from './roles.js';

/** A start in a running fleet gets its first requests within this; one before the fleet serves does not. */
const firstRequestsWithin: Microseconds = duration.s(2.5);
/** Enough for most functions of a request's way to be compiled. */
const programs = 10;
const longest: Microseconds = duration.s(6);
/** A small part of what clients wait for a first event or an answer. */
const goodEnough: Microseconds = duration.ms(12);

/** Warms a gateway up unless requests come first. Never rejects. */
export const warmUpGateway = async (runtime: Runtime, { dataPlane }: Node): Promise<void> => {
  if (!dataPlane) return;
  const isUnused = (): boolean => dataPlane.counts()['requests'] === 0;
  await time.sleep(runtime.clock, firstRequestsWithin);
  if (isUnused())
    await warmUp.run({ runtime, programs, timeout: longest, targetRequestTime: goodEnough, shouldContinue: isUnused });
};
