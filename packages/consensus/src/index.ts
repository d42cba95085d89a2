export { consensus, type Consensus, type ConsensusOptions } from './driver.js';
export type { Change, Member, Role, Snapshot, Timing } from './types.js';
export { order, type NodeEntry, type NodeRole, type Ordered } from './order.js';
export { configuration, type PastConfig, type Push, type PushResult } from './configuration.js';
export { groups, type GroupChange, type StoreGroup } from './groups.js';
export { presence, type Presence } from './presence.js';
export { repair, type Condition, type ReplicaGroup, type ReplicaMember, type RepairStep } from './repair.js';
export { core, type Core, type CoreOptions, type CoreSettings } from './core.js';
export { consensusErrors } from './errors.js';
export {
  coreCodec,
  coreRequestName,
  type CoreRequest,
  type CoreResult,
  type CoreValue,
  type JoiningNode,
  type ReadResult,
} from './core-messages.js';
export { nodeCodec, roleCodec, snapshotCodec, stateCodec } from './state-codec.js';
export type { EncodedNode, EncodedRole, EncodedState } from './state-codec.js';
export type { EncodedSnapshot, StateCodec } from './wire.js';
export type { Suspicion } from './rulings.js';
export { coreClient, type CoreClient } from './client.js';
