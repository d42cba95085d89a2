// A whole deployment in the simulator (§9.2): its machines, roles, workers, platform and callers, with faults by name.
import { duration, invariant, type Runtime } from '@thornsail/runtime';
import {
  audit,
  callers,
  classNames,
  layout,
  ports,
  requestLog,
  shapes,
  silent,
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

const usualGap = duration.ms(400);
const usualPlaces = { model: 16, app: 16 };
const gateways = 7;
const pollEvery = duration.ms(50);
/** Tokens of a class that has no budget. */
const noBudget = 1_000_000;

const shapeOf = (options: FleetOptions): Shape => {
  const usual = shapes[options.shape];
  return {
    ...usual,
    ...(options.capacity ? { capacity: options.capacity } : {}),
    ...(options.models ? { models: options.models } : {}),
    ...(options.perToken ? { perToken: options.perToken } : {}),
    ...(options.firstToken ? { firstToken: options.firstToken } : {}),
    config: options.config ? options.config(structuredClone(usual.config)) : usual.config,
  };
};

const untilOf =
  (simulated: World, onBreach: (text: string) => void): Fleet['until'] =>
  async (what, ok, limit) => {
    const begun = simulated.now();
    while (!ok()) {
      if (simulated.now() - begun > limit) {
        onBreach(`${what}: not within ${duration.toMs(limit)} ms`);
        break;
      }
      await simulated.run(simulated.now() + pollEvery);
    }
    return simulated.now() - begun;
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
    chatTimeLeft: shape.chatTimeLeft,
    pushTimeLeft: shape.pushTimeLeft,
    gap: options.gap ?? usualGap,
    excused: (at, since) => {
      const process = processes.all.find((one) => one.options['http'] === at);
      return process === undefined || machines.hadFault(process.host, since);
    },
    stalls: options.stalls ?? false,
    gateways: () => {
      const up = processes.all.filter(({ role, host }) => role === 'gateway' && host.alive);
      return up.map((one) => one.options['http'] as string).slice(0, options.callAt ?? up.length);
    },
  });

const breachesOf = (fleetOf: Fleet): string[] => {
  const { shape, requestLog: log, callers: callersOf, platform } = fleetOf;
  const budgets = (program: string): number => {
    const classes = shape.config['classes'] as Record<string, { budgetTokens?: number }>;
    const names = classNames[shape.name];
    return (program.startsWith('k') ? classes[names.kept] : classes[names.chat])?.budgetTokens ?? noBudget;
  };
  return [
    ...invariant.breaches(),
    ...fleetOf.breachesOfItsOwn,
    ...callersOf.summary.breaches,
    ...silent(log, callersOf.summary.silences, shape.firstToken).breaches,
    ...audit({ requestLog: log, keys: callersOf.keys, budgets, leftAt: platform.leftAt }),
  ];
};

/** Pushes the first configuration and waits until all gateways serve it. */
const configure = async (opened: Fleet): Promise<void> => {
  await opened.until(
    'a view of coordinators',
    () => opened.processes.some(({ role, node }) => role === 'coordinator' && node?.counts()['leads'] === 1),
    duration.s(10),
  );
  let mark = 0;
  void opened.push(opened.shape.config, 0, 'first').then(
    (pushed) => {
      mark = pushed.mark;
    },
    () => undefined,
  );
  await opened.until('the first configuration', () => mark === 1, duration.s(8));
  await opened.until('all gateways ready', () => opened.ready() === gateways, duration.s(15));
};

const open = async (options: FleetOptions): Promise<Fleet> => {
  invariant.clear();
  const shape = shapeOf(options);
  const machineLayout = layout(shape);
  const { seed, log } = options;
  const { zoneDelay, clientDelay } = shape;
  const simulated = world.open({ seed, zoneDelay, clientDelay, clientIp: machineLayout.callers });
  if (log) simulated.onLog((at, ip, part, text) => log(`${(at / 1e6).toFixed(3)} ${ip} ${part}: ${text}`));
  const breachesOfItsOwn: string[] = [];
  const onBreach = (text: string): void => void breachesOfItsOwn.push(text);
  const recorded = requestLog.open();
  const machines = openMachines(simulated);
  const common = { world: simulated, machines, layout: machineLayout };
  const places = options.places ?? { ...usualPlaces, ...(shape.config['slots'] as object) };
  const workers = await openWorkers({ ...common, shape, requestLog: recorded, places });
  const processes = openProcesses({
    ...common,
    plain: options.plain ?? false,
    onFailed: ({ name }) => opened.kill(name),
    onBreach,
  });
  processes.addLayout();
  const callerRuntime = simulated.runtime(machines.host(machineLayout.callers, 'c'));
  const opened: Fleet = {
    world: simulated,
    shape,
    layout: machineLayout,
    requestLog: recorded,
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
    load: loadOf({ world: simulated, callers: () => opened.callers, onBreach }),
    breaches: () => breachesOf(opened),
    breachesOfItsOwn,
  };
  for (const process of processes.all) processes.boot(process);
  if (!options.noConfig) await configure(opened);
  return opened;
};

/** Simulated deployments. */
export const fleet = { open };
