export { shapes, layout, ports, classNames, type Shape, type ShapeName, type Layout, type Machine } from './shapes.js';
export {
  standIns,
  requestLog,
  generateWords,
  estimateTokens,
  type RequestLog,
  type RequestLogEntry,
  type ListedWorker,
  type PlatformBehavior,
  type Platform,
  type StandInWorker,
} from './standins.js';
export { processFleet } from './fleet.js';
export type { FleetProcess, ProcessFleet } from './fleet-types.js';
export { callers, audit, conversationProblems, classifySilences, type Callers, type Summary } from './callers/index.js';
export {
  faultyHttp,
  garbage,
  type FaultyHttp,
  type FaultyHandler,
  type ConnectionLimits,
  type FaultyWriter,
} from './faulty-http.js';
export { fileOfWorkspace, workspaceFolders, workspacesOf } from './workspaces.js';
