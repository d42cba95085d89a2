// The processes of a simulated deployment, which the layout or a scenario adds and starts with their options.
import { configSchema } from '@thornsail/config-schema';
import type { Address, Runtime } from '@thornsail/runtime';
import { ports, type Layout } from '@thornsail/test-harness';
import { roles, type Node } from '@thornsail/thornsail';
import type { World } from '../world/index.js';
import type { Machines } from './machines.js';
import type { FleetProcess } from './types.js';

/** The processes in order of addition; `named` throws if there is none of that name. */
export type Processes = {
  all: FleetProcess[];
  named: (name: string) => FleetProcess;
  add: (added: AddedProcess) => void;
  /** Adds an agent and a gateway. */
  addEdge: (name: string, ip: string, zone: string) => void;
  /** Adds the processes of the layout. */
  addLayout: () => void;
  /** Starts the process; a failed start is reported as a breach. */
  boot: (process: FleetProcess) => void;
};
/** A process to add, and the IP and zone of its machine. */
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
  /** Called for a node that stopped itself after a fatal error. */
  onFailed: (process: FleetProcess) => void;
  onBreach: (text: string) => void;
};

/** The listening addresses of an agent, coordinator or store: for its peers (`place`) and for HTTP. */
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
      // A node that cannot read its disk must fail to start.
      if (host.disk.fail.read > 0) onFailed(process);
      else onBreach(`${process.name} did not start: ${String(error)}`);
    },
  );
};

/** Creates an empty list of processes; `addLayout` adds those of the layout. */
export const openProcesses = (options: ProcessesOptions): Processes => {
  const { machines, layout } = options;
  const all: FleetProcess[] = [];
  const add = ({ name, role, ip, zone, options: roleOptions }: AddedProcess): void => {
    const host = machines.host(ip, zone);
    all.push({ name, role, host, node: null, options: { name, zone, ...roleOptions }, seeds: layout.seeds });
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
      const process = all.find((candidate) => candidate.name === name);
      if (!process) throw new Error(`no process ${name}`);
      return process;
    },
    add,
    addEdge,
    addLayout,
    boot: (process) => boot(options, process),
  };
};
