export { loadBalancer } from './load-balancer.js';
export { emptyLoad } from './own-load.js';
export type { ExchangeReport } from './outlier-detection.js';
export { reportDelay } from './report-delay.js';
export { serviceOfWorker } from './state.js';
export type { Load, LoadBalancer, SelectionRequest, WorkerEntry, WorkerKind } from './types.js';
export { formats, type ChatTurn, type StreamEvent } from './worker-formats.js';
