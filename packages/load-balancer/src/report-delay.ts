/** Maximum age of the load reports that gateways exchange. */
import { duration } from '@thornsail/runtime';

/** Maximum age of a gateway's view of the other gateways' turns, in microseconds (§5.2). */
export const reportDelay = duration.ms(250);
