/** Fixtures for the load balancer's tests. */
import { configSchema, type Config } from '@thornsail/config-schema';
import {
  loadBalancer,
  type Load,
  type LoadBalancer,
  type WorkerEntry,
  type WorkerKind,
} from '@thornsail/load-balancer';
import type { Microseconds } from '@thornsail/runtime';

/** A validated configuration. Throws if the fields are not valid. */
export const configOf = (fields: Record<string, unknown>): Config => {
  const checked = configSchema.check(fields);
  if (!checked.ok) throw new Error(`the configuration is not valid: ${JSON.stringify(checked)}`);
  return checked.value;
};
/** Class `chat` with weight 3, and urgent class `alarm` with weight 1 and a reserve of a quarter of the four slots. */
export const twoClasses = (): Config =>
  configOf({
    classes: { chat: { kind: 'model', weight: 3 }, alarm: { kind: 'model', weight: 1, urgent: true, reserve: 0.25 } },
    slots: { model: 4, app: 1 },
  });
/** Workers of one kind with the given ids. */
export const workersOf = (ids: string[], kind: WorkerKind = 'model'): WorkerEntry[] =>
  ids.map((id, i) => ({ id, at: `1.1.1.${i}:1`, kind, leaving: false }));

/** The load balancer of a single gateway with two workers of four slots and the classes `chat` and `alarm`. */
export const openBalancer = (): LoadBalancer => {
  const balancer = loadBalancer.open({ now: () => 0 });
  balancer.setConfig(twoClasses());
  balancer.setWorkers(workersOf(['a', 'b']));
  return balancer;
};
/** The load of an idle gateway. */
export const idle: Load = { running: {}, waiting: {} };
/** The load balancer of gateway `self`; the other gateways are idle or have the given `loads`. */
export const openOneOf = (
  gateways: string[],
  self: string,
  options: {
    config: Config;
    workers: WorkerEntry[];
    now?: () => Microseconds;
    rotation?: () => number;
    loads?: Load[];
  },
): LoadBalancer => {
  const { now = (): number => 0, rotation = (): number => 0 } = options;
  const balancer = loadBalancer.open({ now, self, rotation });
  balancer.setConfig(options.config);
  balancer.setWorkers(options.workers);
  const peers = gateways.filter((id) => id !== self);
  balancer.setPeerLoads(peers.map((id, i) => ({ id, load: options.loads?.[i] ?? idle })));
  return balancer;
};
/** Acquires slots for a class until no worker is selected; returns the worker of each slot. */
export const fill = (balancer: LoadBalancer, className: string, waitedFor: Microseconds = 0): string[] => {
  const acquired: string[] = [];
  for (;;) {
    const worker = balancer.select(className, { waitedFor });
    if (!worker) return acquired;
    balancer.acquire(worker.id, className);
    acquired.push(worker.id);
  }
};
