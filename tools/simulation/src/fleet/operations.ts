// Operations of a scenario on the machines of a simulated deployment: kill, start, freeze, partition, replace, add.
import type { Microseconds } from '@thornsail/runtime';
import type { Layout } from '@thornsail/test-harness';
import type { World } from '../world/index.js';
import type { Machines } from './machines.js';
import { addressesAt, type Processes } from './processes.js';
import type { Fleet } from './types.js';

type Operations = Pick<
  Fleet,
  'kill' | 'start' | 'replace' | 'addEdge' | 'addStore' | 'freeze' | 'partition' | 'cutMachine'
>;
type OperationsOptions = { world: World; machines: Machines; processes: Processes; layout: Layout };
/** The process whose seed list an added edge machine copies. */
const seedsSource = 'agent-edge2';

type MachineChanges = Pick<Operations, 'replace' | 'addEdge' | 'addStore'>;
const machineChangesOf = ({ world, processes, layout }: OperationsOptions): MachineChanges => ({
  replace: (name, newName, ip) => {
    const lost = processes.named(name);
    if (lost.host.alive) {
      world.kill(lost.host, 'disk');
      lost.node = null;
    }
    processes.all.splice(processes.all.indexOf(lost), 1);
    const founders = lost.role === 'coordinator' ? { founders: [] } : {};
    const options = { ...lost.options, name: newName, ...addressesAt(ip), ...founders };
    processes.add({ name: newName, role: lost.role, ip, zone: lost.host.zone, options });
    processes.named(newName).seeds = lost.seeds;
    processes.boot(processes.named(newName));
  },
  addEdge: (n) => {
    processes.addEdge(`edge${n}`, layout.machines[0]!.host.replace(/\d+$/, String(n)), 'z2');
    for (const process of processes.all.slice(-2)) {
      process.seeds = processes.named(seedsSource).seeds;
      processes.boot(process);
    }
  },
  addStore: (name, ip) => {
    processes.add({ name, role: 'store', ip, zone: 'z1', options: { ...addressesAt(ip), data: 'data' } });
    processes.boot(processes.named(name));
  },
});

/** The operations on a deployment; they record the periods of faults, which the callers' checks take into account. */
export const operationsOf = (options: OperationsOptions): Operations => {
  const { world, machines, processes } = options;
  return {
    kill: (name, failure = 'process') => {
      const process = processes.named(name);
      machines.beginFault(process.host).to = world.now();
      world.kill(process.host, failure);
      process.node = null;
    },
    start: (name) => {
      const process = processes.named(name);
      world.start(process.host);
      processes.boot(process);
    },
    freeze: (name, period: Microseconds) => {
      const { host } = processes.named(name);
      const faultPeriod = machines.beginFault(host);
      world.freeze(host);
      world.scheduleAt(world.now() + period, () => {
        faultPeriod.to = world.now();
        world.thaw(host);
      });
    },
    partition: (a, b) => {
      const [hostsOfA, hostsOfB] = [a, b].map((names) => names.map((name) => processes.named(name).host));
      const periods = [...hostsOfA!, ...hostsOfB!].map((host) => machines.beginFault(host));
      const heal = world.partition(hostsOfA!, hostsOfB!);
      return () => {
        heal();
        for (const period of periods) period.to = world.now();
      };
    },
    cutMachine: (ip, from) => world.partition([machines.host(ip, 'z1')], from),
    ...machineChangesOf(options),
  };
};
