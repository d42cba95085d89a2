/** Sends this gateway's load to the other gateways and receives theirs (§3.5), along the paths of `load-paths.ts`. */
import { isLoad } from '@thornsail/membership';
import { validate, type Rpc } from '@thornsail/rpc';
import type { Clock, Microseconds } from '@thornsail/runtime';
import type { GatewayLoad } from './admission.js';
import type { LoadPaths } from './load-paths.js';

/** Message with one gateway's load. `mark` is its version: of two from the same sender, the higher one is newer. */
export type LoadMessage = { from: string; mark: number; load: GatewayLoad };
/** The newest load of another gateway; `mark` is its version, `at` the time of receipt by the local clock. */
export type ReceivedLoad = { mark: number; at: Microseconds; load: GatewayLoad };
/** One gateway's side of the load exchange. */
export type LoadExchange = {
  /** Sends this gateway's own load: to its row at once, and to the other rows with the next bundle. */
  send: (message: LoadMessage) => void;
  /** The newest load by sender ID. */
  received: Map<string, ReceivedLoad>;
};
const isLoadMessage = validate.object({ from: validate.string, mark: validate.integer, load: isLoad });

/** Opens a gateway's side of the load exchange. */
export const loadExchange = {
  /**
   * `self` is this gateway's ID, `pause` the minimum time between two bundles; `onReceived` is called when a newer load
   * of another gateway has arrived.
   */
  open: (options: {
    clock: Clock;
    rpc: Rpc;
    self: string;
    paths: () => LoadPaths;
    pause: () => Microseconds;
    onReceived: () => void;
  }): LoadExchange => {
    const { clock, rpc, self } = options;
    const received = new Map<string, ReceivedLoad>();
    /** Loads that are not forwarded to the other rows yet, by sender ID. */
    const bundle = new Map<string, LoadMessage>();
    let lastBundle = -Infinity;
    let bundleDue = false;
    const sendBundle = (): void => {
      bundleDue = false;
      lastBundle = clock.now();
      rpc.notifyAll(options.paths().otherRows, 'loads', [...bundle.values()]);
      bundle.clear();
    };
    const forwardToOtherRows = (message: LoadMessage): void => {
      if (options.paths().otherRows.length === 0) return;
      bundle.set(message.from, message);
      if (bundleDue) return;
      bundleDue = true;
      clock.schedule(Math.max(0, lastBundle + options.pause() - clock.now()), sendBundle);
    };
    /** Stores a load; false if it is this gateway's own or not newer than the stored one. */
    const storeIfNewer = ({ from, mark, load }: LoadMessage): boolean => {
      if (from === self || (received.get(from)?.mark ?? -1) >= mark) return false;
      received.set(from, { mark, at: clock.now(), load });
      return true;
    };
    rpc.on<LoadMessage>('load', isLoadMessage, (message) => {
      if (!storeIfNewer(message)) return;
      forwardToOtherRows(message);
      options.onReceived();
    });
    rpc.on<LoadMessage[]>('loads', validate.arrayOf(isLoadMessage), (messages) => {
      if (messages.filter(storeIfNewer).length > 0) options.onReceived();
    });
    return {
      received,
      send: (message) => {
        rpc.notifyAll(options.paths().row, 'load', message);
        forwardToOtherRows(message);
      },
    };
  },
};
