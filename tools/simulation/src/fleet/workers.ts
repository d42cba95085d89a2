// The workers and the platform of a simulated deployment.
import { duration } from '@thornsail/runtime';
import {
  standIns,
  type Layout,
  type ListedWorker,
  type Platform,
  type RequestLog,
  type Shape,
  type StandInWorker,
} from '@thornsail/test-harness';
import type { World } from '../world/index.js';
import type { Machines } from './machines.js';

/** The workers by kind, in order of their start, and the platform that lists them. */
export type Workers = {
  models: StandInWorker[];
  apps: StandInWorker[];
  platform: Platform;
  start: (worker: ListedWorker, zone: string) => Promise<StandInWorker>;
};
type WorkersOptions = {
  world: World;
  machines: Machines;
  shape: Shape;
  layout: Layout;
  requestLog: RequestLog;
  places: { model: number; app: number };
};

/** Prefill time of one prompt token, in microseconds. */
const prefillPerToken = 60;
/** Duration of one job at an app worker. */
const appJobTime = duration.ms(15);
const zoneCount = 3;
const ipOf = (address: string): string => address.split(':')[0]!;

/** Starts the workers of the layout, then the platform that lists them. */
export const openWorkers = async (options: WorkersOptions): Promise<Workers> => {
  const { world, machines, shape, layout, requestLog, places } = options;
  const models: StandInWorker[] = [];
  const apps: StandInWorker[] = [];
  const start = async ({ id, at: address, kind }: ListedWorker, zone: string): Promise<StandInWorker> => {
    const runtime = world.runtime(machines.host(ipOf(address), zone));
    const common = { id, at: address, requestLog, rand: runtime.rand };
    const { capacity, firstToken, perToken } = shape;
    const speed = { capacity, firstToken, perToken, perPrefill: prefillPerToken };
    const worker =
      kind === 'model'
        ? await standIns.model(runtime, { ...common, ...speed, concurrency: places.model })
        : await standIns.app(runtime, { ...common, serviceTime: appJobTime, concurrency: places.app });
    (kind === 'model' ? models : apps).push(worker);
    return worker;
  };
  for (const [i, worker] of layout.workers.entries()) await start(worker, `z${(i % zoneCount) + 1}`);
  const platform = await standIns.platform(world.runtime(machines.host(ipOf(layout.platform), 'z1')), {
    at: layout.platform,
    workers: layout.workers,
  });
  return { models, apps, platform, start };
};
