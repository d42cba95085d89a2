export { shapes, layout, ports, classNames, type Shape, type ShapeName, type Layout, type Machine } from './shapes.js';
export {
  standIns,
  requestLog,
  standText,
  standTokens,
  type RequestLog,
  type RequestLogEntry,
  type Listed,
  type Mood,
  type Platform,
  type StandIn,
} from './standins.js';
export { realFleet, type RealFleet, type RealProc } from './fleet.js';
export { callers, audit, keptProblems, silent, type Callers, type Summary } from './callers/index.js';
export { wire, noise, type Wire, type WireHandler, type WireLimits, type WireSay } from './wire.js';
export { fileOfWorkspace, workspaceFolders, workspacesOf } from './workspaces.js';
