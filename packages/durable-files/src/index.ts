/** Durable documents and records in one folder (§6.1). */
export { planCompaction, type LiveRecordFiles } from './compaction-plan.js';
export { durableStore, type DurableStore } from './durable-store.js';
export { durableErrors } from './errors.js';
export { checkedLimits, defaultLimits, type Limits } from './limits.js';
export type { Residency, ValueCodec } from './record-format.js';
export { recordStore, type RecordStore } from './record-store.js';
export type { RecordEntry, RecordFile, RecordIndex } from './record-table.js';
export { recoverFolder } from './recovery.js';
