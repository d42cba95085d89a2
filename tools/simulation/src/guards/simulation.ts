// Guards for lines of the simulator itself.
import { guard, type Guard } from './guard.js';

/** Guards for the simulator. */
export const simulationGuards: readonly Guard[] = [
  guard({
    name: 'a call receives what was written before its server ended',
    rule: 'answers',
    file: 'simulation/src/world/http-call-state.js',
    find: 'isSameClient(call) && !call.serverLostPower',
    replacement: 'isSamePair(call) && !call.serverLostPower',
    noticedBy: { test: 'simulation/test/connections.test.js' },
  }),
];
