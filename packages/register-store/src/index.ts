/** Replicated registers: a key-value store with consensus for each key. */
export { ballot, type Ballot } from './ballot.js';
export type { ChangeOptions, UpdateFunction, Write } from './change.js';
export { registerErrors } from './errors.js';
export { registers, type Registers } from './registers.js';
export { store, type Store, type StoreCounts } from './store.js';
export { sweep, type SweepPace, type SweepResult } from './sweep.js';
export type { Group, Member, Replica, StoredValue, WallClocks } from './types.js';
export { encodeGroup, type WireGroup, type WireReplica, type WireValue } from './wire.js';
