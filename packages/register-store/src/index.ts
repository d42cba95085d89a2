export { store, grace, type Store } from './store.js';
export { ballot, type Ballot, type Copy, type Group, type Held, type Keep } from './messages.js';
export { registers, type Registers, type Walls, type Write } from './registers.js';
export { sweep, type SweepPace, type SweepResult } from './sweep.js';
