/** Network addresses of processes. */

const addressPattern = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const highestPort = 65_535;

/** An IPv4 address and a port, `"ip:port"`. Host names are not resolved. */
export type Address = string;

/** Parses and validates addresses. `host` and `port` expect an address for which `ok` returns true. */
export const address = {
  host: (text: Address): string => text.slice(0, text.lastIndexOf(':')),
  port: (text: Address): number => Number(text.slice(text.lastIndexOf(':') + 1)),
  /** Whether a value is a valid address. */
  ok: (value: unknown): value is Address =>
    typeof value === 'string' && addressPattern.test(value) && address.port(value) <= highestPort,
};
