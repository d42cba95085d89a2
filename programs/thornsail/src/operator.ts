/** The operator commands of the command line (§7.4): clients of the HTTP admin API of any node (§7.3). */
import { fault, time, duration, readText, type HttpClientRequest, type Runtime } from '@thornsail/runtime';
import { queryShell } from '@thornsail/query-shell';
import { apiRoot } from '@thornsail/admin-api';
import { decodeReply } from './decode-reply.js';
import { requestTimeout, survey } from './survey.js';

type Reply = { status: number; body: Record<string, unknown> };
/**
 * The operator commands. `at` is the HTTP address of any node; with `json` the body of the reply is printed as it is.
 * Each command resolves to its exit code and never rejects.
 */
export type Operator = {
  /** Prints what the API serves at a path. */
  show: (at: string, what: string, json: boolean) => Promise<number>;
  /** Changes the configuration; `base` defaults to its current version, and `id` makes repetitions idempotent. */
  push: (
    at: string,
    how: 'PUT' | 'PATCH',
    body: string,
    base: string | undefined,
    id: string | undefined,
    json: boolean,
  ) => Promise<number>;
  /** Examines the cluster and prints what needs attention. */
  check: (at: string, json: boolean) => Promise<number>;
  /** Pushes an earlier version of the configuration as a new one. */
  revert: (at: string, to: string, json: boolean) => Promise<number>;
  /** Prints the steps of a JSON Patch without applying it. */
  plan: (at: string, body: string, json: boolean) => Promise<number>;
  /** Prints the steps of a JSON Patch, and applies it. */
  jsonPatch: (
    at: string,
    body: string,
    base: string | undefined,
    id: string | undefined,
    json: boolean,
  ) => Promise<number>;
  /** Runs a query of the query shell. */
  query: (at: string, text: string, json: boolean) => Promise<number>;
  /** Starts or cancels the drain of a node; `wait` polls until the node is safe to remove. */
  drain: (at: string, node: string, cancel: boolean, wait: boolean, json: boolean) => Promise<number>;
};

/** A value as text: strings as they are, other values as JSON. */
const textOf = (value: unknown): string => (typeof value === 'string' ? value : (JSON.stringify(value) ?? ''));

/** Rows as an aligned text table with a header. */
export const table = (rows: Record<string, unknown>[]): string => {
  if (rows.length === 0) return '(none)';
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cell = (value: unknown): string => (value === null || value === undefined ? '-' : textOf(value));
  const widths = columns.map((column) => Math.max(column.length, ...rows.map((row) => cell(row[column]).length)));
  const line = (textIn: (column: string) => string): string =>
    columns
      .map((column, i) => textIn(column).padEnd(widths[i]!))
      .join('  ')
      .trimEnd();
  return [line((column) => column), ...rows.map((row) => line((column) => cell(row[column])))].join('\n');
};
/** The exit code for an HTTP status: 0 done, 1 failed, 2 invalid use, 3 collision, 4 no agreed result. */
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

/** Opens the operator commands; `out` and `err` print one line each. */
export const operator = {
  open: (options: { runtime: Runtime; out: (text: string) => void; err: (text: string) => void }): Operator => {
    const { runtime, out, err } = options;
    const call = async (
      request: Omit<HttpClientRequest, 'headersTimeout'>,
      headersTimeout = duration.s(8),
    ): Promise<Reply> => {
      const response = await runtime.net.request({ ...request, headersTimeout });
      const text = await readText(response.body);
      try {
        return { status: response.status, body: JSON.parse(text) as Record<string, unknown> };
      } catch {
        return { status: response.status, body: { error: 'unreadable', message: text.slice(0, 200) } };
      }
    };
    /** Runs a command; an error is printed and gives exit code 1. */
    const safely = async (command: () => Promise<number>): Promise<number> => {
      try {
        return await command();
      } catch (error) {
        err(fault.text(error));
        return 1;
      }
    };
    const failed = (res: Reply, json: boolean): number => {
      if (json) out(JSON.stringify(res.body));
      err(`${textOf(res.body['error'] ?? res.status)}${res.body['message'] ? `: ${textOf(res.body['message'])}` : ''}`);
      for (const problem of (res.body['problems'] as { path: string; text: string }[] | undefined) ?? [])
        err(`${problem.path}: ${problem.text}`);
      return codeOf(res.status);
    };
    /** The body of a reply as text: a table if it has rows, else one line for each field. */
    const bodyText = (what: string, body: Record<string, unknown>): string => {
      const content = body[what];
      if (what === 'config') return JSON.stringify(body['config'], null, 2);
      if (Array.isArray(content))
        return table(
          (content as Record<string, unknown>[]).map(({ since, ...row }) => {
            void since;
            return row;
          }),
        );
      if (typeof content === 'object' && content !== null)
        return table(Object.entries(content).map(([name, fields]) => ({ name, ...(fields as object) })));
      return Object.entries(body)
        .filter(([field]) => field !== 'mark')
        .map(
          ([field, value]) =>
            `${field}: ${
              typeof value === 'object'
                ? Object.entries(value as object)
                    .map(([name, inner]) => `${name} ${String(inner)}`)
                    .join(', ')
                : textOf(value)
            }`,
        )
        .join('\n');
    };
    const sendChange = async (
      at: string,
      method: string,
      type: string,
      body: string,
      mark: string,
      id: string | undefined,
      json: boolean,
    ): Promise<number> => {
      const pushId = id ?? runtime.rand.id();
      const reply = await call({
        at,
        method,
        path: `${apiRoot}/config`,
        body,
        headers: { 'content-type': type, 'if-match': mark, 'push-id': pushId },
      });
      if (reply.status !== 200) {
        if (reply.status === 503) err(`to retry as the same push: --base ${mark} --push-id ${pushId}`);
        return failed(reply, json);
      }
      out(json ? JSON.stringify(reply.body) : `configuration is at mark ${String(reply.body['mark'])}`);
      return 0;
    };
    const requestPlan = async (at: string, body: string, base: string | undefined): Promise<Reply> => {
      let mark = base;
      if (mark === undefined) {
        const current = await call({ at, method: 'GET', path: `${apiRoot}/config` });
        if (current.status !== 200) return current;
        mark = String(current.body['mark']);
      }
      return call({
        at,
        method: 'PATCH',
        path: `${apiRoot}/config?plan=true`,
        body,
        headers: { 'content-type': 'application/json-patch+json', 'if-match': mark },
      });
    };
    const planText = (body: Record<string, unknown>): string => {
      const steps = body['plan'] as { op: string; path: string; before?: unknown; after?: unknown }[];
      const jsonOf = (value: unknown): string => (value === undefined ? '' : JSON.stringify(value));
      return steps.length === 0
        ? 'nothing would change'
        : steps
            .map((step) =>
              [
                `${step.op} ${step.path}`,
                step.before === undefined ? '' : ` from ${jsonOf(step.before)}`,
                step.after === undefined ? '' : ` to ${jsonOf(step.after)}`,
              ].join(''),
            )
            .join('\n');
    };
    return {
      show: (at, what, json) =>
        safely(async () => {
          const reply = await call({ at, method: 'GET', path: `${apiRoot}/${what}` });
          if (reply.status !== 200) return failed(reply, json);
          out(
            json
              ? JSON.stringify(reply.body)
              : `${bodyText(what, decodeReply(what, reply.body))}\n(read at mark ${String(reply.body['mark'])})`,
          );
          return 0;
        }),
      check: (at, json) =>
        safely(async () => {
          const get = async (address: string, path: string): Promise<Reply | undefined> => {
            try {
              return await call({ at: address, method: 'GET', path }, requestTimeout);
            } catch {
              return undefined;
            }
          };
          const res = await survey.run(get, at);
          if (!res.ok) {
            err(res.text);
            return 4;
          }
          const bad = res.findings.filter((finding) => finding.severity === 'bad').length;
          if (json) out(JSON.stringify(res));
          else {
            for (const finding of res.findings) out(`${finding.severity}: ${finding.about} ${finding.text}`);
            out(
              `${res.nodes} nodes checked, ${bad} bad, ${res.findings.length - bad} notes (read at mark ${res.mark})`,
            );
          }
          return bad ? 1 : 0;
        }),
      revert: (at, to, json) =>
        safely(async () => {
          const past = await call({ at, method: 'GET', path: `${apiRoot}/config?mark=${to}` });
          if (past.status !== 200) return failed(past, json);
          // Based on the current version read with the earlier one, so that a push made since is not overwritten.
          return sendChange(
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
          const reply = await requestPlan(at, body, undefined);
          if (reply.status !== 200) return failed(reply, json);
          out(json ? JSON.stringify(reply.body) : planText(reply.body));
          return 0;
        }),
      jsonPatch: (at, body, base, id, json) =>
        safely(async () => {
          const planned = await requestPlan(at, body, base);
          if (planned.status !== 200) return failed(planned, json);
          if (!json) out(planText(planned.body));
          // Based on the version that was planned on, so that nothing is applied if it has changed meanwhile.
          return sendChange(at, 'PATCH', 'application/json-patch+json', body, String(planned.body['mark']), id, json);
        }),
      query: (at, text, json) =>
        safely(async () => {
          const parsed = queryShell.parse(text);
          if (!parsed.ok) {
            err(parsed.text);
            return 2;
          }
          const tableName = parsed.query.table;
          let allRows: Record<string, unknown>[] = [];
          let mark = '';
          /** The column that pages continue after; null for tables that come in one page. */
          const key = tableName === 'programs' ? 'program' : tableName === 'registers' ? 'key' : null;
          for (let after = ''; ;) {
            const reply = await call({
              at,
              method: 'GET',
              path: `${apiRoot}/${tableName}${key ? `?limit=200&after=${encodeURIComponent(after)}` : ''}`,
            });
            if (reply.status !== 200) return failed(reply, json);
            const page = queryShell.rows(tableName, decodeReply(tableName, reply.body));
            allRows = [...allRows, ...page];
            mark = String(reply.body['mark']);
            const last = page[page.length - 1]?.[key ?? ''];
            if (!key || page.length < 200 || typeof last !== 'string') break;
            after = last;
          }
          const selected = queryShell.run(parsed.query, allRows);
          out(
            json
              ? JSON.stringify({ mark: Number(mark), rows: selected })
              : `${table(selected)}\n(${selected.length} of ${allRows.length}, read at mark ${mark})`,
          );
          return 0;
        }),
      push: (at, how, body, base, id, json) =>
        safely(async () => {
          let mark = base;
          if (mark === undefined) {
            const current = await call({ at, method: 'GET', path: `${apiRoot}/config` });
            if (current.status !== 200) return failed(current, json);
            mark = String(current.body['mark']);
          }
          return sendChange(
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
            const reply = await call({ at, method, path: `${apiRoot}/drain/${encodeURIComponent(node)}` });
            if (reply.status !== 200) return failed(reply, json);
            const done = reply.body['safe'] === true || !wait || cancel;
            out(
              json
                ? JSON.stringify(reply.body)
                : [
                    `${String(reply.body['node'])}: ${String(reply.body['state'])}`,
                    ...(reply.body['mark'] === undefined
                      ? []
                      : [`(group mark ${textOf(reply.body['mark'])}, swept ${textOf(reply.body['swept'])})`]),
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
