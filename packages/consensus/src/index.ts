export { views, type Member, type Standing, type Marked, type Views } from './views.js';
export {
  order,
  type NodeEntry,
  type NodeRole,
  type Ordered,
  type PastConfig,
  type Push,
  type PushResult,
} from './order.js';
export { groups, type GroupChange, type KeeperGroup } from './groups.js';
export { presence, type Presence } from './presence.js';
export { repair, type Condition, type ReplicaGroup, type ReplicaMember, type RepairStep } from './repair.js';
export { core, type Core, type CoreAsk, type CoreResult } from './core.js';
export type { Suspicion } from './rulings.js';
export { coreClient, type CoreClient } from './client.js';
