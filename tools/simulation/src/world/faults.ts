// What may happen to a simulated process: it ends, loses its machine's power or disk, freezes.
import { simulatedDisk, type DiskEnd } from './disk.js';
import type { Host } from './host.js';
import type { Network } from './network.js';

/** Connections to a process that ended break; after a loss of power nobody is there to say so. */
const breakFrames = (network: Network, host: Host): void => {
  for (const at of host.frames.keys())
    for (const other of network.hosts())
      for (const listener of other.frames.values())
        if (other !== host && listener.peers.has(at) && !network.isPartitioned(other, host))
          network.loop.schedule(network.delay(host, other), other, () => listener.onDown(at));
};

const kill = (network: Network, host: Host, how: DiskEnd): void => {
  if (how === 'process') breakFrames(network, host);
  host.alive = false;
  host.poweredOff = how !== 'process';
  host.incarnation += 1;
  host.frozen = false;
  host.deferred = [];
  host.frames.clear();
  host.http.clear();
  // A process that ends breaks its connections; without power they fall silent, until somebody asks the machine again.
  const connections = [...host.connections];
  host.connections.clear();
  for (const ended of connections) ended(how !== 'process');
  simulatedDisk.end(network.loop.rand, host, how);
};
const start = (host: Host): void => {
  host.alive = true;
  host.poweredOff = false;
};
const freeze = (host: Host): void => {
  host.frozen = true;
};
/** Ticks and messages that came due during the freeze all run now, in their order. */
const thaw = (network: Network, host: Host): void => {
  host.frozen = false;
  const deferred = host.deferred.sort((a, b) => a.at - b.at || a.sequence - b.sequence);
  host.deferred = [];
  for (const event of deferred) if (event.incarnation === host.incarnation) network.loop.schedule(0, host, event.run);
};

/** Faults of one process and its machine. */
export const hostFaults = { kill, start, freeze, thaw };
