// service catalog: the platform that lists the workers and marks those that are leaving (§3.8).
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

/** What is left out is not known from the list: the configuration says it, or the worker itself. */
export type PlatformWorker = {
  id: string;
  at: Address;
  kind: 'model' | 'app';
  leaving: boolean;
  service?: string;
  slots?: number;
  cacheTokens?: number;
  zone?: string;
};

/** How long an empty list has to stand before it is believed. */
const emptyFor = duration.s(30);

/** Application workers may go by a deployment's own name for them (table, intake). */
const parse = (raw: string): PlatformWorker[] => {
  const j = JSON.parse(raw) as { workers?: unknown };
  const list = Array.isArray(j) ? j : j.workers;
  if (!Array.isArray(list)) throw new Error('no list of workers');
  return list.flatMap((u: unknown) => {
    const w = u as Record<string, unknown>;
    if (typeof u !== 'object' || u === null) return [];
    const at = typeof w['address'] === 'string' ? w['address'].replace(/^http:\/\//, '').replace(/\/$/, '') : '';
    if (typeof w['id'] !== 'string' || w['id'] === '' || !address.ok(at)) return [];
    return [
      {
        id: w['id'],
        at,
        kind: w['kind'] === 'model' ? ('model' as const) : ('app' as const),
        leaving: w['leaving'] === true,
      },
    ];
  });
};

const ownFormat = async (runtime: Runtime, platform: Address): Promise<PlatformWorker[]> => {
  const limit = duration.ms(700);
  const r = await runtime.net.request({
    at: platform,
    method: 'GET',
    path: '/workers',
    headersTimeout: limit,
    bodyTimeout: limit,
  });
  const list = parse(await readText(r.body));
  if (r.status !== 200) throw new Error(`status ${r.status}`);
  return list;
};

export const serviceCatalog = {
  open: (o: {
    runtime: Runtime;
    /** How the list is read; left out: by our own format, at `platform`. */
    read?: () => Promise<PlatformWorker[]>;
    platform?: Address;
    every?: Microseconds;
    /** Whether the list is to be read now: one reader of many is enough (§3.8). */
    due?: () => boolean;
    onList: (list: PlatformWorker[]) => void;
  }): { okAt: () => Microseconds | undefined; close: () => void } => {
    const log = o.runtime.log('service catalog');
    let okAt: Microseconds | undefined;
    let failed = false;
    let lastNamed = -Infinity;
    let notBefore = -Infinity;
    /** A platform that names nobody all at once is more likely ill than right: for a while the last list stands. */
    const doubt = (list: PlatformWorker[]): void => {
      const now = o.runtime.clock.now();
      if (list.length > 0) lastNamed = now;
      else if (now - lastNamed < emptyFor) throw new Error('the list is empty all at once');
    };
    const poll = async (): Promise<void> => {
      try {
        if (o.due && (!o.due() || o.runtime.clock.now() < notBefore)) return;
        const list = await (o.read ? o.read() : ownFormat(o.runtime, o.platform!));
        doubt(list);
        okAt = o.runtime.clock.now();
        if (failed) log('the platform is back.');
        failed = false;
        o.onList(list);
      } catch (e) {
        // An ill platform is not asked by everybody all the time.
        notBefore = o.runtime.clock.now() + duration.ms(400 + o.runtime.rand.int(400));
        if (!failed) log(`no list of workers: ${fault.text(e)}.`);
        failed = true;
      }
    };
    void poll();
    return { okAt: () => okAt, close: time.every(o.runtime.clock, o.every ?? duration.ms(500), poll) };
  },
};
