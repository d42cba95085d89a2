/** Load balancing over workers: selection, fair shares, outlier detection and the workers' protocols. */
export { loadBalancer } from './load-balancer.js';
export { emptyLoad } from './own-load.js';
export type { ExchangeReport } from './outlier-detection.js';
export { reportDelay } from './report-delay.js';
export { serviceOfWorker } from './state.js';
export type { Load, LoadBalancer, SelectionRequest, WorkerEntry, WorkerKind } from './types.js';
export { workerProtocol, type ChatTurn, type StreamEvent } from './worker-protocol.js';
