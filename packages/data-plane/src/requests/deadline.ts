/** Time used by a request, and time limits of the steps that use the stores. */
import { duration, type Microseconds } from '@thornsail/runtime';
import type { ActiveRequest } from './steps.js';

/** Minimum timeout of a claim, charge or read: with less none of them would succeed. */
export const minimumRecordTimeout = duration.ms(50);
/** Timeout for settling and storing the records of a request before its answer ends. */
export const closeTimeout = duration.ms(900);

/** Time since the request arrived. */
export const elapsed = ({ gateway, arrivedAt }: ActiveRequest): Microseconds => gateway.runtime.clock.now() - arrivedAt;
