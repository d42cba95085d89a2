// Operator commands (§7.3): thin callers of any node's HTTP.
import { fault, time, duration, readText, type HttpClientRequest, type Runtime } from '@thornsail/runtime';
import { queryShell } from '@thornsail/query-shell';
import { root } from '@thornsail/admin-api';
import { decodeReply } from './decode-reply.js';
import { patience, survey } from './survey.js';

type Reply = { status: number; body: Record<string, unknown> };
export type Operator = {
  show: (at: string, what: string, json: boolean) => Promise<number>;
  push: (
    at: string,
    how: 'PUT' | 'PATCH',
    body: string,
    base: string | undefined,
    id: string | undefined,
    json: boolean,
  ) => Promise<number>;
  check: (at: string, json: boolean) => Promise<number>;
  revert: (at: string, to: string, json: boolean) => Promise<number>;
  plan: (at: string, body: string, json: boolean) => Promise<number>;
  jsonPatch: (
    at: string,
    body: string,
    base: string | undefined,
    id: string | undefined,
    json: boolean,
  ) => Promise<number>;
  query: (at: string, text: string, json: boolean) => Promise<number>;
  drain: (at: string, node: string, cancel: boolean, wait: boolean, json: boolean) => Promise<number>;
};

/** A value as text: strings as they are, everything else as JSON. */
const textOf = (value: unknown): string => (typeof value === 'string' ? value : (JSON.stringify(value) ?? ''));

export const table = (rows: Record<string, unknown>[]): string => {
  if (rows.length === 0) return '(none)';
  const cols = [...new Set(rows.flatMap((r) => Object.keys(r)))];
  const cell = (v: unknown): string => (v === null || v === undefined ? '-' : textOf(v));
  const width = cols.map((c) => Math.max(c.length, ...rows.map((r) => cell(r[c]).length)));
  const line = (f: (c: string) => string): string =>
    cols
      .map((c, i) => f(c).padEnd(width[i]!))
      .join('  ')
      .trimEnd();
  return [line((c) => c), ...rows.map((r) => line((c) => cell(r[c])))].join('\n');
};
export const codeOf = (status: number): number =>
  status >= 200 && status < 300
    ? 0
    : status === 409
      ? 3
      : status === 503
        ? 4
        : status === 400 || status === 422 || status === 428
          ? 2
          : 1;

export const operator = {
  open: (o: { runtime: Runtime; out: (t: string) => void; err: (t: string) => void }): Operator => {
    const { runtime, out, err } = o;
    const call = async (
      c: Omit<HttpClientRequest, 'headersTimeout'>,
      headersTimeout = duration.s(8),
    ): Promise<Reply> => {
      const r = await runtime.net.request({ ...c, headersTimeout });
      const text = await readText(r.body);
      try {
        return { status: r.status, body: JSON.parse(text) as Record<string, unknown> };
      } catch {
        return { status: r.status, body: { error: 'unreadable', message: text.slice(0, 200) } };
      }
    };
    const safely = async (fn: () => Promise<number>): Promise<number> => {
      try {
        return await fn();
      } catch (e) {
        err(fault.text(e));
        return 1;
      }
    };
    const failed = (r: Reply, json: boolean): number => {
      if (json) out(JSON.stringify(r.body));
      err(`${textOf(r.body['error'] ?? r.status)}${r.body['message'] ? `: ${textOf(r.body['message'])}` : ''}`);
      for (const p of (r.body['problems'] as { path: string; text: string }[] | undefined) ?? [])
        err(`${p.path}: ${p.text}`);
      return codeOf(r.status);
    };
    const rows = (what: string, b: Record<string, unknown>): string => {
      const v = b[what];
      if (what === 'config') return JSON.stringify(b['config'], null, 2);
      if (Array.isArray(v))
        return table(
          (v as Record<string, unknown>[]).map(({ since, ...r }) => {
            void since;
            return r;
          }),
        );
      if (typeof v === 'object' && v !== null)
        return table(Object.entries(v).map(([name, x]) => ({ name, ...(x as object) })));
      return Object.entries(b)
        .filter(([k]) => k !== 'mark')
        .map(
          ([k, x]) =>
            `${k}: ${
              typeof x === 'object'
                ? Object.entries(x as object)
                    .map(([a, y]) => `${a} ${String(y)}`)
                    .join(', ')
                : textOf(x)
            }`,
        )
        .join('\n');
    };
    const send = async (
      at: string,
      method: string,
      type: string,
      body: string,
      mark: string,
      id: string | undefined,
      json: boolean,
    ): Promise<number> => {
      const push = id ?? runtime.rand.id();
      const r = await call({
        at,
        method,
        path: `${root}/config`,
        body,
        headers: { 'content-type': type, 'if-match': mark, 'push-id': push },
      });
      if (r.status !== 200) {
        if (r.status === 503) err(`repeat, with one effect in all: --base ${mark} --push-id ${push}`);
        return failed(r, json);
      }
      out(json ? JSON.stringify(r.body) : `configuration is at mark ${String(r.body['mark'])}`);
      return 0;
    };
    const planned = async (at: string, body: string, base: string | undefined): Promise<Reply> => {
      let mark = base;
      if (mark === undefined) {
        const now = await call({ at, method: 'GET', path: `${root}/config` });
        if (now.status !== 200) return now;
        mark = String(now.body['mark']);
      }
      return call({
        at,
        method: 'PATCH',
        path: `${root}/config?plan=true`,
        body,
        headers: { 'content-type': 'application/json-patch+json', 'if-match': mark },
      });
    };
    const planText = (b: Record<string, unknown>): string => {
      const steps = b['plan'] as { op: string; path: string; before?: unknown; after?: unknown }[];
      const val = (v: unknown): string => (v === undefined ? '' : JSON.stringify(v));
      return steps.length === 0
        ? 'nothing would change'
        : steps
            .map((x) =>
              [
                `${x.op} ${x.path}`,
                x.before === undefined ? '' : ` from ${val(x.before)}`,
                x.after === undefined ? '' : ` to ${val(x.after)}`,
              ].join(''),
            )
            .join('\n');
    };
    return {
      show: (at, what, json) =>
        safely(async () => {
          const r = await call({ at, method: 'GET', path: `${root}/${what}` });
          if (r.status !== 200) return failed(r, json);
          out(
            json
              ? JSON.stringify(r.body)
              : `${rows(what, decodeReply(what, r.body))}\n(read at mark ${String(r.body['mark'])})`,
          );
          return 0;
        }),
      check: (at, json) =>
        safely(async () => {
          const get = async (to: string, path: string): Promise<Reply | undefined> => {
            try {
              return await call({ at: to, method: 'GET', path }, patience);
            } catch {
              return undefined;
            }
          };
          const r = await survey.run(get, at);
          if (!r.ok) {
            err(r.text);
            return 4;
          }
          const bad = r.findings.filter((f) => f.severity === 'bad').length;
          if (json) out(JSON.stringify(r));
          else {
            for (const f of r.findings) out(`${f.severity}: ${f.about} ${f.text}`);
            out(`${r.nodes} nodes looked at, ${bad} bad, ${r.findings.length - bad} notes (read at mark ${r.mark})`);
          }
          return bad ? 1 : 0;
        }),
      revert: (at, to, json) =>
        safely(async () => {
          const past = await call({ at, method: 'GET', path: `${root}/config?mark=${to}` });
          if (past.status !== 200) return failed(past, json);
          // Against the mark that was read together with it: whoever pushed since then is not overwritten.
          return send(
            at,
            'PUT',
            'application/json',
            JSON.stringify(past.body['raw']),
            String(past.body['now']),
            undefined,
            json,
          );
        }),
      plan: (at, body, json) =>
        safely(async () => {
          const r = await planned(at, body, undefined);
          if (r.status !== 200) return failed(r, json);
          out(json ? JSON.stringify(r.body) : planText(r.body));
          return 0;
        }),
      jsonPatch: (at, body, base, id, json) =>
        safely(async () => {
          const p = await planned(at, body, base);
          if (p.status !== 200) return failed(p, json);
          if (!json) out(planText(p.body));
          // The change goes against the mark that its plan was made on: if it moved meanwhile, nothing is applied.
          return send(at, 'PATCH', 'application/json-patch+json', body, String(p.body['mark']), id, json);
        }),
      query: (at, text, json) =>
        safely(async () => {
          const p = queryShell.parse(text);
          if (!p.ok) {
            err(p.text);
            return 2;
          }
          const table_ = p.query.table;
          let rowsAll: Record<string, unknown>[] = [];
          let mark = '';
          const key = table_ === 'programs' ? 'program' : table_ === 'registers' ? 'key' : null;
          for (let after = ''; ;) {
            const r = await call({
              at,
              method: 'GET',
              path: `${root}/${table_}${key ? `?limit=200&after=${encodeURIComponent(after)}` : ''}`,
            });
            if (r.status !== 200) return failed(r, json);
            const page = queryShell.rows(table_, decodeReply(table_, r.body));
            rowsAll = [...rowsAll, ...page];
            mark = String(r.body['mark']);
            const last = page[page.length - 1]?.[key ?? ''];
            if (!key || page.length < 200 || typeof last !== 'string') break;
            after = last;
          }
          const got = queryShell.run(p.query, rowsAll);
          out(
            json
              ? JSON.stringify({ mark: Number(mark), rows: got })
              : `${table(got)}\n(${got.length} of ${rowsAll.length}, read at mark ${mark})`,
          );
          return 0;
        }),
      push: (at, how, body, base, id, json) =>
        safely(async () => {
          let mark = base;
          if (mark === undefined) {
            const now = await call({ at, method: 'GET', path: `${root}/config` });
            if (now.status !== 200) return failed(now, json);
            mark = String(now.body['mark']);
          }
          return send(
            at,
            how,
            how === 'PUT' ? 'application/json' : 'application/merge-patch+json',
            body,
            mark,
            id,
            json,
          );
        }),
      drain: (at, node, cancel, wait, json) =>
        safely(async () => {
          let method = cancel ? 'DELETE' : 'POST';
          for (;;) {
            const r = await call({ at, method, path: `${root}/drain/${encodeURIComponent(node)}` });
            if (r.status !== 200) return failed(r, json);
            const done = r.body['safe'] === true || !wait || cancel;
            out(
              json
                ? JSON.stringify(r.body)
                : [
                    `${String(r.body['node'])}: ${String(r.body['state'])}`,
                    ...(r.body['mark'] === undefined
                      ? []
                      : [`(group mark ${textOf(r.body['mark'])}, swept ${textOf(r.body['swept'])})`]),
                  ].join(' '),
            );
            if (done) return 0;
            method = 'GET';
            await time.sleep(runtime.clock, duration.s(1));
          }
        }),
    };
  },
};
