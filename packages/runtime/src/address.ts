/** Addresses of processes. */

const pattern = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const highestPort = 65_535;

/** An IPv4 address and a port, `"ip:port"`. Names are not looked up. */
export type Address = string;

/** The parts of an address. `host` and `port` expect one that passes `ok`. */
export const address = {
  host: (at: Address): string => at.slice(0, at.lastIndexOf(':')),
  port: (at: Address): number => Number(at.slice(at.lastIndexOf(':') + 1)),
  /** Whether a value has the form of an address. */
  ok: (at: unknown): at is Address => typeof at === 'string' && pattern.test(at) && address.port(at) <= highestPort,
};
