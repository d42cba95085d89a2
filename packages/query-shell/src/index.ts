/**
 * A small query language over the state of the cluster (§7.5). `parse` turns a query into a plain object, which `run`
 * applies to rows.
 *
 *   TABLE [where COND [and COND ...]] [show COL, COL ...] [sort COL [down]] [limit N] | TABLE ... count [by COL]
 */

/** One row of a table, by column. */
export type Row = Record<string, unknown>;
/** A condition on one column; `~` means that the value contains the text. */
export type Condition = { column: string; op: '=' | '!=' | '<' | '<=' | '>' | '>=' | '~'; value: string };
/** A parsed query; a clause that was not given is null or empty. `sort.down` means descending order. */
export type Query = {
  table: string;
  where: Condition[];
  show: string[] | null;
  sort: { column: string; down: boolean } | null;
  limit: number | null;
  count: { by: string | null } | null;
};
/** The query, or an error message for the user. */
export type ParseResult = { ok: true; query: Query } | { ok: false; text: string };
/** The columns of each table, with its description in the help. */
export type Tables = Record<string, { columns: string[]; text: string }>;

/** The tables that can be queried; the names of tables and columns are those of the admin API. */
export const tables: Tables = {
  nodes: {
    columns: ['name', 'role', 'zone', 'standing', 'place', 'http', 'inc', 'id', 'since'],
    text: 'the members of the cluster',
  },
  workers: { columns: ['id', 'at', 'kind', 'leaving'], text: 'workers as listed by the platform' },
  classes: {
    columns: [
      'name',
      'kind',
      'weight',
      'urgent',
      'reserve',
      'budgetTokens',
      'maxTokens',
      'keepSeconds',
      'timeLeftMs',
      'expectedMs',
      'buffer',
    ],
    text: 'classes of service',
  },
  programs: {
    columns: ['program', 'budget', 'spent', 'left', 'turns', 'lost', 'tokens', 'worker', 'open'],
    text: 'programs and their budgets',
  },
  loads: {
    columns: ['gateway', 'worker', 'class', 'running', 'tokens', 'paused'],
    text: 'running turns by gateway, worker and class',
  },
  marks: {
    columns: ['name', 'mark'],
    text: 'versions of the view, the agreed state, the configuration and the store group',
  },
  duties: { columns: ['name', 'by', 'mark'], text: 'holders of the leases' },
  registers: { columns: ['key', 'kind', 'ballot', 'copies', 'members', 'until'], text: 'registers on the stores' },
};

type Token = { text: string; offset: number; quoted: boolean };
/** Splits a query into tokens, or returns the offset (`bad`) at which no token could be read. */
const tokenize = (source: string): Token[] | { bad: number } => {
  const tokens: Token[] = [];
  const tokenPattern = /\s*(?:"([^"]*)"|(!=|<=|>=|[=<>~,])|([^\s=<>~,!"]+))/gy;
  let offset = 0;
  while (offset < source.trimEnd().length) {
    tokenPattern.lastIndex = offset;
    const match = tokenPattern.exec(source);
    if (!match) return { bad: offset };
    tokens.push({ text: match[1] ?? match[2] ?? match[3]!, offset, quoted: match[1] !== undefined });
    offset = tokenPattern.lastIndex;
  }
  return tokens;
};
const operators = ['=', '!=', '<', '<=', '>', '>=', '~'];

/** A value as text: strings as they are, other values as JSON. */
const textOf = (value: unknown): string => (typeof value === 'string' ? value : (JSON.stringify(value) ?? ''));

/** Parses and runs queries. */
export const queryShell = {
  /** Parses a query on the given tables. */
  parse: (source: string, known: Tables = tables): ParseResult => {
    const fail = (text: string): ParseResult => ({ ok: false, text });
    const tokens = tokenize(source);
    if (!Array.isArray(tokens)) return fail(`column ${tokens.bad + 1}: cannot be read`);
    const [first, ...rest] = tokens;
    if (!first) return fail('an empty query: name a table');
    if (!Object.hasOwn(known, first.text))
      return fail(`no table "${first.text}"; there are ${Object.keys(known).join(', ')}`);
    const columns = known[first.text]!.columns;
    const query: Query = { table: first.text, where: [], show: null, sort: null, limit: null, count: null };
    let i = 0;
    const next = (): Token | undefined => rest[i++];
    const peekWord = (): string | undefined => (rest[i]?.quoted ? undefined : rest[i]?.text);
    const unknownColumn = (column: string | undefined): string =>
      `no column "${column ?? ''}" in ${query.table}; there are ${columns.join(', ')}`;
    while (i < rest.length) {
      const clause = next()!;
      if (clause.text === 'where' && query.where.length === 0) {
        for (;;) {
          const column = next()?.text;
          if (!column || !columns.includes(column)) return fail(unknownColumn(column));
          const operator = next()?.text;
          if (!operator || !operators.includes(operator))
            return fail(`after "${column}" one of ${operators.join(' ')} is needed`);
          const value = next();
          if (!value) return fail(`a value is needed after "${column} ${operator}"`);
          query.where.push({ column, op: operator as Condition['op'], value: value.text });
          if (peekWord() !== 'and') break;
          i += 1;
        }
      } else if (clause.text === 'show' && !query.show) {
        query.show = [];
        for (;;) {
          const column = next()?.text;
          if (!column || !columns.includes(column)) return fail(unknownColumn(column));
          query.show.push(column);
          if (peekWord() !== ',') break;
          i += 1;
        }
      } else if (clause.text === 'sort' && !query.sort) {
        const column = next()?.text;
        if (!column || !columns.includes(column)) return fail(unknownColumn(column));
        const descending = peekWord() === 'down';
        if (descending) i += 1;
        query.sort = { column, down: descending };
      } else if (clause.text === 'limit' && query.limit === null) {
        const limit = next()?.text ?? '';
        if (!/^[1-9]\d{0,6}$/.test(limit)) return fail('limit needs a whole number above 0');
        query.limit = Number(limit);
      } else if (clause.text === 'count' && !query.count) {
        query.count = { by: null };
        if (peekWord() === 'by') {
          i += 1;
          const column = next()?.text;
          if (!column || !columns.includes(column)) return fail(unknownColumn(column));
          query.count.by = column;
        }
      } else return fail(`"${clause.text}" is not understood here; try where, show, sort, limit or count`);
    }
    if (query.count && query.show) return fail('count and show do not go together');
    return { ok: true, query };
  },

  /** Applies a query to the rows of its table: filter, then count or sort, then limit and selection of columns. */
  run: (query: Query, rows: Row[]): Row[] => {
    const text = (value: unknown): string => (value === null || value === undefined ? '' : textOf(value));
    /** Compares as numbers if both values are numeric, else as texts. */
    const compare = (a: unknown, b: unknown): number => {
      const [left, right] = [Number(text(a)), Number(text(b))];
      return text(a) !== '' && text(b) !== '' && !Number.isNaN(left) && !Number.isNaN(right)
        ? left - right
        : text(a) < text(b)
          ? -1
          : text(a) > text(b)
            ? 1
            : 0;
    };
    const matches = (row: Row, condition: Condition): boolean => {
      const order = compare(row[condition.column], condition.value);
      switch (condition.op) {
        case '=':
          return order === 0;
        case '!=':
          return order !== 0;
        case '<':
          return order < 0;
        case '<=':
          return order <= 0;
        case '>':
          return order > 0;
        case '>=':
          return order >= 0;
        case '~':
          return text(row[condition.column]).includes(condition.value);
      }
    };
    let result = rows.filter((row) => query.where.every((condition) => matches(row, condition)));
    if (query.count) {
      const by = query.count.by;
      if (by === null) return [{ count: result.length }];
      const counts = new Map<string, number>();
      for (const row of result) counts.set(text(row[by]), (counts.get(text(row[by])) ?? 0) + 1);
      result = [...counts].sort(([a], [b]) => compare(a, b)).map(([value, count]) => ({ [by]: value, count }));
    }
    const sort = query.sort;
    if (sort && !query.count)
      result = [...result].sort((a, b) => compare(a[sort.column], b[sort.column]) * (sort.down ? -1 : 1));
    if (query.limit !== null) result = result.slice(0, query.limit);
    const show = query.show;
    return show ? result.map((row) => Object.fromEntries(show.map((column) => [column, row[column]]))) : result;
  },

  /** The rows of a table from the body of the admin API's reply. */
  rows: (table: string, body: Record<string, unknown>): Row[] => {
    const content = body[table];
    if (table === 'marks')
      return ['view', 'order', 'config', 'keepers', 'swept'].map((name) => ({ name, mark: body[name] }));
    if (table === 'loads')
      return Object.entries(
        content as Record<
          string,
          { load: { running: Record<string, Record<string, number>> }; tokens: Record<string, number>; paused: number }
        >,
      ).flatMap(([gateway, report]): Row[] => {
        const workers = [...new Set([...Object.keys(report.load.running), ...Object.keys(report.tokens)])].sort();
        return workers.flatMap((worker): Row[] =>
          report.load.running[worker]
            ? Object.entries(report.load.running[worker]).map(([className, running]) => ({
                gateway,
                worker,
                class: className,
                running,
                tokens: report.tokens[worker] ?? 0,
                paused: report.paused,
              }))
            : [
                {
                  gateway,
                  worker,
                  class: null,
                  running: 0,
                  tokens: report.tokens[worker] ?? 0,
                  paused: report.paused,
                },
              ],
        );
      });
    if (Array.isArray(content)) return content as Row[];
    if (typeof content === 'object' && content !== null)
      return Object.entries(content).map(([name, fields]) => ({ name, ...(fields as object) }));
    return [];
  },
  /** The help text: tables, grammar and commands. */
  help: (): string =>
    [
      'tables:',
      ...Object.entries(tables).map(
        ([name, table]) => `  ${name.padEnd(10)} ${table.text}: ${table.columns.join(', ')}`,
      ),
      'query:  TABLE [where COL OP VALUE [and ...]] [show COL, COL] [sort COL [down]] [limit N] [count [by COL]]',
      'ops:    = != < <= > >= ~ (contains)',
      'more:   help, quit',
    ].join('\n'),
};
