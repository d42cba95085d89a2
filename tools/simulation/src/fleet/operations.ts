// What a scenario does to the machines of a simulated deployment: kill, start, freeze, partition, replace, add.
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
/** Edges that are added read the seeds of this one. */
const seedsFrom = 'agent-edge2';

type Changes = Pick<Operations, 'replace' | 'addEdge' | 'addStore'>;
const changesOf = ({ world, processes, layout }: OperationsOptions): Changes => ({
  replace: (name, as, ip) => {
    const lost = processes.named(name);
    if (lost.host.alive) {
      world.kill(lost.host, 'disk');
      lost.node = null;
    }
    processes.all.splice(processes.all.indexOf(lost), 1);
    const founders = lost.role === 'coordinator' ? { founders: [] } : {};
    const options = { ...lost.options, name: as, ...addressesAt(ip), ...founders };
    processes.add({ name: as, role: lost.role, ip, zone: lost.host.zone, options });
    processes.named(as).seeds = lost.seeds;
    processes.boot(processes.named(as));
  },
  addEdge: (n) => {
    processes.addEdge(`edge${n}`, layout.machines[0]!.host.replace(/\d+$/, String(n)), 'z2');
    for (const process of processes.all.slice(-2)) {
      process.seeds = processes.named(seedsFrom).seeds;
      processes.boot(process);
    }
  },
  addStore: (name, ip) => {
    processes.add({ name, role: 'store', ip, zone: 'z1', options: { ...addressesAt(ip), data: 'data' } });
    processes.boot(processes.named(name));
  },
});

/** The operations on a deployment; times of faults are noted for the callers' checks. */
export const operationsOf = (options: OperationsOptions): Operations => {
  const { world, machines, processes } = options;
  return {
    kill: (name, how = 'process') => {
      const process = processes.named(name);
      machines.beginFault(process.host).to = world.now();
      world.kill(process.host, how);
      process.node = null;
    },
    start: (name) => {
      const process = processes.named(name);
      world.start(process.host);
      processes.boot(process);
    },
    freeze: (name, forUs: Microseconds) => {
      const { host } = processes.named(name);
      const period = machines.beginFault(host);
      world.freeze(host);
      world.scheduleAt(world.now() + forUs, () => {
        period.to = world.now();
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
    ...changesOf(options),
  };
};
