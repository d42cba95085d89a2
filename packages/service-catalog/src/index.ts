/** Client of the platform's service catalog, which lists the workers and marks those that are leaving (§3.8). */
import {
  fault,
  address,
  time,
  duration,
  readText,
  type Runtime,
  type Address,
  type Microseconds,
} from '@thornsail/runtime';

/** A worker as listed by the platform. Optional fields that are absent come from the configuration or the worker. */
export type PlatformWorker = {
  id: string;
  /** Network address of the worker. */
  at: Address;
  kind: 'model' | 'app';
  /** Whether the worker is draining and gets no new requests. */
  leaving: boolean;
  /** The service that the worker belongs to. */
  service?: string;
  /** Maximum number of concurrent requests. */
  slots?: number;
  /** Capacity of the KV cache in tokens. */
  cacheTokens?: number;
  zone?: string;
};

/** How long after the last non-empty list an empty one is rejected. */
const emptyListGracePeriod = duration.s(30);

/**
 * Parses a list of workers and skips invalid entries. Every kind other than `model` is an application worker, because
 * deployments may use their own names for these (table, intake).
 */
const parseWorkers = (text: string): PlatformWorker[] => {
  const body = JSON.parse(text) as { workers?: unknown };
  const list = Array.isArray(body) ? body : body.workers;
  if (!Array.isArray(list)) throw new Error('the response contains no list of workers');
  return list.flatMap((item: unknown) => {
    const entry = item as Record<string, unknown>;
    if (typeof item !== 'object' || item === null) return [];
    const at =
      typeof entry['address'] === 'string' ? entry['address'].replace(/^http:\/\//, '').replace(/\/$/, '') : '';
    if (typeof entry['id'] !== 'string' || entry['id'] === '' || !address.ok(at)) return [];
    return [
      {
        id: entry['id'],
        at,
        kind: entry['kind'] === 'model' ? ('model' as const) : ('app' as const),
        leaving: entry['leaving'] === true,
      },
    ];
  });
};

/** Of the response head and of a pause in the body, each. */
const readTimeout = duration.ms(700);
/** Of the whole response. */
const totalTimeout = duration.ms(1400);
/** In characters. */
const maxListLength = 4 << 20;
/** Reads the list in this project's own format by `GET /workers`. Throws on a status other than 200 or no list. */
const fetchWorkers = async (runtime: Runtime, platform: Address): Promise<PlatformWorker[]> => {
  const response = await runtime.net.request({
    at: platform,
    method: 'GET',
    path: '/workers',
    headersTimeout: readTimeout,
    bodyTimeout: readTimeout,
    totalTimeout,
  });
  const list = parseWorkers(await readText(response.body, maxListLength));
  if (response.status !== 200) throw new Error(`unexpected status ${response.status}`);
  return list;
};

/** Reads the list of workers periodically. */
export const serviceCatalog = {
  /** Starts polling. Returns the time of the last successful read, undefined before it, and a function to stop. */
  open: (options: {
    runtime: Runtime;
    /** Reads the list; if absent, it is read from `platform` in this project's own format. */
    read?: () => Promise<PlatformWorker[]>;
    /** Address of the platform; required if `read` is absent. */
    platform?: Address;
    /** Interval between polls; 500 ms if absent. */
    every?: Microseconds;
    /** Whether this agent is to read the list now: one of several agents is enough (§3.8). */
    due?: () => boolean;
    /** Called with each list that was read and accepted. */
    onList: (list: PlatformWorker[]) => void;
  }): { lastReadAt: () => Microseconds | undefined; close: () => void } => {
    const log = options.runtime.log('service catalog');
    let lastReadAt: Microseconds | undefined;
    let failed = false;
    let lastNonEmptyAt = -Infinity;
    let retryAt = -Infinity;
    /**
     * Rejects a list that is suddenly empty: it is more likely a fault of the platform than correct, so the previous
     * list stays in use for a grace period.
     */
    const checkNotSuddenlyEmpty = (list: PlatformWorker[]): void => {
      const now = options.runtime.clock.now();
      if (list.length > 0) lastNonEmptyAt = now;
      else if (now - lastNonEmptyAt < emptyListGracePeriod) throw new Error('the list of workers is suddenly empty');
    };
    const poll = async (): Promise<void> => {
      try {
        if (options.due && (!options.due() || options.runtime.clock.now() < retryAt)) return;
        const list = await (options.read ? options.read() : fetchWorkers(options.runtime, options.platform!));
        checkNotSuddenlyEmpty(list);
        lastReadAt = options.runtime.clock.now();
        if (failed) log('reading the list of workers succeeds again.');
        failed = false;
        options.onList(list);
      } catch (error) {
        // A random delay keeps the agents from polling a faulty platform all at once.
        retryAt = options.runtime.clock.now() + duration.ms(400 + options.runtime.rand.int(400));
        if (!failed) log(`cannot read the list of workers: ${fault.text(error)}.`);
        failed = true;
      }
    };
    void poll();
    return {
      lastReadAt: () => lastReadAt,
      close: time.every(options.runtime.clock, options.every ?? duration.ms(500), poll),
    };
  },
};
