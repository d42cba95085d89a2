export { store, ballot, grace, type Ballot, type Copy, type Group, type Held, type Keep, type Store } from './store.js';
export { registers, type Registers, type Walls, type Write } from './registers.js';
export { sweep, type SweepResult } from './sweep.js';
