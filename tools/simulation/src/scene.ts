// What the scenarios share (§9.4): the names of the machines, how a run ends, and when a fleet serves again.
import { duration, type Address, type Microseconds } from '@thornsail/runtime';
import { silent, type Listed, type ShapeName, type StandIn } from '@thornsail/test-harness';
import { apiRoot } from '@thornsail/admin-api';
import type { Fleet } from './fleet/index.js';

export type Outcome = { breaches: string[]; figures: Record<string, number>; hash: string };
export type Scenario = {
  rule: string;
  run: (seed: number, shape: ShapeName, log?: (line: string) => void) => Promise<Outcome>;
};

export const edges = ['edge1', 'edge2', 'edge3', 'edge4', 'edge5', 'edge6', 'edge7'];
export const gateways = edges.map((e) => `gateway-${e}`);
export const stores = ['store1', 'store2', 'store3'];
export const coordinators = ['coordinator1', 'coordinator2', 'coordinator3'];
export const gatewayAt = (f: Fleet, i: number): Address => f.process(gateways[i % 7]!).options['http'] as Address;
export const sum = (f: Fleet, k: string): number =>
  f.processes.filter((p) => p.role === 'gateway').reduce((a, p) => a + (p.node?.counts()[k] ?? 0), 0);
export const ofLive = (f: Fleet, role: string): string[] =>
  f.processes.filter((p) => p.role === role && p.host.alive).map((p) => p.name);
export const finish = (f: Fleet, figures: Record<string, number> = {}): Outcome => {
  const s = f.callers.summary;
  return {
    breaches: f.breaches(),
    hash: f.world.hash(),
    figures: {
      turns: s.turns,
      results: s.results,
      cut: s.cut,
      failed: s.failed,
      gave_up: s.gaveUp,
      rejected: Object.values(s.rejected).reduce((a, b) => a + b, 0),
      held: sum(f, 'held'),
      resumed: sum(f, 'resumed'),
      forced: sum(f, 'forced'),
      lost: sum(f, 'lost'),
      slowest_ms: duration.toMs(s.slowest),
      late_at_workers: silent(f.requestLog, s.silences, f.shape.firstToken).atWorkers,
      worst_line: Math.max(0, ...f.models.map((m) => m.peak().line)),
      ...figures,
    },
  };
};
/** One of the first workers that has not left yet; `follows`: another one comes in its place, else it is not the last
 * of its kind. */
export const oneToLeave = (f: Fleet, follows = false): Listed => {
  const here = f.layout.workers.filter((x) => !f.platform.leftAt.has(x.id));
  const able = here.filter((x) => follows || here.some((y) => y !== x && y.kind === x.kind));
  return able[f.world.rand.int(able.length)]!;
};
/** A worker leaves, marked or not, and another of its kind comes at an address of its own; the n-th to do so. */
export const replaceWorker = async (
  f: Fleet,
  old: Listed,
  n: number,
  how: 'leave' | 'drop' = 'leave',
): Promise<StandIn> => {
  const at = `127.77.${old.kind === 'model' ? 14 : 15}.${n + 1}:7300`;
  const next = { id: `${old.id}b`, at, kind: old.kind };
  f.platform[how](old.id);
  const s = await f.addWorker(next);
  f.platform.add(next);
  // The old one ends once it has had the time to finish.
  f.world.scheduleAt(f.world.now() + duration.s(5), () => {
    f.platform.drop(old.id);
    f.world.kill(f.hostOf(old.at.split(':')[0]!), 'process');
  });
  return s;
};
export const run = (f: Fleet, span: Microseconds): Promise<void> => f.world.run(f.world.now() + span);
export const patch =
  (classes: Record<string, Record<string, unknown>>) =>
  (c: Record<string, unknown>): Record<string, unknown> => {
    const all = c['classes'] as Record<string, Record<string, unknown>>;
    for (const [k, v] of Object.entries(classes))
      for (const [name, cls] of Object.entries(all))
        if (k === '*model' ? cls['kind'] === 'model' : k === name) Object.assign(cls, v);
    return c;
  };
const classOf = (f: Fleet, kind: 'model' | 'app'): string =>
  Object.entries(f.shape.config['classes'] as Record<string, { kind: string }>).find(([, c]) => c.kind === kind)![0];
/** One gateway serves again when a turn, its recall and a job all do. */
const servesAll = async (f: Fleet, name: string, n: number): Promise<boolean> => {
  const at = f.process(name).options['http'] as Address;
  const id = `probe-${name}-${n}`;
  const messages = [{ role: 'user', content: 'probe [last]' }];
  const ok = async (method: string, path: string, body?: unknown, headers?: Record<string, string>): Promise<boolean> =>
    (await f.http(at, method, path, body, headers)).status === 200;
  const turn = { 'x-thornsail-program': id, 'x-thornsail-class': classOf(f, 'model'), 'x-thornsail-conversation': id };
  try {
    const job = ok('POST', '/v1/jobs', { id }, { 'x-thornsail-class': classOf(f, 'app') });
    const chat = await ok('POST', '/v1/chat/completions', { messages, max_tokens: 8, stream: false }, turn);
    return chat && (await job) && (await ok('GET', `/v1/conversations/${id}`));
  } catch {
    return false;
  }
};
/** One push, at any node that is up, against the mark that is read there. */
const pushes = async (f: Fleet): Promise<boolean> => {
  const up = f.processes.filter((p) => p.host.alive && !p.host.frozen);
  const at = up[f.world.rand.int(up.length)]!.options['http'] as Address;
  try {
    const now = await f.http(at, 'GET', `${apiRoot}/config`);
    return (await f.push(now.body['raw'], Number(now.body['mark']), `back-${f.world.now()}`, at)).status === 200;
  } catch {
    return false;
  }
};
/** How long until every gateway that should serve does, and a configuration can be pushed at any node. */
export const serving = async (f: Fleet, limit: Microseconds): Promise<Microseconds> => {
  const begun = f.world.now();
  const up = f.processes.filter((p) => p.role === 'gateway' && p.host.alive && !p.host.frozen);
  const ok = new Set<string>();
  let pushed = false;
  for (let n = 0; (ok.size < up.length || !pushed) && f.world.now() - begun < limit; n++) {
    for (const p of up) if (!ok.has(p.name)) void servesAll(f, p.name, n).then((yes) => void (yes && ok.add(p.name)));
    if (!pushed) void pushes(f).then((yes) => void (pushed ||= yes));
    await run(f, duration.ms(250));
  }
  const not = [...up.filter((p) => !ok.has(p.name)).map((p) => p.name), ...(pushed ? [] : ['a push'])];
  if (not.length) f.breachesOfItsOwn.push(`not serving again within ${duration.toMs(limit)} ms: ${not.join(', ')}`);
  return f.world.now() - begun;
};
export const settleLoad = async (f: Fleet, l: { done: () => boolean }): Promise<void> => {
  await f.until('the load to end', l.done, duration.s(90));
};

export const pause = (f: Fleet, after: Microseconds): Promise<void> =>
  new Promise((fin) => {
    f.world.scheduleAt(f.world.now() + after, fin);
  });
