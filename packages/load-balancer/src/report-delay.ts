/** The age of what gateways know of each other. */
import { duration } from '@thornsail/runtime';

/** How old a gateway's knowledge of the other gateways' turns may be, microseconds (§5.2). */
export const reportDelay = duration.ms(250);
