/**
 * Sends this gateway's load to the other gateways and receives theirs (§3.5), over the paths that `load-paths.ts`
 * names.
 */
import { isLoad } from '@thornsail/membership';
import { validate, type Rpc } from '@thornsail/rpc';
import type { Clock, Microseconds } from '@thornsail/runtime';
import type { EdgeLoad } from './admission.js';
import type { LoadPaths } from './load-paths.js';

/** One gateway's load, in the form of the message; of two of the same sender the one with the higher mark is newer. */
export type LoadMessage = { from: string; mark: number; load: EdgeLoad };
/** The newest load of another gateway; `at` is when it came by the local clock, microseconds. */
export type ReceivedLoad = { mark: number; at: Microseconds; load: EdgeLoad };
/** One gateway's side of the exchange of loads. */
export type LoadExchange = {
  /** Sends this gateway's own load, to its row at once and to the other rows with the row's next bundle. */
  send: (message: LoadMessage) => void;
  /** The newest load by sender. */
  received: Map<string, ReceivedLoad>;
};
const isLoadMessage = validate.object({ from: validate.string, mark: validate.integer, load: isLoad });

/** Opens the exchange of loads between gateways. */
export const loadExchange = {
  /** `pause` is the least time between two bundles, `onReceived` is called when another gateway's load has come. */
  open: (options: {
    clock: Clock;
    rpc: Rpc;
    me: string;
    paths: () => LoadPaths;
    pause: () => Microseconds;
    onReceived: () => void;
  }): LoadExchange => {
    const { clock, rpc, me } = options;
    const received = new Map<string, ReceivedLoad>();
    /** What this gateway has not passed on to the other rows yet, by sender. */
    const bundle = new Map<string, LoadMessage>();
    let lastBundle = -Infinity;
    let bundleDue = false;
    const sendBundle = (): void => {
      bundleDue = false;
      lastBundle = clock.now();
      rpc.notifyAll(options.paths().otherRows, 'loads', [...bundle.values()]);
      bundle.clear();
    };
    const passOn = (message: LoadMessage): void => {
      if (options.paths().otherRows.length === 0) return;
      bundle.set(message.from, message);
      if (bundleDue) return;
      bundleDue = true;
      clock.schedule(Math.max(0, lastBundle + options.pause() - clock.now()), sendBundle);
    };
    /** False if it tells nothing new: this gateway's own, or older than what is known. */
    const take = ({ from, mark, load }: LoadMessage): boolean => {
      if (from === me || (received.get(from)?.mark ?? -1) >= mark) return false;
      received.set(from, { mark, at: clock.now(), load });
      return true;
    };
    rpc.on<LoadMessage>('load', isLoadMessage, (message) => {
      if (!take(message)) return;
      passOn(message);
      options.onReceived();
    });
    rpc.on<LoadMessage[]>('loads', validate.arrayOf(isLoadMessage), (messages) => {
      if (messages.filter(take).length > 0) options.onReceived();
    });
    return {
      received,
      send: (message) => {
        rpc.notifyAll(options.paths().row, 'load', message);
        passOn(message);
      },
    };
  },
};
