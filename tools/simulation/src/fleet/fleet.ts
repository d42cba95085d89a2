// Opens a complete deployment in the simulator (§9.2): machines, processes, workers, platform, callers and faults.
import { duration, invariant, type Runtime } from '@thornsail/runtime';
import {
  audit,
  callers,
  classNames,
  layout,
  ports,
  requestLog,
  shapes,
  classifySilences,
  type Callers,
  type Shape,
} from '@thornsail/test-harness';
import { world, type World } from '../world/index.js';
import { callsOf } from './calls.js';
import { loadOf } from './load.js';
import { openMachines, type Machines } from './machines.js';
import { operationsOf } from './operations.js';
import { openProcesses, type Processes } from './processes.js';
import type { Fleet, FleetOptions } from './types.js';
import { openWorkers } from './workers.js';

/** Pause between the turns of a conversation. */
const defaultGap = duration.ms(400);
/** Concurrent requests per worker, by kind. */
const defaultPlaces = { model: 16, app: 16 };
const gatewayCount = 7;
const pollInterval = duration.ms(50);
/** Token budget of a class without a configured budget. */
const unlimitedBudget = 1_000_000;

const shapeOf = (options: FleetOptions): Shape => {
  const defaults = shapes[options.shape];
  return {
    ...defaults,
    ...(options.capacity ? { capacity: options.capacity } : {}),
    ...(options.models ? { models: options.models } : {}),
    ...(options.perToken ? { perToken: options.perToken } : {}),
    ...(options.firstToken ? { firstToken: options.firstToken } : {}),
    config: options.config ? options.config(structuredClone(defaults.config)) : defaults.config,
  };
};

const untilOf =
  (simulated: World, onBreach: (text: string) => void): Fleet['until'] =>
  async (what, condition, limit) => {
    const startedAt = simulated.now();
    while (!condition()) {
      if (simulated.now() - startedAt > limit) {
        onBreach(`${what}: not within ${duration.toMs(limit)} ms`);
        break;
      }
      await simulated.run(simulated.now() + pollInterval);
    }
    return simulated.now() - startedAt;
  };

type CallerOptions = {
  options: FleetOptions;
  shape: Shape;
  runtime: Runtime;
  machines: Machines;
  processes: Processes;
};
const openCallers = ({ options, shape, runtime, machines, processes }: CallerOptions): Callers =>
  callers.open({
    runtime,
    rand: runtime.rand,
    classes: classNames[options.shape],
    chatTimeLeftMs: shape.chatTimeLeftMs,
    jobTimeLeftMs: shape.jobTimeLeftMs,
    turnInterval: options.gap ?? defaultGap,
    isExcused: (address, since) => {
      const process = processes.all.find((candidate) => candidate.options['http'] === address);
      return process === undefined || machines.hadFault(process.host, since);
    },
    workersStall: options.stalls ?? false,
    gateways: () => {
      const up = processes.all.filter(({ role, host }) => role === 'gateway' && host.alive);
      return up.map((gateway) => gateway.options['http'] as string).slice(0, options.gatewayLimit ?? up.length);
    },
  });

const breachesOf = (deployment: Fleet): string[] => {
  const { shape, requestLog: log, callers: deploymentCallers, platform } = deployment;
  const budgets = (program: string): number => {
    const classes = shape.config['classes'] as Record<string, { budgetTokens?: number }>;
    const names = classNames[shape.name];
    return (program.startsWith('k') ? classes[names.stored] : classes[names.chat])?.budgetTokens ?? unlimitedBudget;
  };
  return [
    ...invariant.breaches(),
    ...deployment.reportedBreaches,
    ...deploymentCallers.summary.breaches,
    ...classifySilences(log, deploymentCallers.summary.silences, shape.firstToken).breaches,
    ...audit({ requestLog: log, keys: deploymentCallers.keys, budgets, leavingSince: platform.leavingSince }),
  ];
};

/** Pushes the first configuration and waits until all gateways are ready. */
const configure = async (deployment: Fleet): Promise<void> => {
  await deployment.until(
    'a leading coordinator',
    () => deployment.processes.some(({ role, node }) => role === 'coordinator' && node?.counts()['leads'] === 1),
    duration.s(10),
  );
  let mark = 0;
  void deployment.push(deployment.shape.config, 0, 'first').then(
    (pushed) => {
      mark = pushed.mark;
    },
    () => undefined,
  );
  await deployment.until('the first configuration', () => mark === 1, duration.s(8));
  await deployment.until('all gateways ready', () => deployment.ready() === gatewayCount, duration.s(15));
};

const open = async (options: FleetOptions): Promise<Fleet> => {
  invariant.clear();
  const shape = shapeOf(options);
  const machineLayout = layout(shape);
  const { seed, log } = options;
  const { zoneDelay, clientDelay } = shape;
  const simulated = world.open({ seed, zoneDelay, clientDelay, clientIp: machineLayout.callers });
  if (log) simulated.onLog((time, ip, part, text) => log(`${(time / 1e6).toFixed(3)} ${ip} ${part}: ${text}`));
  const reportedBreaches: string[] = [];
  const onBreach = (text: string): void => void reportedBreaches.push(text);
  const requests = requestLog.open();
  const machines = openMachines(simulated);
  const common = { world: simulated, machines, layout: machineLayout };
  const places = options.places ?? { ...defaultPlaces, ...(shape.config['slots'] as object) };
  const workers = await openWorkers({ ...common, shape, requestLog: requests, places });
  const processes = openProcesses({
    ...common,
    plain: options.plain ?? false,
    onFailed: ({ name }) => deployment.kill(name),
    onBreach,
  });
  processes.addLayout();
  const callerRuntime = simulated.runtime(machines.host(machineLayout.callers, 'c'));
  const deployment: Fleet = {
    world: simulated,
    shape,
    layout: machineLayout,
    requestLog: requests,
    processes: processes.all,
    models: workers.models,
    apps: workers.apps,
    platform: workers.platform,
    callers: openCallers({ options, shape, runtime: callerRuntime, machines, processes }),
    callerRuntime,
    process: processes.named,
    hostOf: (ip) => machines.host(ip, 'z1'),
    ...operationsOf({ ...common, processes }),
    addWorker: (worker) => workers.start(worker, 'z1'),
    ...callsOf(callerRuntime, `${machineLayout.machines[0]!.host}:${ports.http}`),
    ready: () =>
      processes.all.filter(({ role, host, node }) => role === 'gateway' && host.alive && node?.ready().ok).length,
    until: untilOf(simulated, onBreach),
    load: loadOf({ world: simulated, callers: () => deployment.callers, onBreach }),
    breaches: () => breachesOf(deployment),
    reportedBreaches,
  };
  for (const process of processes.all) processes.boot(process);
  if (!options.noConfig) await configure(deployment);
  return deployment;
};

/** Opens simulated deployments. */
export const fleet = { open };
