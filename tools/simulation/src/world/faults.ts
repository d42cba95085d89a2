// Faults of a simulated process and its machine: the process ends or freezes, the machine loses power or its disk.
import { simulatedDisk, type HostFailure } from './disk.js';
import type { Host } from './host.js';
import type { Network } from './network.js';

/** Reports the end of a process to its frame peers. After a power loss this is not called: peers get no notice. */
const breakFrameConnections = (network: Network, host: Host): void => {
  for (const address of host.frames.keys())
    for (const peer of network.hosts())
      for (const listener of peer.frames.values())
        if (peer !== host && listener.peers.has(address) && !network.isPartitioned(peer, host))
          network.loop.schedule(network.delay(host, peer), peer, () => listener.onDown(address));
};

const kill = (network: Network, host: Host, failure: HostFailure): void => {
  if (failure === 'process') breakFrameConnections(network, host);
  host.alive = false;
  host.poweredOff = failure !== 'process';
  host.incarnation += 1;
  host.frozen = false;
  host.deferred = [];
  host.frames.clear();
  host.http.clear();
  // A process that ends resets its connections. After a power loss they are silent until the machine is back and
  // replies to the next packet with a reset.
  const connections = [...host.connections];
  host.connections.clear();
  for (const onEnded of connections) onEnded(failure !== 'process');
  simulatedDisk.applyFailure(network.loop.rand, host, failure);
};
const start = (host: Host): void => {
  host.alive = true;
  host.poweredOff = false;
};
const freeze = (host: Host): void => {
  host.frozen = true;
};
/** Runs the timers and messages that became due during the freeze, in order of their due time. */
const thaw = (network: Network, host: Host): void => {
  host.frozen = false;
  const deferred = host.deferred.sort((a, b) => a.at - b.at || a.sequence - b.sequence);
  host.deferred = [];
  for (const event of deferred) if (event.incarnation === host.incarnation) network.loop.schedule(0, host, event.run);
};

/** Faults of one process and its machine. */
export const hostFaults = { kill, start, freeze, thaw };
