/**
 * The HTTP admin API, the same on every node (§7.3). Results from the agreed state carry the version (`mark`) that they
 * were read at; a node that can't reach a majority of the coordinators answers 503 `not_agreed`.
 */
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

/** State that the leading coordinator adds from dissemination and leases; loads by gateway, duties by name. */
export type DisseminatedState = {
  workers: { id: string; at: Address; kind: string; leaving: boolean }[];
  loads: Record<string, unknown>;
  duties: Record<string, { by: string; mark: number }>;
};
/** What the admin API needs of the node that serves it. */
export type AdminApiNode = {
  runtime: Runtime;
  rpc: Rpc;
  membership: Membership;
  registers: Registers;
  role: NodeRole;
  name: string;
  ready: () => { ok: boolean; why: string[] };
  counts: () => Record<string, number>;
  /** Further metrics in the Prometheus text format, appended to the counts. */
  metrics?: () => Promise<string>;
  drain: () => Promise<void>;
};
export { control, type Control, type DrainState } from './control.js';
/** Prefix of all paths of the admin API. */
export const apiRoot = '/thornsail/v1';

const sendJson = (
  response: HttpResponseWriter,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void => {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(JSON.stringify(body));
};
const decodePath = (path: string): string[] | undefined => {
  try {
    return path.split('/').map(decodeURIComponent);
  } catch {
    return undefined;
  }
};
/** Texts of the drain states in the API. */
const drainTexts = {
  safe: 'safe to remove',
  waiting: 'waiting for its turn',
  copying: 'copying to the new group',
};
/** The counts of the node as Prometheus gauges. */
const countMetrics = (self: AdminApiNode): string => {
  const lines: string[] = [];
  const label = `{role="${self.role}",name="${self.name}"}`;
  for (const [name, value] of Object.entries({
    ...self.counts(),
    order_mark: self.membership.index(),
    ready: self.ready().ok ? 1 : 0,
  }).sort()) {
    const metric = `thornsail_${name.replace(/[^a-zA-Z0-9]/g, '_')}`;
    lines.push(`# TYPE ${metric} gauge`, `${metric}${label} ${value}`);
  }
  return `${lines.join('\n')}\n`;
};

/** Creates the HTTP handler of the admin API. */
export const adminApi = {
  handler: (self: AdminApiNode): HttpHandler => {
    const actions = control.open({ runtime: self.runtime, membership: self.membership });
    const read = (): Promise<{ index: number; value: ReadResult<DisseminatedState> }> =>
      actions.read() as Promise<{ index: number; value: ReadResult<DisseminatedState> }>;
    /** Answers with the steps of a configuration change without applying it (§7.2). */
    const plan = async (
      response: HttpResponseWriter,
      method: Push['how'],
      base: number,
      body: unknown,
    ): Promise<void> => {
      const {
        value: { state: current },
      } = await read();
      if (base !== current.config.mark)
        return sendJson(response, 409, {
          error: 'collision',
          mark: current.config.mark,
          message: `the configuration is at mark ${current.config.mark}`,
        });
      const planned = configSchema.plan(current.config.raw ?? {}, method, body);
      if (!planned.ok)
        return sendJson(response, 422, { error: 'invalid', mark: current.config.mark, problems: planned.problems });
      return sendJson(response, 200, { mark: current.config.mark, plan: planned.steps });
    };
    const push = async (request: HttpRequest, response: HttpResponseWriter): Promise<void> => {
      if (request.bodyTooLarge) return sendJson(response, 413, { error: 'too_large', field: 'body' });
      let body: unknown;
      try {
        body = JSON.parse(request.body);
      } catch {
        return sendJson(response, 400, { error: 'bad_json', field: 'body' });
      }
      const base = request.headers['if-match']?.replace(/"/g, '');
      if (base === undefined || !/^\d{1,12}$/.test(base))
        return sendJson(response, 428, {
          error: 'missing_field',
          field: 'if-match',
          message: 'the mark that the change is based on',
        });
      const id = request.headers['push-id'] ?? self.runtime.rand.id();
      if (!/^[\x21-\x7e]{1,100}$/.test(id)) return sendJson(response, 400, { error: 'bad_field', field: 'push-id' });
      const method: Push['how'] =
        request.method === 'PUT'
          ? 'whole'
          : /^application\/json-patch\+json/.test(request.headers['content-type'] ?? '')
            ? 'patch'
            : 'merge';
      if (request.query['plan'] === 'true') return await plan(response, method, Number(base), body);
      if (method === 'whole') {
        // Rejects an invalid configuration early; the coordinators check it as well.
        const checked = configSchema.check(body);
        if (!checked.ok) return sendJson(response, 422, { error: 'invalid', problems: checked.problems });
      }
      const result = await actions.push({ id, base: Number(base), how: method, body });
      if (result.ok)
        return sendJson(
          response,
          200,
          { mark: result.mark, push: id, repeated: result.repeated === true },
          { etag: `"${result.mark}"` },
        );
      if (result.why === 'unconfirmed') {
        const message = `taken as ${result.mark}, but not known to be in use at ${result.gateways.join(', ')}`;
        const body = { error: 'unconfirmed', mark: result.mark, push: id, fronts: result.gateways, message };
        return sendJson(response, 503, body, { 'retry-after': '1' });
      }
      if (result.why === 'forgotten') {
        const message = `the base was replaced too long ago to say whether by this push; the mark is ${result.mark}`;
        return sendJson(
          response,
          503,
          { error: 'forgotten', mark: result.mark, push: id, message },
          { 'retry-after': '1' },
        );
      }
      if (result.why === 'collision')
        return sendJson(response, 409, {
          error: 'collision',
          mark: result.mark,
          message: `the configuration is at mark ${result.mark}`,
        });
      return sendJson(response, 422, { error: 'invalid', mark: result.mark, problems: result.problems });
    };
    /**
     * Reads a page of register keys from the stores, each with its newest ballot and the number of stores that hold
     * that version. Throws a fault with code `no-majority` unless a majority of the group answers.
     */
    const keysAfter = async (
      state: AgreedState,
      after: string,
      limit: number,
    ): Promise<{ key: string; accepted: [number, string]; until: number; copies: number }[]> => {
      const group = { mark: state.storeGroup.mark, members: state.storeGroup.members };
      const pages = await Promise.all(
        group.members.map((member) =>
          self.rpc
            .request<{ ok: boolean; keys?: { key: string; accepted: [number, string]; until: number }[] }>(
              member.at,
              'reg.list',
              { to: member.id, group, after, limit },
              duration.ms(800),
            )
            .catch(() => undefined),
        ),
      );
      const answered = pages.filter((page) => page?.ok);
      if (answered.length <= group.members.length / 2)
        throw fault.make({ step: 'registers', code: 'no-majority' }, 'no majority of stores was reached');
      const byKey = new Map<string, { key: string; accepted: [number, string]; until: number; copies: number }>();
      for (const page of answered)
        for (const listed of page!.keys!) {
          const known = byKey.get(listed.key);
          const comparison = known
            ? listed.accepted[0] - known.accepted[0] ||
              (listed.accepted[1] < known.accepted[1] ? -1 : listed.accepted[1] > known.accepted[1] ? 1 : 0)
            : 1;
          if (comparison > 0) byKey.set(listed.key, { ...listed, copies: 1 });
          else if (comparison === 0) known!.copies += 1;
        }
      return [...byKey.values()].sort((a, b) => (a.key < b.key ? -1 : 1)).slice(0, limit);
    };
    /** A page of programs with their token budgets. */
    const programs = async (state: AgreedState, after: string, limit: number): Promise<unknown> => {
      const keys = (await keysAfter(state, after ? `program/${after}` : 'program/', limit))
        .map((listed) => listed.key)
        .filter((key) => key.startsWith('program/'));
      const rows = await Promise.all(
        keys.map(async (key) => ({
          program: key.slice(8),
          budgetRecord: (await self.registers.read(key, duration.s(1))) as BudgetRecord | undefined,
        })),
      );
      return rows
        .filter((row) => row.budgetRecord)
        .map((row) => ({
          program: row.program,
          budget: row.budgetRecord!.budget,
          spent: row.budgetRecord!.spent,
          left: tokenBudget.remainingTokens(row.budgetRecord!),
          turns: row.budgetRecord!.turns,
          lost: row.budgetRecord!.lost,
          tokens: row.budgetRecord!.tokens,
          worker: row.budgetRecord!.worker,
          open: tokenBudget.openTurns(row.budgetRecord!).map((turn) => turn.by),
        }));
    };
    /** Starts, reports (GET) or cancels (DELETE) the drain of a node. */
    const drain = async (request: HttpRequest, response: HttpResponseWriter, target: string): Promise<void> => {
      const {
        value: { state: current },
      } = await read();
      const found = Object.values(current.nodes).filter(
        (entry) => entry.status !== 'dead' && (entry.name === target || entry.id === target || entry.place === target),
      );
      if (found.length !== 1)
        return sendJson(response, found.length ? 409 : 404, {
          error: found.length ? 'ambiguous' : 'no_such_node',
          message: found.length ? `${found.length} nodes go by ${target}` : `there is no node ${target}`,
        });
      const node = found[0]!;
      const on = request.method !== 'DELETE';
      if (node.role === 'store') {
        if (request.method !== 'GET') {
          const { value: accepted } = await self.membership.core.request(
            { type: 'drain', id: node.id, on },
            duration.s(4),
          );
          if (!accepted) return sendJson(response, 409, { error: 'too_few', message: 'too few stores would be left' });
        }
        const { state: now, repaired } = (await read()).value;
        const group = now.storeGroup;
        const progress = drainState(now, node, repaired);
        const safe = progress === 'safe';
        const text = { ...drainTexts, unknown: '', 'too-few': '', 'not draining': 'not draining' }[progress];
        return sendJson(response, 200, {
          node: node.name,
          id: node.id,
          state: text,
          safe,
          members: group.members.length,
          mark: group.mark,
          swept: group.swept,
        });
      }
      if (!on)
        return sendJson(response, 400, { error: 'bad_method', message: "only a store's drain can be taken back" });
      if (node.role === 'coordinator')
        return sendJson(response, 400, {
          error: 'bad_role',
          message: 'coordinators are replaced, not drained: stop one and start another',
        });
      if (request.method !== 'GET') await self.rpc.request(node.place, 'node.drain', { to: node.id }, duration.s(2));
      return sendJson(response, 200, { node: node.name, id: node.id, state: 'leaving', safe: false });
    };
    /** Answers a GET of the agreed state. */
    const agreed = async (response: HttpResponseWriter, what: string, request: HttpRequest): Promise<void> => {
      const { index: version, value } = await read();
      const state = value.state;
      /** Rows with the encoded role names, in the order of these names. */
      const nodes = (): unknown =>
        Object.values(state.nodes)
          .map(nodeCodec.encode)
          .sort((a, b) => (a.role + a.name < b.role + b.name ? -1 : 1));
      switch (what) {
        case 'config': {
          const mark = request.query['mark'];
          if (mark === undefined)
            return sendJson(
              response,
              200,
              { mark: state.config.mark, config: state.config.value, raw: state.config.raw },
              { etag: `"${state.config.mark}"` },
            );
          const past = state.config.history.find((entry) => String(entry.mark) === mark);
          return past
            ? sendJson(response, 200, { mark: past.mark, raw: past.raw, now: state.config.mark })
            : sendJson(response, 404, { error: 'no_such_mark', message: `no configuration with mark ${mark} is kept` });
        }
        case 'history':
          return sendJson(response, 200, {
            mark: state.config.mark,
            history: state.config.history.map((past) => ({
              mark: past.mark,
              pushed: new Date(past.at / 1000).toISOString(),
              push: past.push,
              bytes: JSON.stringify(past.raw).length,
            })),
          });
        case 'classes':
          return sendJson(response, 200, { mark: state.config.mark, classes: state.config.value?.classes ?? {} });
        case 'nodes':
          return sendJson(response, 200, { mark: version, nodes: nodes() });
        case 'workers':
          return sendJson(response, 200, { mark: version, workers: value.news?.workers ?? [] });
        case 'duties':
          return sendJson(response, 200, { mark: version, duties: value.news?.duties ?? {} });
        case 'loads':
          return sendJson(response, 200, { mark: version, loads: value.news?.loads ?? {} });
        case 'marks':
          return sendJson(response, 200, {
            mark: version,
            view: value.term,
            order: version,
            config: state.config.mark,
            [fieldNames.stores]: state.storeGroup.mark,
            swept: state.storeGroup.swept,
          });
        case fieldNames.stores:
          return sendJson(response, 200, { ...state.storeGroup, group: state.storeGroup.mark, mark: version });
        case 'programs': {
          const limit = Math.min(500, Math.max(1, Number(request.query['limit'] ?? 100) || 100));
          return sendJson(response, 200, {
            mark: version,
            programs: await programs(state, request.query['after'] ?? '', limit),
          });
        }
        case 'registers': {
          const limit = Math.min(500, Math.max(1, Number(request.query['limit'] ?? 200) || 200));
          const rows = await keysAfter(state, request.query['after'] ?? '', limit);
          return sendJson(response, 200, {
            mark: version,
            registers: rows.map((row) => ({
              key: row.key,
              kind: row.key.split('/')[0],
              ballot: row.accepted.join('.'),
              copies: row.copies,
              members: state.storeGroup.members.length,
              until: row.until,
            })),
          });
        }
        case 'status': {
          const live = agreedState.liveNodes(state);
          return sendJson(response, 200, {
            mark: version,
            view: value.term,
            [fieldNames.coordinators]: value.members.length,
            config: state.config.mark,
            [fieldNames.stores]: {
              mark: state.storeGroup.mark,
              members: state.storeGroup.members.length,
              swept: state.storeGroup.swept === state.storeGroup.mark,
              draining: state.storeGroup.draining.length,
            },
            nodes: Object.fromEntries(
              roleCodec.roles.map((role) => [roleCodec.encode(role), live.filter((node) => node.role === role).length]),
            ),
            dead: Object.values(state.nodes).length - live.length,
            workers: (value.news?.workers ?? []).length,
            leaving: (value.news?.workers ?? []).filter((worker) => worker.leaving).length,
          });
        }
        default:
          return sendJson(response, 404, { error: 'no_such_path', message: `nothing is served at ${request.path}` });
      }
    };
    return async (request, response) => {
      try {
        if (request.path === '/ready' && request.method === 'GET') {
          const readiness = self.ready();
          return sendJson(
            response,
            readiness.ok ? 200 : 503,
            { ready: readiness.ok, why: readiness.why },
            readiness.ok ? {} : { 'retry-after': '1' },
          );
        }
        if (request.path === '/metrics' && request.method === 'GET') {
          const text = `${countMetrics(self)}${(await self.metrics?.()) ?? ''}`;
          response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
          response.end(text);
          return;
        }
        if (!request.path.startsWith(`${apiRoot}/`))
          return sendJson(response, 404, { error: 'no_such_path', message: `nothing is served at ${request.path}` });
        const segments = decodePath(request.path.slice(apiRoot.length + 1));
        if (!segments) return sendJson(response, 400, { error: 'bad_field', field: 'path' });
        const [what = '', target = ''] = segments;
        if (what === 'config' && (request.method === 'PUT' || request.method === 'PATCH'))
          return await push(request, response);
        if (what === 'drain' && target && ['POST', 'DELETE', 'GET'].includes(request.method))
          return await drain(request, response, target);
        if (what === 'node' && request.method === 'GET')
          return sendJson(response, 200, {
            id: self.membership.id,
            name: self.name,
            role: roleCodec.encode(self.role),
            place: self.rpc.address,
            mark: self.membership.index(),
            inRoster: self.membership.isMember(),
            stale: self.membership.stale(),
            counts: self.counts(),
          });
        if (request.method !== 'GET') return sendJson(response, 405, { error: 'bad_method' });
        return await agreed(response, what, request);
      } catch (error) {
        if (response.isClosed()) return;
        sendJson(
          response,
          503,
          { error: 'not_agreed', message: fault.text(error), ran: request.method === 'GET' ? 'no' : 'unknown' },
          { 'retry-after': '1' },
        );
      }
    };
  },
};
