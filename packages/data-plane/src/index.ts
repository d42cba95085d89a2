/** Public interface of the data plane. */
export { optionsOf, type GatewayLoad } from './admission.js';
export { dataPlane, type DataPlane, type DataPlaneOptions } from './data-plane.js';
export { dialect, type Dialect, type HeaderNames } from './forward/dialect.js';
export type { DrainOptions } from './lifecycle.js';
export { loadPaths, type GatewayPeer, type LoadPaths } from './load-paths.js';
export { plan, type Plan } from './plan.js';
export { stages, type Stage } from './request-timeline.js';
export { warmUp, type WarmUpOptions, type WarmUpResult } from './warm-up/warm-up.js';
export { workersOf, type WorkerListUpdate } from './workers.js';
