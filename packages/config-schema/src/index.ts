// configuration schema: what operators configure and what a process is told at its start; both checked, with defaults
// (§7).
import * as t from 'io-ts';
import fastJsonPatch, { type Operation } from 'fast-json-patch';
import { apply as mergePatch } from 'json-merge-patch';
import { address } from '@thornsail/runtime';
import { check, match, oneOf, range, sealed, whole, type Problem } from './codec.js';

export type { Problem } from './codec.js';
export {
  deprecatedNames,
  deprecatedNamesRemovedIn,
  deprecationWarning,
  type CurrentName,
  type CurrentSettings,
} from './deprecated-names.js';

const label = match(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,99}$/, 'a name of letters, digits and ._:-');
const at = new t.Type<string>(
  'an address "ip:port"',
  (u): u is string => address.ok(u),
  (u, c) => (address.ok(u) ? t.success(u) : t.failure(u, c)),
  t.identity,
);

/** §4: the ThunderAgent values. The paper's defaults, and those marked ours in docs/CONFIG.md. */
const scheduler = {
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
const schedulerCodec = sealed(
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
    headroomTokens: whole(0, 1_000_000),
    maxTurns: whole(1, 1_000_000),
    maxPrograms: whole(1, 1_000_000),
    holdLimitMs: whole(10, 1900),
    resumeOnRoom: t.boolean,
    /** A program begins in its edge's zone unless a worker there is fuller by more than this part of its cache. */
    localPreference: range(0, 1),
  },
  scheduler,
);

const classCodec = sealed(
  'class',
  {
    kind: oneOf('model', 'app'),
    /** The service whose workers it uses; empty: all workers of its kind. */
    service: t.string,
    weight: range(0.01, 1000),
    urgent: t.boolean,
    reserve: range(0, 0.5),
    budgetTokens: whole(1, 1_000_000_000),
    maxTokens: whole(1, 1_000_000),
    keepSeconds: whole(0, 31_536_000),
    timeLeftMs: whole(100, 600_000),
    expectedMs: whole(1, 600_000),
    buffer: whole(0, 100_000),
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

/** Slots of a worker of each kind, for workers that do not name their own. */
const slotsCodec = sealed('slots', { model: whole(1, 10_000), app: whole(1, 10_000) }, { model: 16, app: 16 });

/** A route: which service gets the requests of a host and path, and on what terms (§5.7). */
const routeCodec = sealed(
  'route',
  {
    name: label,
    host: t.string,
    prefix: match(/^\/(.*\/)?$/, 'a path that begins and ends with a slash'),
    /** What may be repeated: any request, none that may have run, one run for each key, or a stream of events. */
    semantics: oneOf('idempotent', 'effectful', 'keyed', 'stream'),
    targets: t.array(sealed('target', { service: label, weight: range(0, 1_000_000) })),
    class: label,
    deadlineMs: range(1, 3_600_000),
    aimMs: range(0, 3_600_000),
    gapMs: range(0, 3_600_000),
    urgency: whole(0, 1000),
    maxAttempts: whole(1, 100),
    resumable: t.boolean,
    /** For how long a turn is kept from the end of its answer on; 0: it is not kept. */
    keepSeconds: range(0, 31_536_000),
  },
  { gapMs: 0, urgency: 0, maxAttempts: 1, resumable: false, keepSeconds: 0 },
);
/** A service: a kind of worker, as far as the workers themselves do not tell (§5.7). */
const serviceCodec = sealed(
  'service',
  {
    name: label,
    connections: whole(1, 1_000_000),
    /** Tokens in one event of a stream. */
    tokensPerEvent: range(0.001, 1_000_000),
    /** Serves agent programs' turns: admission counts its cache (§4). */
    model: t.boolean,
    cacheTokens: range(0, 1e12),
    /** Keeps its own record of keys. */
    deduplicates: t.boolean,
  },
  { connections: 256, tokensPerEvent: 1, model: false, cacheTokens: 0, deduplicates: false },
);
const limits = {
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
const limitsCodec = sealed(
  'limits',
  {
    /** How many free slots of a worker every edge may take within the news' delay, however they are dealt (§5.2). */
    leastPart: whole(0, 64),
    maxBodyBytes: whole(1024, 8 << 20),
    maxKeptBytes: whole(1024, 4 << 20),
    promptBytesPerToken: range(0.25, 16),
    onceKeepSeconds: whole(10, 2_592_000),
    programKeepSeconds: whole(60, 31_536_000),
    maxHeaderBytes: whole(1024, 65_536),
    headersWithinMs: whole(100, 600_000),
    idleForMs: whole(100, 3_600_000),
  },
  limits,
);
/** When a change of the configuration is acknowledged (§7.2). */
const acknowledge = oneOf('in-use', 'agreed');

const configCodec = sealed(
  'configuration',
  {
    classes: t.record(label, classCodec),
    slots: slotsCodec,
    scheduler: schedulerCodec,
    limits: limitsCodec,
    routes: t.array(routeCodec),
    services: t.array(serviceCodec),
    acknowledge,
  },
  {
    slots: { model: 16, app: 16 },
    scheduler,
    limits,
    routes: [],
    services: [],
    acknowledge: 'in-use',
  },
);

export type Config = t.TypeOf<typeof configCodec>;
export type ClassOf = t.TypeOf<typeof classCodec>;
export type Route = t.TypeOf<typeof routeCodec>;
export type Service = t.TypeOf<typeof serviceCodec>;
export type SchedulerOptions = t.TypeOf<typeof schedulerCodec>;
export type Checked<T> = { ok: true; value: T } | { ok: false; problems: Problem[] };

/** The workers that a class uses, by name. */
export const serviceOf = (c: ClassOf): string => c.service || c.kind;
const repeated = (all: string[]): string[] => all.filter((x, i) => all.indexOf(x) !== i);
/** What routes and services must agree on among themselves (§5.7). */
const routeRules = (c: Config): Problem[] => {
  const services = new Set(c.services.map((s) => s.name));
  const builtIn = c.services.length === 0 ? [] : repeated(c.services.map((s) => s.name));
  const out: Problem[] = builtIn.map((n) => ({ path: 'services', text: `${n} is named twice` }));
  for (const n of repeated(c.routes.map((r) => r.name))) out.push({ path: 'routes', text: `${n} is named twice` });
  for (const n of repeated(c.routes.map((r) => `${r.host.toLowerCase()} ${r.prefix}`)))
    out.push({ path: 'routes', text: `two routes for ${n}` });
  for (const [i, r] of c.routes.entries()) {
    const bad = (field: string, text: string): void => void out.push({ path: `routes.${i}.${field}`, text });
    for (const x of r.targets) if (!services.has(x.service)) bad('targets', `there is no service ${x.service}`);
    if (r.targets.reduce((a, x) => a + x.weight, 0) <= 0) bad('targets', 'the weights add up to 0');
    if (!Object.hasOwn(c.classes, r.class)) bad('class', `there is no class ${r.class}`);
  }
  return out;
};
const rules = (c: Config): Problem[] => {
  const out: Problem[] = [];
  const bad = (path: string, text: string): void => void out.push({ path, text });
  const s = c.scheduler;
  if (s.pauseTarget > s.pauseThreshold) bad('scheduler.pauseTarget', 'must not be above scheduler.pauseThreshold');
  if (s.resumeHysteresis > s.pauseThreshold)
    bad('scheduler.resumeHysteresis', 'must not be above scheduler.pauseThreshold');
  if (Object.keys(c.classes).length === 0) bad('classes', 'at least one class is needed');
  for (const kind of new Set(Object.values(c.classes).map(serviceOf))) {
    const sum = Object.values(c.classes)
      .filter((k) => serviceOf(k) === kind)
      .reduce((a, k) => a + k.reserve, 0);
    if (sum > 0.8) bad('classes', `reserves of ${kind} classes add up to ${sum.toFixed(2)}, at most 0.8`);
  }
  return [...out, ...routeRules(c)];
};

/** Between two heartbeats to a watcher (§3.2); five of them missed are a silence. */
const beatMs = whole(20, 10_000);
/** What a node goes by; its place in the fleet. */
const process_ = {
  place: at,
  http: at,
  zone: label,
  seeds: t.array(at),
  name: label,
  data: t.string,
  beatMs,
};
const common = { zone: 'z1', seeds: [] as string[], beatMs: 200 };
const optionCodecs = {
  coordinator: sealed(
    'coordinator options',
    { ...process_, founders: t.array(at), tolerates: whole(1, 3), leastStores: whole(0, 7) },
    { ...common, founders: [], tolerates: 1, leastStores: 0 },
  ),
  store: sealed('store options', process_, common),
  agent: sealed(
    'agent options',
    { place: at, http: at, zone: label, seeds: t.array(at), name: label, beatMs, platform: at },
    common,
  ),
  gateway: sealed(
    'gateway options',
    { place: at, http: at, zone: label, seeds: t.array(at), name: label, beatMs, agent: at },
    common,
  ),
};
export type Role = keyof typeof optionCodecs;
export type CoordinatorOptions = t.TypeOf<typeof optionCodecs.coordinator>;
export type StoreOptions = t.TypeOf<typeof optionCodecs.store>;
export type AgentOptions = t.TypeOf<typeof optionCodecs.agent>;
export type GatewayOptions = t.TypeOf<typeof optionCodecs.gateway>;
export type OptionsOf = {
  coordinator: CoordinatorOptions;
  store: StoreOptions;
  agent: AgentOptions;
  gateway: GatewayOptions;
};

export type How = 'whole' | 'merge' | 'patch';
export type Step = { op: string; path: string; before?: unknown; after?: unknown };
const { applyOperation, compare, getValueByPointer } = fastJsonPatch;
const valueAt = (doc: unknown, path: string): unknown => {
  try {
    return getValueByPointer(doc, path) as unknown;
  } catch {
    return undefined;
  }
};

export const configSchema = {
  /** The raw configuration that a change makes of its base; JSON Patch (RFC 6902) by library, all of it or nothing. */
  change: (base: unknown, how: How, body: unknown): Checked<unknown> => {
    if (how === 'whole') return { ok: true, value: body };
    if (how === 'merge') return { ok: true, value: configSchema.merge(base, body) };
    if (!Array.isArray(body))
      return { ok: false, problems: [{ path: '(patch)', text: 'a list of operations is needed' }] };
    let doc = structuredClone<object>(base ?? {});
    for (const [i, op] of (structuredClone(body) as Operation[]).entries()) {
      try {
        doc = applyOperation(doc, op, true, false, true, i).newDocument;
      } catch (e) {
        return {
          ok: false,
          problems: [
            {
              path: `(patch ${i})`,
              text: String((e as { name?: string }).name ?? e)
                .toLowerCase()
                .replaceAll('_', ' '),
            },
          ],
        };
      }
    }
    return { ok: true, value: doc };
  },
  /** What a change would do, as steps on the raw configuration, once it is known to be valid. */
  plan: (base: unknown, how: How, body: unknown): { ok: true; steps: Step[] } | { ok: false; problems: Problem[] } => {
    const next = configSchema.change(base, how, body);
    if (!next.ok) return next;
    const c = configSchema.check(next.value);
    if (!c.ok) return c;
    return {
      ok: true,
      steps: compare(base ?? {}, next.value as object).map((o) => ({
        op: o.op,
        path: o.path,
        ...(o.op === 'add' ? {} : { before: valueAt(base, o.path) }),
        ...(o.op === 'remove' ? {} : { after: (o as { value?: unknown }).value }),
      })),
    };
  },
  check: (u: unknown): Checked<Config> => {
    const r = check(configCodec, u);
    if (!r.ok) return r;
    const problems = rules(r.value);
    return problems.length ? { ok: false, problems } : r;
  },
  /** JSON Merge Patch (RFC 7396). Neither argument is changed. */
  merge: (base: unknown, patch: unknown): unknown => mergePatch(structuredClone(base), structuredClone(patch)),
  options: <R extends Role>(role: R, u: unknown): Checked<OptionsOf[R]> => {
    const r = check(optionCodecs[role] as unknown as t.Type<OptionsOf[R]>, u);
    if (!r.ok) return r;
    const o = r.value as { seeds: string[]; founders?: string[]; place: string };
    const problems: Problem[] = [];
    if (o.seeds.length > 3) problems.push({ path: 'seeds', text: 'three at most' });
    if (o.founders && o.founders.length !== 0 && (o.founders.length !== 3 || !o.founders.includes(o.place)))
      problems.push({ path: 'founders', text: 'three addresses, this one among them, or none' });
    return problems.length ? { ok: false, problems } : r;
  },
  /** Whether a name is that of a role. */
  isRole: (name: unknown): name is Role => typeof name === 'string' && Object.hasOwn(optionCodecs, name),
  keys: (role: Role): string[] =>
    ({
      coordinator: ['place', 'http', 'zone', 'seeds', 'name', 'data', 'beatMs', 'founders', 'tolerates', 'leastStores'],
      store: ['place', 'http', 'zone', 'seeds', 'name', 'data', 'beatMs'],
      agent: ['place', 'http', 'zone', 'seeds', 'name', 'beatMs', 'platform'],
      gateway: ['place', 'http', 'zone', 'seeds', 'name', 'beatMs', 'agent'],
    })[role],
  defaults: { scheduler: (): SchedulerOptions => ({ ...scheduler }) },
};
