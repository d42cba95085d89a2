// The machines of a simulated deployment and the periods in which they had a fault.
import { duration, type Microseconds } from '@thornsail/runtime';
import type { Host, World } from '../world/index.js';

/** The period of a fault of a machine; `to` is infinite while the fault lasts. */
export type FaultPeriod = { from: Microseconds; to: Microseconds };

/** Hosts by IP, and their faults. Errors that callers see during a fault of their host are no breach (§9.3). */
export type Machines = {
  /** The host of an IP; created in the zone if there is none yet. */
  host: (ip: string, zone: string) => Host;
  /** Records the start of a fault; the caller sets `to` at its end. */
  beginFault: (host: Host) => FaultPeriod;
  /** Whether the host is down or had a fault since a time. */
  hadFault: (host: Host, since: Microseconds) => boolean;
};

/** Time after the end of a fault in which callers may still see errors. */
const faultAftermath: Microseconds = duration.ms(300);

/** Creates an empty registry of machines. */
export const openMachines = (world: World): Machines => {
  const hosts = new Map<string, Host>();
  const faults = new Map<Host, FaultPeriod[]>();
  return {
    host: (ip, zone) => {
      const host = hosts.get(ip) ?? world.host(ip, zone);
      hosts.set(ip, host);
      return host;
    },
    beginFault: (host) => {
      const period = { from: world.now(), to: Infinity };
      faults.set(host, [...(faults.get(host) ?? []), period]);
      return period;
    },
    hadFault: (host, since) =>
      !host.alive || (faults.get(host) ?? []).some((period) => period.to + faultAftermath >= since),
  };
};
