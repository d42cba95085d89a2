/** Consensus: the replicated state of the coordinators, and the clients and codecs of other packages for it (§3.3). */
export { agreedState } from './agreed-state.js';
export type { AgreedState, JoiningNode, NodeEntry, NodeRole, PastConfig, StoreGroup } from './agreed-state.js';
export { coreClient, type CoreClient } from './client.js';
export { configuration, type Push, type PushResult } from './configuration.js';
export { coreCodec, coreRequestName } from './core-messages.js';
export type { CoreRequest, CoreResult, CoreValue, ReadResult } from './core-messages.js';
export { core, type Core, type CoreOptions, type CoreSettings } from './core.js';
export { consensus, type Consensus, type ConsensusOptions } from './driver.js';
export { consensusErrors } from './errors.js';
export { conditionTracker, type ConditionTracker } from './member-conditions.js';
export { repair, type Condition, type RepairStep, type ReplicaGroup, type ReplicaMember } from './repair.js';
export type { Suspicion } from './suspicions.js';
export { nodeCodec, roleCodec, snapshotCodec, stateCodec } from './state-codec.js';
export type { EncodedNode, EncodedRole, EncodedState } from './state-codec.js';
export { storeGroup, type GroupChange } from './store-group.js';
export type { Change, Member, Role, Snapshot, Timing } from './types.js';
export type { EncodedSnapshot, StateCodec } from './wire.js';
