export { consensus, type Consensus, type ConsensusOptions } from './driver.js';
export type { Change, Member, Role, Snapshot, Timing } from './types.js';
export { views, type Standing, type Marked, type Views } from './views.js';
export { order, type KeeperGroup, type NodeEntry, type NodeRole, type Ordered } from './order.js';
export { configuration, type PastConfig, type Push, type PushResult } from './configuration.js';
export { core, type Core, type CoreAsk, type CoreResult, type Suspicion } from './core.js';
export { coreClient, type CoreClient } from './client.js';
