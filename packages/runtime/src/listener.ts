/**
 * Binding of listeners. An address may still be in use by a predecessor of this process that is shutting down: the
 * successor waits until it is free.
 */
import type net from 'node:net';
import { address, type Address } from './address.js';
import { fault } from './fault.js';
import type { Log } from './runtime.js';

/** How a listener is bound; times are in milliseconds. */
export type BindOptions = {
  /** How long to wait for an address that another process uses; 0: not at all. */
  waitMs: number;
  log: Log;
};
/** Binds at once or fails. */
export const bindAtOnce: BindOptions = { waitMs: 0, log: () => undefined };

const retryIntervalMs = 100;

const listenOnce = (server: net.Server, at: Address): Promise<void> =>
  new Promise((resolve, reject) => {
    const onError = (error: Error): void => {
      server.off('listening', onListening);
      reject(error);
    };
    const onListening = (): void => {
      server.off('error', onError);
      resolve();
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(address.port(at), address.host(at));
  });
const isInUse = (error: unknown): boolean => (error as NodeJS.ErrnoException).code === 'EADDRINUSE';
const pause = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, retryIntervalMs);
  });

/**
 * Binds a server and resolves with the address that it is bound to. Rejects with a fault of step `<name>.bind` if the
 * address can't be bound, for one in use only after `waitMs`.
 */
export const bindListener = async (
  server: net.Server,
  at: Address,
  name: string,
  { waitMs, log }: BindOptions,
): Promise<Address> => {
  const deadline = performance.now() + waitMs;
  for (let attempt = 1; ; attempt++)
    try {
      await listenOnce(server, at);
      break;
    } catch (error) {
      if (!isInUse(error) || performance.now() >= deadline)
        throw fault.make({ step: `${name}.bind`, peer: at }, fault.text(error), error);
      if (attempt === 1) log(`${at} is in use by another process: waiting up to ${waitMs} ms until it is free.`);
      await pause();
    }
  // An error of a bound server (no descriptor for a connection) ends that connection only.
  server.on('error', (error) => log(`listener ${at}: ${fault.text(error)}.`));
  const bound = server.address() as net.AddressInfo;
  return `${bound.address}:${bound.port}`;
};
