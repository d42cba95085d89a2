// The processes of a simulated deployment: added by the layout or a scenario, started with their options.
import { configSchema } from '@thornsail/config-schema';
import type { Address, Runtime } from '@thornsail/runtime';
import { ports, type Layout } from '@thornsail/test-harness';
import { roles, type Node } from '@thornsail/thornsail';
import type { World } from '../world/index.js';
import type { Machines } from './machines.js';
import type { FleetProcess } from './types.js';

/** All processes, in the order in which they were added. */
export type Processes = {
  all: FleetProcess[];
  named: (name: string) => FleetProcess;
  add: (added: AddedProcess) => void;
  addEdge: (name: string, ip: string, zone: string) => void;
  addLayout: () => void;
  boot: (process: FleetProcess) => void;
};
/** A process and the machine at whose address it is to run. */
export type AddedProcess = {
  name: string;
  role: FleetProcess['role'];
  ip: string;
  zone: string;
  options: Record<string, unknown>;
};
type ProcessesOptions = {
  world: World;
  machines: Machines;
  layout: Layout;
  plain: boolean;
  /** A node that had to end by itself. */
  onFailed: (process: FleetProcess) => void;
  onBreach: (text: string) => void;
};

/** Where an agent, coordinator or store listens on its machine. */
export const addressesAt = (ip: string): { place: Address; http: Address } => ({
  place: `${ip}:${ports.sibling}`,
  http: `${ip}:${ports.http}`,
});

type OpenRole = (runtime: Runtime, options: never, extra: object) => Promise<Node>;
const boot = (options: ProcessesOptions, process: FleetProcess): void => {
  const { world, plain, onFailed, onBreach } = options;
  const { host, role } = process;
  const parsed = configSchema.options(role, { ...process.options, seeds: process.seeds });
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.problems));
  const { incarnation } = host;
  (roles[role] as OpenRole)(world.runtime(host), parsed.value as never, { plain }).then(
    (node) => {
      if (host.incarnation !== incarnation) return;
      process.node = node;
      node.onFailed(() => onFailed(process));
    },
    (error) => {
      // One that cannot read its disk ends with an error; so it must.
      if (host.disk.fail.read > 0) onFailed(process);
      else onBreach(`${process.name} did not start: ${String(error)}`);
    },
  );
};

/** No processes yet; `addLayout` adds those of the layout. */
export const openProcesses = (options: ProcessesOptions): Processes => {
  const { machines, layout } = options;
  const all: FleetProcess[] = [];
  const add = ({ name, role, ip, zone, options: own }: AddedProcess): void => {
    const host = machines.host(ip, zone);
    all.push({ name, role, host, node: null, options: { name, zone, ...own }, seeds: layout.seeds });
  };
  const addEdge = (name: string, ip: string, zone: string): void => {
    const agent = addressesAt(ip);
    const gatewayIp = ip.replace('.1.', '.11.');
    const gateway = {
      place: `${gatewayIp}:${ports.gatewaySibling}`,
      http: `${gatewayIp}:${ports.gatewayHttp}`,
      agent: agent.place,
    };
    add({ name: `agent-${name}`, role: 'agent', ip, zone, options: { ...agent, platform: layout.platform } });
    add({ name: `gateway-${name}`, role: 'gateway', ip: gatewayIp, zone, options: gateway });
  };
  const addLayout = (): void => {
    for (const { name, kind, host: ip, zone } of layout.machines) {
      const common = { ...addressesAt(ip), data: 'data' };
      if (kind === 'edge') addEdge(name, ip, zone);
      else if (kind === 'store') add({ name, role: kind, ip, zone, options: common });
      else add({ name, role: kind, ip, zone, options: { ...common, founders: layout.founders } });
    }
  };
  return {
    all,
    named: (name) => {
      const process = all.find((one) => one.name === name);
      if (!process) throw new Error(`no process ${name}`);
      return process;
    },
    add,
    addEdge,
    addLayout,
    boot: (process) => boot(options, process),
  };
};
