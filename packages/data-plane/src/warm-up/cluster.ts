/** The cluster of a warm-up: a gateway, stores in memory, a worker, and a membership that never changes. */
import { configSchema, type Config } from '@thornsail/config-schema';
import { agreedState, type AgreedState } from '@thornsail/consensus';
import type { Dissemination } from '@thornsail/dissemination';
import { durableStore } from '@thornsail/durable-files';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { store } from '@thornsail/register-store';
import { rpc, type Rpc } from '@thornsail/rpc';
import { invariant, type Address, type Runtime } from '@thornsail/runtime';
import type { GatewayMembership } from '../gateway-membership.js';
import { openMemoryDisk } from './memory-disk.js';

/** Host, path prefixes and service of a warm-up's routes. */
export const warmUpNames = { host: 'warm-up', turns: '/turns/', calls: '/calls/', service: 'warm-up' } as const;
/** The usual size of a store group. */
const storeCount = 3;
const gatewayId = 'warm-up-gateway';

const configDocument = (): unknown => {
  const { host, turns, calls, service } = warmUpNames;
  const targets = [{ service, weight: 1 }];
  const common = { host, targets, class: service, deadlineMs: 5000, aimMs: 1000, urgency: 0, maxAttempts: 1 };
  return {
    classes: { [service]: { kind: 'model', service, weight: 1, urgent: true, expectedMs: 20, buffer: 100 } },
    routes: [
      { ...common, name: 'turns', prefix: turns, semantics: 'stream', resumable: false, keepSeconds: 10, gapMs: 300 },
      { ...common, name: 'calls', prefix: calls, semantics: 'idempotent', resumable: false, keepSeconds: 0 },
    ],
    services: [{ name: service, connections: 64, deduplicates: false, model: true, cacheTokens: 1_000_000 }],
  };
};
const configOf = (): Config => {
  const checked = configSchema.check(configDocument());
  invariant.hold(checked.ok, "the warm-up's configuration is valid");
  return (checked as { value: Config }).value;
};

/** Opens the stores in this process. */
const openStores = async (runtime: Runtime, address: Address): Promise<{ id: string; rpc: Rpc }[]> =>
  Promise.all(
    Array.from({ length: storeCount }, async () => {
      const endpoint = await rpc.open(runtime, address);
      const durable = await durableStore.open(openMemoryDisk());
      const { id } = await store.open({ runtime, rpc: endpoint, durable });
      return { id, rpc: endpoint };
    }),
  );

const stateOf = (stores: { id: string; rpc: Rpc }[], gateway: Rpc): AgreedState => {
  const members = stores.map(({ id, rpc: { address: at } }) => ({ id, at }));
  const joined = agreedState.join(
    agreedState.initial(),
    {
      id: gatewayId,
      name: gatewayId,
      role: 'gateway',
      place: gateway.address,
      http: gateway.address,
      zone: '',
      incarnation: 1,
    },
    0,
  ).state;
  return {
    ...joined,
    config: { mark: 1, raw: null, value: configOf(), history: [] },
    storeGroup: { mark: 1, members, swept: 1, draining: [] },
  };
};

/** Dissemination with a constant list of workers, which always appears to have just arrived. */
const openStaticDissemination = (now: () => number, workers: WorkerEntry[]): Dissemination => {
  const item = (): { version: number; receivedAt: number; value: unknown } => ({
    version: 1,
    receivedAt: now(),
    value: { list: workers },
  });
  return {
    put: () => undefined,
    get: () => undefined,
    withPrefix: (prefix) => (prefix === 'workers/' ? [{ name: 'workers/warm-up', item: item() }] : []),
    retain: () => undefined,
    onUpdate: () => undefined,
    leaves: () => [],
    lastContact: now,
    refresh: () => Promise.resolve(true),
    counts: () => ({ pushed: 0, pulled: 0, relayed: 0 }),
    close: () => undefined,
  };
};
/** The open cluster: the gateway's RPC endpoint and membership. Nothing of it exists outside this process. */
export type WarmUpCluster = { rpc: Rpc; membership: GatewayMembership; close: () => Promise<void> };

/** Opens a cluster whose nodes listen at `address`; `worker` is the address of its only worker. */
export const openWarmUpCluster = async (
  runtime: Runtime,
  address: Address,
  worker: Address,
): Promise<WarmUpCluster> => {
  const gateway = await rpc.open(runtime, address);
  const stores = await openStores(runtime, address);
  const state = stateOf(stores, gateway);
  const workers: WorkerEntry[] = [
    { id: 'warm-up-worker', at: worker, kind: 'model', leaving: false, service: warmUpNames.service, slots: 8 },
  ];
  return {
    rpc: gateway,
    membership: {
      id: gatewayId,
      dissemination: openStaticDissemination(runtime.clock.now, workers),
      state: () => state,
      stale: () => false,
      refresh: () => Promise.resolve(true),
      deadFor: () => 0,
      onState: () => undefined,
    },
    close: async () => {
      await Promise.all([gateway.close(), ...stores.map((storeNode) => storeNode.rpc.close())]);
    },
  };
};
