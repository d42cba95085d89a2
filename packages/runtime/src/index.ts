/** The runtime: access to clock, random source, network and disk (§2.1), and utilities shared by all packages. */
export { address, type Address } from './address.js';
export { openByteCollector, type ByteCollector, type CollectorSize } from './byte-collector.js';
export { time, type Cancel, type Clock } from './clock.js';
export { openMemoryBudget, withMemory, type MemoryBudget, type Reservation } from './memory-budget.js';
export { openDataFolder, type FileCalls } from './data-folder.js';
export type { Disk } from './disk.js';
export { duration, type Microseconds } from './duration.js';
export { errorCatalogue, type ErrorCatalogue, type ErrorDetails, type ErrorEntry } from './errors.js';
export type { Exchange, ExchangeControl, ExchangeEvents, HttpConnection } from './exchange.js';
export { fault, type FaultInfo } from './fault.js';
export { hash } from './hash.js';
export {
  readText,
  type HttpClientRequest,
  type HttpClientResponse,
  type HttpHandler,
  type HttpLimits,
  type HttpRequest,
  type HttpResponseWriter,
  type HttpServer,
} from './http.js';
export type { RequestListener } from './http-server.js';
export { invariant } from './invariant.js';
export { lock, type Lock } from './lock.js';
export type { FrameTransport, Net } from './net.js';
export { processUsage, type ProcessUsage } from './process-usage.js';
export type { Random } from './random.js';
export { real } from './real.js';
export type { Log, Runtime } from './runtime.js';
export { seeded } from './seeded.js';
