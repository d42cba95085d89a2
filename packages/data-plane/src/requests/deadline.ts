/** How much of its time a request has used, and the least that a step needs of it. */
import { duration, type Microseconds } from '@thornsail/runtime';
import type { ActiveRequest } from './steps.js';

/** A claim, a charge or a read gets at least so long, where it is to succeed at all. */
export const minimumRecordTimeout = duration.ms(50);
/** How long the records of a request may take to close before its answer ends. */
export const closeTimeout = duration.ms(900);

/** Since the request arrived. */
export const elapsed = ({ gateway, arrivedAt }: ActiveRequest): Microseconds => gateway.runtime.clock.now() - arrivedAt;
