/**
 * Schemas of the cluster configuration and of the start-up options of each role, with their defaults and the rules
 * between values (§7).
 */
import * as io from 'io-ts';
import fastJsonPatch, { type Operation } from 'fast-json-patch';
import { apply as mergePatch } from 'json-merge-patch';
import { check, integer, label, oneOf, pattern, range, strictObject, type Problem } from './codec.js';
import { optionCodecs, type Role, type RoleOptions } from './role-options.js';

export type { Problem } from './codec.js';
export type {
  AgentOptions,
  CoordinatorOptions,
  GatewayOptions,
  Role,
  RoleOptions,
  StoreOptions,
} from './role-options.js';
export {
  deprecatedNames,
  deprecatedNamesRemovedIn,
  deprecationWarning,
  type CurrentName,
  type CurrentSettings,
} from './deprecated-names.js';

/** Defaults of the scheduler (§4): those of the ThunderAgent paper, and those marked as ours in docs/CONFIG.md. */
const schedulerDefaults = {
  pauseThreshold: 0.95,
  pauseTarget: 0.8,
  resumeHysteresis: 0.1,
  resumeTimeoutSeconds: 1800,
  retentionSeconds: 1800,
  intervalSeconds: 5,
  actingTokenWeight: 1,
  actingDecaySeconds: 1,
  headroomTokens: 100,
  maxTurns: 10_000,
  maxPrograms: 10_000,
  holdLimitMs: 1500,
  resumeOnRoom: true,
  localPreference: 0,
};
const schedulerCodec = strictObject(
  'scheduler',
  {
    pauseThreshold: range(0.05, 1),
    pauseTarget: range(0.01, 1),
    resumeHysteresis: range(0, 1),
    resumeTimeoutSeconds: range(0.1, 86_400),
    retentionSeconds: range(1, 86_400),
    intervalSeconds: range(0.05, 600),
    actingTokenWeight: range(0, 10),
    actingDecaySeconds: range(0.001, 3600),
    headroomTokens: integer(0, 1_000_000),
    maxTurns: integer(1, 1_000_000),
    maxPrograms: integer(1, 1_000_000),
    holdLimitMs: integer(10, 1900),
    resumeOnRoom: io.boolean,
    /** A program starts in its gateway's zone unless the worker there is fuller by more than this part of its cache. */
    localPreference: range(0, 1),
  },
  schedulerDefaults,
);

/** A class of service: weight, reserve and limits of its requests. */
const classCodec = strictObject(
  'class',
  {
    kind: oneOf('model', 'app'),
    /** The service whose workers the class uses; if empty, all workers of its kind. */
    service: io.string,
    weight: range(0.01, 1000),
    urgent: io.boolean,
    reserve: range(0, 0.5),
    budgetTokens: integer(1, 1_000_000_000),
    maxTokens: integer(1, 1_000_000),
    keepSeconds: integer(0, 31_536_000),
    timeLeftMs: integer(100, 600_000),
    expectedMs: integer(1, 600_000),
    buffer: integer(0, 100_000),
  },
  {
    service: '',
    urgent: false,
    reserve: 0,
    budgetTokens: 1_000_000,
    maxTokens: 512,
    keepSeconds: 86_400,
    timeLeftMs: 3000,
    expectedMs: 300,
    buffer: 256,
  },
);

/** Slots per worker of each kind, for workers that do not state their own number. */
const slotsCodec = strictObject(
  'slots',
  { model: integer(1, 10_000), app: integer(1, 10_000) },
  { model: 16, app: 16 },
);

/** A route: the services that get the requests of a host and path prefix, and their limits (§5.7). */
const routeCodec = strictObject(
  'route',
  {
    name: label,
    host: io.string,
    prefix: pattern(/^\/(.*\/)?$/, 'a path that begins and ends with a slash'),
    /**
     * What may be retried: `idempotent` any request, `effectful` none that may have run, `keyed` with one run for each
     * idempotency key; `stream` is a stream of events.
     */
    semantics: oneOf('idempotent', 'effectful', 'keyed', 'stream'),
    targets: io.array(strictObject('target', { service: label, weight: range(0, 1_000_000) })),
    class: label,
    deadlineMs: range(1, 3_600_000),
    aimMs: range(0, 3_600_000),
    gapMs: range(0, 3_600_000),
    urgency: integer(0, 1000),
    maxAttempts: integer(1, 100),
    resumable: io.boolean,
    /** How long a turn is stored after the end of its response; 0: not stored. */
    keepSeconds: range(0, 31_536_000),
  },
  { gapMs: 0, urgency: 0, maxAttempts: 1, resumable: false, keepSeconds: 0 },
);
/** A service: properties of its workers that the workers themselves do not state (§5.7). */
const serviceCodec = strictObject(
  'service',
  {
    name: label,
    connections: integer(1, 1_000_000),
    /** Tokens in one event of a stream. */
    tokensPerEvent: range(0.001, 1_000_000),
    /** Serves turns of agent programs, so that admission accounts for its cache (§4). */
    model: io.boolean,
    cacheTokens: range(0, 1e12),
    /** Deduplicates requests by idempotency key itself. */
    deduplicates: io.boolean,
  },
  { connections: 256, tokensPerEvent: 1, model: false, cacheTokens: 0, deduplicates: false },
);
const limitDefaults = {
  leastPart: 0,
  maxBodyBytes: 1 << 20,
  maxKeptBytes: 262_144,
  promptBytesPerToken: 1,
  onceKeepSeconds: 86_400,
  programKeepSeconds: 604_800,
  maxHeaderBytes: 16_384,
  headersWithinMs: 10_000,
  idleForMs: 5_000,
};
const limitsCodec = strictObject(
  'limits',
  {
    /**
     * Minimum number of free slots of a worker that each gateway may use within the delay of dissemination, whatever
     * share of the slots it is assigned (§5.2).
     */
    leastPart: integer(0, 64),
    maxBodyBytes: integer(1024, 8 << 20),
    maxKeptBytes: integer(1024, 4 << 20),
    promptBytesPerToken: range(0.25, 16),
    onceKeepSeconds: integer(10, 2_592_000),
    programKeepSeconds: integer(60, 31_536_000),
    maxHeaderBytes: integer(1024, 65_536),
    headersWithinMs: integer(100, 600_000),
    idleForMs: integer(100, 3_600_000),
  },
  limitDefaults,
);
/** When a configuration change is acknowledged: once agreed, or once in use at the gateways (§7.2). */
const acknowledge = oneOf('in-use', 'agreed');

const configCodec = strictObject(
  'configuration',
  {
    classes: io.record(label, classCodec),
    slots: slotsCodec,
    scheduler: schedulerCodec,
    limits: limitsCodec,
    routes: io.array(routeCodec),
    services: io.array(serviceCodec),
    acknowledge,
  },
  {
    slots: { model: 16, app: 16 },
    scheduler: schedulerDefaults,
    limits: limitDefaults,
    routes: [],
    services: [],
    acknowledge: 'in-use',
  },
);

/** The checked cluster configuration, with defaults filled in. */
export type Config = io.TypeOf<typeof configCodec>;
/** A class of service. */
export type ClassConfig = io.TypeOf<typeof classCodec>;
/** A route of requests to services. */
export type Route = io.TypeOf<typeof routeCodec>;
/** A service and the properties of its workers. */
export type Service = io.TypeOf<typeof serviceCodec>;
/** Settings of the admission scheduler. */
export type SchedulerOptions = io.TypeOf<typeof schedulerCodec>;
/** The checked value, or all its problems. */
export type Checked<Value> = { ok: true; value: Value } | { ok: false; problems: Problem[] };

/** The name of the service whose workers a class uses; the kind of worker if it names no service. */
export const serviceOf = (classConfig: ClassConfig): string => classConfig.service || classConfig.kind;
const duplicates = (names: string[]): string[] => names.filter((name, i) => names.indexOf(name) !== i);
/** Consistency rules between routes, services and classes (§5.7). */
const routeProblems = (config: Config): Problem[] => {
  const services = new Set(config.services.map((service) => service.name));
  const repeatedServices =
    config.services.length === 0 ? [] : duplicates(config.services.map((service) => service.name));
  const problems: Problem[] = repeatedServices.map((name) => ({ path: 'services', text: `${name} is named twice` }));
  for (const name of duplicates(config.routes.map((route) => route.name)))
    problems.push({ path: 'routes', text: `${name} is named twice` });
  for (const match of duplicates(config.routes.map((route) => `${route.host.toLowerCase()} ${route.prefix}`)))
    problems.push({ path: 'routes', text: `two routes for ${match}` });
  for (const [i, route] of config.routes.entries()) {
    const add = (field: string, text: string): void => void problems.push({ path: `routes.${i}.${field}`, text });
    for (const target of route.targets)
      if (!services.has(target.service)) add('targets', `there is no service ${target.service}`);
    if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) add('targets', 'the weights add up to 0');
    if (!Object.hasOwn(config.classes, route.class)) add('class', `there is no class ${route.class}`);
  }
  return problems;
};
/** Consistency rules between the values of a configuration. */
const configProblems = (config: Config): Problem[] => {
  const problems: Problem[] = [];
  const add = (path: string, text: string): void => void problems.push({ path, text });
  const options = config.scheduler;
  if (options.pauseTarget > options.pauseThreshold)
    add('scheduler.pauseTarget', 'must not be above scheduler.pauseThreshold');
  if (options.resumeHysteresis > options.pauseThreshold)
    add('scheduler.resumeHysteresis', 'must not be above scheduler.pauseThreshold');
  if (Object.keys(config.classes).length === 0) add('classes', 'at least one class is needed');
  for (const kind of new Set(Object.values(config.classes).map(serviceOf))) {
    const reserved = Object.values(config.classes)
      .filter((classConfig) => serviceOf(classConfig) === kind)
      .reduce((sum, classConfig) => sum + classConfig.reserve, 0);
    if (reserved > 0.8) add('classes', `reserves of ${kind} classes add up to ${reserved.toFixed(2)}, at most 0.8`);
  }
  return [...problems, ...routeProblems(config)];
};

/** How the body of a change applies to its base: as a replacement, a JSON Merge Patch or a JSON Patch. */
export type ChangeMethod = 'whole' | 'merge' | 'patch';
/** One step of a planned change, in the terms of JSON Patch, with the values before and after. */
export type PlanStep = { op: string; path: string; before?: unknown; after?: unknown };
const { applyOperation, compare, getValueByPointer } = fastJsonPatch;
const valueAt = (document: unknown, path: string): unknown => {
  try {
    return getValueByPointer(document, path) as unknown;
  } catch {
    return undefined;
  }
};

/** Checks of the configuration and of the start-up options, and changes of the configuration. */
export const configSchema = {
  /**
   * Applies a change to the raw configuration without checking the result. A JSON Patch (RFC 6902) applies as a whole
   * or not at all.
   */
  change: (base: unknown, method: ChangeMethod, body: unknown): Checked<unknown> => {
    if (method === 'whole') return { ok: true, value: body };
    if (method === 'merge') return { ok: true, value: configSchema.merge(base, body) };
    if (!Array.isArray(body))
      return { ok: false, problems: [{ path: '(patch)', text: 'a list of operations is needed' }] };
    let document = structuredClone<object>(base ?? {});
    for (const [i, operation] of (structuredClone(body) as Operation[]).entries()) {
      try {
        document = applyOperation(document, operation, true, false, true, i).newDocument;
      } catch (error) {
        return {
          ok: false,
          problems: [
            {
              path: `(patch ${i})`,
              text: String((error as { name?: string }).name ?? error)
                .toLowerCase()
                .replaceAll('_', ' '),
            },
          ],
        };
      }
    }
    return { ok: true, value: document };
  },
  /** The steps of a change on the raw configuration, or the problems of the configuration that it would make. */
  plan: (
    base: unknown,
    method: ChangeMethod,
    body: unknown,
  ): { ok: true; steps: PlanStep[] } | { ok: false; problems: Problem[] } => {
    const next = configSchema.change(base, method, body);
    if (!next.ok) return next;
    const checked = configSchema.check(next.value);
    if (!checked.ok) return checked;
    return {
      ok: true,
      steps: compare(base ?? {}, next.value as object).map((operation) => ({
        op: operation.op,
        path: operation.path,
        ...(operation.op === 'add' ? {} : { before: valueAt(base, operation.path) }),
        ...(operation.op === 'remove' ? {} : { after: (operation as { value?: unknown }).value }),
      })),
    };
  },
  /** Checks a raw configuration and fills in its defaults. */
  check: (raw: unknown): Checked<Config> => {
    const checked = check(configCodec, raw);
    if (!checked.ok) return checked;
    const problems = configProblems(checked.value);
    return problems.length ? { ok: false, problems } : checked;
  },
  /** JSON Merge Patch (RFC 7396). Neither argument is changed. */
  merge: (base: unknown, patch: unknown): unknown => mergePatch(structuredClone(base), structuredClone(patch)),
  /** Checks the start-up options of a role and fills in their defaults. */
  options: <Name extends Role>(role: Name, raw: unknown): Checked<RoleOptions[Name]> => {
    const checked = check(optionCodecs[role] as unknown as io.Type<RoleOptions[Name]>, raw);
    if (!checked.ok) return checked;
    const options = checked.value as {
      seeds: string[];
      founders?: string[];
      possibleFounders?: string[];
      place: string;
    };
    const problems: Problem[] = [];
    if (options.seeds.length > 3) problems.push({ path: 'seeds', text: 'three at most' });
    for (const path of ['founders', 'possibleFounders'] as const) {
      const addresses = options[path] ?? [];
      if (addresses.length !== 0 && (addresses.length !== 3 || !addresses.includes(options.place)))
        problems.push({ path, text: 'three addresses, this one among them, or none' });
    }
    return problems.length ? { ok: false, problems } : checked;
  },
  /** Whether a value is the name of a role. */
  isRole: (name: unknown): name is Role => typeof name === 'string' && Object.hasOwn(optionCodecs, name),
  /** The option keys of a role, in the order of its help text. */
  keys: (role: Role): string[] =>
    ({
      coordinator: [
        ...['place', 'http', 'zone', 'seeds', 'name', 'data', 'beatMs'],
        ...['founders', 'possibleFounders', 'tolerates', 'leastStores'],
      ],
      store: ['place', 'http', 'zone', 'seeds', 'name', 'data', 'dataMb', 'beatMs'],
      agent: ['place', 'http', 'zone', 'seeds', 'name', 'beatMs', 'platform'],
      gateway: ['place', 'http', 'zone', 'seeds', 'name', 'beatMs', 'agent'],
    })[role],
  /** Default settings, as new objects. */
  defaults: { scheduler: (): SchedulerOptions => ({ ...schedulerDefaults }) },
};
