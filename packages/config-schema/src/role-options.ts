/** Start-up options of each role: their codecs, defaults and types (§7.1). */
import * as io from 'io-ts';
import { addressCodec, integer, label, strictObject } from './codec.js';

/** Milliseconds between two heartbeats to a watcher; a node that misses five of them counts as silent (§3.2). */
const beatMs = integer(20, 10_000);
/** Space for the data folder of a store, in megabytes (§6.1). */
const dataMb = integer(16, 1_000_000);
/** Options of every process with a data folder; `place` is its address for other nodes. */
const processOptions = {
  place: addressCodec,
  http: addressCodec,
  zone: label,
  seeds: io.array(addressCodec),
  name: label,
  data: io.string,
  beatMs,
};
const commonDefaults = { zone: 'z1', seeds: [] as string[], beatMs: 200 };
/** The codec of the start-up options of each role. */
export const optionCodecs = {
  coordinator: strictObject(
    'coordinator options',
    {
      ...processOptions,
      founders: io.array(addressCodec),
      possibleFounders: io.array(addressCodec),
      tolerates: integer(1, 3),
      leastStores: integer(0, 7),
    },
    { ...commonDefaults, founders: [], possibleFounders: [], tolerates: 1, leastStores: 0 },
  ),
  store: strictObject('store options', { ...processOptions, dataMb }, { ...commonDefaults, dataMb: 1000 }),
  agent: strictObject(
    'agent options',
    {
      place: addressCodec,
      http: addressCodec,
      zone: label,
      seeds: io.array(addressCodec),
      name: label,
      beatMs,
      platform: addressCodec,
    },
    commonDefaults,
  ),
  gateway: strictObject(
    'gateway options',
    {
      place: addressCodec,
      http: addressCodec,
      zone: label,
      seeds: io.array(addressCodec),
      name: label,
      beatMs,
      agent: addressCodec,
    },
    commonDefaults,
  ),
};
/** A role of a process. */
export type Role = keyof typeof optionCodecs;
/**
 * Start-up options of a coordinator; `tolerates` is the number of machines that may be lost at once. `founders` are the
 * first coordinators, at the first start; `possibleFounders`, at a later one, those that were the founders if no group
 * was ever formed (§3.3).
 */
export type CoordinatorOptions = io.TypeOf<typeof optionCodecs.coordinator>;
/** Start-up options of a store. */
export type StoreOptions = io.TypeOf<typeof optionCodecs.store>;
/** Start-up options of an agent; `platform` is the address of the platform. */
export type AgentOptions = io.TypeOf<typeof optionCodecs.agent>;
/** Start-up options of a gateway; `agent` is the address of the agent on its machine. */
export type GatewayOptions = io.TypeOf<typeof optionCodecs.gateway>;
/** The start-up options of each role. */
export type RoleOptions = {
  coordinator: CoordinatorOptions;
  store: StoreOptions;
  agent: AgentOptions;
  gateway: GatewayOptions;
};
