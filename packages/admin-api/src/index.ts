// signal: what operators ask of any node over HTTP (§7.3). Agreed results carry the mark they were read at;
// a node that cannot give the agreed result says so.
import { configSchema } from '@thornsail/config-schema';
import { tokenBudget, type BudgetRecord } from '@thornsail/token-budget';
import {
  fault,
  duration,
  type HttpRequest,
  type HttpHandler,
  type HttpResponseWriter,
  type Runtime,
  type Address,
} from '@thornsail/runtime';
import type { Registers } from '@thornsail/register-store';
import type { Membership } from '@thornsail/membership';
import type { Rpc } from '@thornsail/rpc';
import {
  nodeCodec,
  agreedState,
  roleCodec,
  type NodeRole,
  type AgreedState,
  type Push,
  type ReadResult,
} from '@thornsail/consensus';
import { fieldNames } from './field-names-codec.js';
import { control, drainState } from './control.js';

export type NewsResult = {
  workers: { id: string; at: Address; kind: string; leaving: boolean }[];
  loads: Record<string, unknown>;
  duties: Record<string, { by: string; mark: number }>;
};
export type SignalNode = {
  runtime: Runtime;
  rpc: Rpc;
  membership: Membership;
  registers: Registers;
  role: NodeRole;
  name: string;
  ready: () => { ok: boolean; why: string[] };
  counts: () => Record<string, number>;
  /** More metrics in the Prometheus text format, besides the counts. */
  metrics?: () => Promise<string>;
  drain: () => Promise<void>;
};
export { control, type Control, type DrainState } from './control.js';
export const root = '/thornsail/v1';

const json = (say: HttpResponseWriter, status: number, body: unknown, headers: Record<string, string> = {}): void => {
  say.writeHead(status, { 'content-type': 'application/json', ...headers });
  say.end(JSON.stringify(body));
};
const decoded = (path: string): string[] | undefined => {
  try {
    return path.split('/').map(decodeURIComponent);
  } catch {
    return undefined;
  }
};
const drainWords = {
  safe: 'safe to remove',
  waiting: 'waiting for its turn',
  copying: 'copying to the new group',
};
const metrics = (n: SignalNode): string => {
  const lines: string[] = [];
  const label = `{role="${n.role}",name="${n.name}"}`;
  for (const [k, v] of Object.entries({
    ...n.counts(),
    order_mark: n.membership.index(),
    ready: n.ready().ok ? 1 : 0,
  }).sort()) {
    const m = `thornsail_${k.replace(/[^a-zA-Z0-9]/g, '_')}`;
    lines.push(`# TYPE ${m} gauge`, `${m}${label} ${v}`);
  }
  return `${lines.join('\n')}\n`;
};

export const signal = {
  handler: (n: SignalNode): HttpHandler => {
    const ctl = control.open({ runtime: n.runtime, membership: n.membership });
    const read = (): Promise<{ index: number; value: ReadResult<NewsResult> }> =>
      ctl.read() as Promise<{ index: number; value: ReadResult<NewsResult> }>;
    /** What a change would do, without doing it (§7.2). */
    const plan = async (say: HttpResponseWriter, how: Push['how'], base: number, body: unknown): Promise<void> => {
      const {
        value: { state: s },
      } = await read();
      if (base !== s.config.mark)
        return json(say, 409, {
          error: 'collision',
          mark: s.config.mark,
          message: `the configuration is at mark ${s.config.mark}`,
        });
      const p = configSchema.plan(s.config.raw ?? {}, how, body);
      if (!p.ok) return json(say, 422, { error: 'invalid', mark: s.config.mark, problems: p.problems });
      return json(say, 200, { mark: s.config.mark, plan: p.steps });
    };
    const push = async (ask: HttpRequest, say: HttpResponseWriter): Promise<void> => {
      if (ask.bodyTooLarge) return json(say, 413, { error: 'too_large', field: 'body' });
      let body: unknown;
      try {
        body = JSON.parse(ask.body);
      } catch {
        return json(say, 400, { error: 'bad_json', field: 'body' });
      }
      const base = ask.headers['if-match']?.replace(/"/g, '');
      if (base === undefined || !/^\d{1,12}$/.test(base))
        return json(say, 428, {
          error: 'missing_field',
          field: 'if-match',
          message: 'the mark that the change is based on',
        });
      const id = ask.headers['push-id'] ?? n.runtime.rand.id();
      if (!/^[\x21-\x7e]{1,100}$/.test(id)) return json(say, 400, { error: 'bad_field', field: 'push-id' });
      const how: Push['how'] =
        ask.method === 'PUT'
          ? 'whole'
          : /^application\/json-patch\+json/.test(ask.headers['content-type'] ?? '')
            ? 'patch'
            : 'merge';
      if (ask.query['plan'] === 'true') return await plan(say, how, Number(base), body);
      if (how === 'whole') {
        // Said early where it can be; the coordinators judge all the same.
        const c = configSchema.check(body);
        if (!c.ok) return json(say, 422, { error: 'invalid', problems: c.problems });
      }
      const v = await ctl.push({ id, base: Number(base), how, body });
      if (v.ok)
        return json(say, 200, { mark: v.mark, push: id, repeated: v.repeated === true }, { etag: `"${v.mark}"` });
      if (v.why === 'unconfirmed') {
        const message = `taken as ${v.mark}, but not known to be in use at ${v.gateways.join(', ')}`;
        const body = { error: 'unconfirmed', mark: v.mark, push: id, fronts: v.gateways, message };
        return json(say, 503, body, { 'retry-after': '1' });
      }
      if (v.why === 'forgotten') {
        const message = `the base was replaced too long ago to say whether by this push; the mark is ${v.mark}`;
        return json(say, 503, { error: 'forgotten', mark: v.mark, push: id, message }, { 'retry-after': '1' });
      }
      if (v.why === 'collision')
        return json(say, 409, { error: 'collision', mark: v.mark, message: `the configuration is at mark ${v.mark}` });
      return json(say, 422, { error: 'invalid', mark: v.mark, problems: v.problems });
    };
    /** A page of keys as the stores list them, with how many hold the newest copy. */
    const keysAfter = async (
      s: AgreedState,
      after: string,
      limit: number,
    ): Promise<{ key: string; accepted: [number, string]; until: number; copies: number }[]> => {
      const group = { mark: s.storeGroup.mark, members: s.storeGroup.members };
      const pages = await Promise.all(
        group.members.map((k) =>
          n.rpc
            .request<{ ok: boolean; keys?: { key: string; accepted: [number, string]; until: number }[] }>(
              k.at,
              'reg.list',
              { to: k.id, group, after, limit },
              duration.ms(800),
            )
            .catch(() => undefined),
        ),
      );
      const good = pages.filter((p) => p?.ok);
      if (good.length <= group.members.length / 2)
        throw fault.make({ step: 'registers', code: 'no-majority' }, 'no majority of stores was reached');
      const byKey = new Map<string, { key: string; accepted: [number, string]; until: number; copies: number }>();
      for (const p of good)
        for (const k of p!.keys!) {
          const was = byKey.get(k.key);
          const newer = was
            ? k.accepted[0] - was.accepted[0] ||
              (k.accepted[1] < was.accepted[1] ? -1 : k.accepted[1] > was.accepted[1] ? 1 : 0)
            : 1;
          if (newer > 0) byKey.set(k.key, { ...k, copies: 1 });
          else if (newer === 0) was!.copies += 1;
        }
      return [...byKey.values()].sort((a, b) => (a.key < b.key ? -1 : 1)).slice(0, limit);
    };
    const programs = async (s: AgreedState, after: string, limit: number): Promise<unknown> => {
      const keys = (await keysAfter(s, after ? `program/${after}` : 'program/', limit))
        .map((k) => k.key)
        .filter((k) => k.startsWith('program/'));
      const rows = await Promise.all(
        keys.map(async (k) => ({
          program: k.slice(8),
          budgetRecord: (await n.registers.read(k, duration.s(1))) as BudgetRecord | undefined,
        })),
      );
      return rows
        .filter((r) => r.budgetRecord)
        .map((r) => ({
          program: r.program,
          budget: r.budgetRecord!.budget,
          spent: r.budgetRecord!.spent,
          left: tokenBudget.remainingTokens(r.budgetRecord!),
          turns: r.budgetRecord!.turns,
          lost: r.budgetRecord!.lost,
          tokens: r.budgetRecord!.tokens,
          worker: r.budgetRecord!.worker,
          open: tokenBudget.openTurns(r.budgetRecord!).map((o) => o.by),
        }));
    };
    const drain = async (ask: HttpRequest, say: HttpResponseWriter, target: string): Promise<void> => {
      const {
        value: { state: s },
      } = await read();
      const found = Object.values(s.nodes).filter(
        (x) => x.status !== 'dead' && (x.name === target || x.id === target || x.place === target),
      );
      if (found.length !== 1)
        return json(say, found.length ? 409 : 404, {
          error: found.length ? 'ambiguous' : 'no_such_node',
          message: found.length ? `${found.length} nodes go by ${target}` : `there is no node ${target}`,
        });
      const node = found[0]!;
      const on = ask.method !== 'DELETE';
      if (node.role === 'store') {
        if (ask.method !== 'GET') {
          const { value: taken } = await n.membership.core.request({ type: 'drain', id: node.id, on }, duration.s(4));
          if (!taken) return json(say, 409, { error: 'too_few', message: 'too few stores would be left' });
        }
        const { state: now, repaired } = (await read()).value;
        const k = now.storeGroup;
        const how = drainState(now, node, repaired);
        const safe = how === 'safe';
        const progress = { ...drainWords, unknown: '', 'too-few': '', 'not draining': 'not draining' }[how];
        return json(say, 200, {
          node: node.name,
          id: node.id,
          state: progress,
          safe,
          members: k.members.length,
          mark: k.mark,
          swept: k.swept,
        });
      }
      if (!on) return json(say, 400, { error: 'bad_method', message: "only a store's drain can be taken back" });
      if (node.role === 'coordinator')
        return json(say, 400, {
          error: 'bad_role',
          message: 'coordinators are replaced, not drained: stop one and start another',
        });
      if (ask.method !== 'GET') await n.rpc.request(node.place, 'node.drain', { to: node.id }, duration.s(2));
      return json(say, 200, { node: node.name, id: node.id, state: 'leaving', safe: false });
    };
    const agreed = async (say: HttpResponseWriter, what: string, ask: HttpRequest): Promise<void> => {
      const { index: seq, value } = await read();
      const s = value.state;
      /** Callers know roles by their encoded names; so does the order of the rows. */
      const nodes = (): unknown =>
        Object.values(s.nodes)
          .map(nodeCodec.encode)
          .sort((a, b) => (a.role + a.name < b.role + b.name ? -1 : 1));
      switch (what) {
        case 'config': {
          const mark = ask.query['mark'];
          if (mark === undefined)
            return json(
              say,
              200,
              { mark: s.config.mark, config: s.config.value, raw: s.config.raw },
              { etag: `"${s.config.mark}"` },
            );
          const past = s.config.history.find((x) => String(x.mark) === mark);
          return past
            ? json(say, 200, { mark: past.mark, raw: past.raw, now: s.config.mark })
            : json(say, 404, { error: 'no_such_mark', message: `no configuration with mark ${mark} is kept` });
        }
        case 'history':
          return json(say, 200, {
            mark: s.config.mark,
            history: s.config.history.map((x) => ({
              mark: x.mark,
              pushed: new Date(x.at / 1000).toISOString(),
              push: x.push,
              bytes: JSON.stringify(x.raw).length,
            })),
          });
        case 'classes':
          return json(say, 200, { mark: s.config.mark, classes: s.config.value?.classes ?? {} });
        case 'nodes':
          return json(say, 200, { mark: seq, nodes: nodes() });
        case 'workers':
          return json(say, 200, { mark: seq, workers: value.news?.workers ?? [] });
        case 'duties':
          return json(say, 200, { mark: seq, duties: value.news?.duties ?? {} });
        case 'loads':
          return json(say, 200, { mark: seq, loads: value.news?.loads ?? {} });
        case 'marks':
          return json(say, 200, {
            mark: seq,
            view: value.term,
            order: seq,
            config: s.config.mark,
            [fieldNames.stores]: s.storeGroup.mark,
            swept: s.storeGroup.swept,
          });
        case fieldNames.stores:
          return json(say, 200, { ...s.storeGroup, group: s.storeGroup.mark, mark: seq });
        case 'programs': {
          const limit = Math.min(500, Math.max(1, Number(ask.query['limit'] ?? 100) || 100));
          return json(say, 200, { mark: seq, programs: await programs(s, ask.query['after'] ?? '', limit) });
        }
        case 'registers': {
          const limit = Math.min(500, Math.max(1, Number(ask.query['limit'] ?? 200) || 200));
          const rows = await keysAfter(s, ask.query['after'] ?? '', limit);
          return json(say, 200, {
            mark: seq,
            registers: rows.map((r) => ({
              key: r.key,
              kind: r.key.split('/')[0],
              ballot: r.accepted.join('.'),
              copies: r.copies,
              members: s.storeGroup.members.length,
              until: r.until,
            })),
          });
        }
        case 'status': {
          const live = agreedState.liveNodes(s);
          return json(say, 200, {
            mark: seq,
            view: value.term,
            [fieldNames.coordinators]: value.members.length,
            config: s.config.mark,
            [fieldNames.stores]: {
              mark: s.storeGroup.mark,
              members: s.storeGroup.members.length,
              swept: s.storeGroup.swept === s.storeGroup.mark,
              draining: s.storeGroup.draining.length,
            },
            nodes: Object.fromEntries(
              roleCodec.roles.map((role) => [roleCodec.encode(role), live.filter((x) => x.role === role).length]),
            ),
            dead: Object.values(s.nodes).length - live.length,
            workers: (value.news?.workers ?? []).length,
            leaving: (value.news?.workers ?? []).filter((w) => w.leaving).length,
          });
        }
        default:
          return json(say, 404, { error: 'no_such_path', message: `nothing is served at ${ask.path}` });
      }
    };
    return async (ask, say) => {
      try {
        if (ask.path === '/ready' && ask.method === 'GET') {
          const r = n.ready();
          return json(say, r.ok ? 200 : 503, { ready: r.ok, why: r.why }, r.ok ? {} : { 'retry-after': '1' });
        }
        if (ask.path === '/metrics' && ask.method === 'GET') {
          const text = `${metrics(n)}${(await n.metrics?.()) ?? ''}`;
          say.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
          say.end(text);
          return;
        }
        if (!ask.path.startsWith(`${root}/`))
          return json(say, 404, { error: 'no_such_path', message: `nothing is served at ${ask.path}` });
        const words = decoded(ask.path.slice(root.length + 1));
        if (!words) return json(say, 400, { error: 'bad_field', field: 'path' });
        const [what = '', target = ''] = words;
        if (what === 'config' && (ask.method === 'PUT' || ask.method === 'PATCH')) return await push(ask, say);
        if (what === 'drain' && target && ['POST', 'DELETE', 'GET'].includes(ask.method))
          return await drain(ask, say, target);
        if (what === 'node' && ask.method === 'GET')
          return json(say, 200, {
            id: n.membership.id,
            name: n.name,
            role: roleCodec.encode(n.role),
            place: n.rpc.address,
            mark: n.membership.index(),
            inRoster: n.membership.isMember(),
            stale: n.membership.stale(),
            counts: n.counts(),
          });
        if (ask.method !== 'GET') return json(say, 405, { error: 'bad_method' });
        return await agreed(say, what, ask);
      } catch (e) {
        if (say.isClosed()) return;
        json(
          say,
          503,
          { error: 'not_agreed', message: fault.text(e), ran: ask.method === 'GET' ? 'no' : 'unknown' },
          { 'retry-after': '1' },
        );
      }
    };
  },
};
