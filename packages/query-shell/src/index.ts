// query shell: a small query language over the fleet's state (§7.5). A query is planned first, as data, then run on
// rows.
//   TABLE [where COND [and COND ...]] [show COL, COL ...] [sort COL [down]] [limit N] | TABLE ... count [by COL]
export type Row = Record<string, unknown>;
export type Cond = { col: string; op: '=' | '!=' | '<' | '<=' | '>' | '>=' | '~'; value: string };
export type Query = {
  table: string;
  where: Cond[];
  show: string[] | null;
  sort: { col: string; down: boolean } | null;
  limit: number | null;
  count: { by: string | null } | null;
};
export type Parsed = { ok: true; query: Query } | { ok: false; text: string };
export type Tables = Record<string, { columns: string[]; text: string }>;

export const tables: Tables = {
  nodes: { columns: ['name', 'role', 'zone', 'standing', 'place', 'http', 'inc', 'id', 'since'], text: 'the roster' },
  workers: { columns: ['id', 'at', 'kind', 'leaving'], text: 'workers as the platform lists them' },
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
  marks: { columns: ['name', 'mark'], text: 'marks of the view, the order, the configuration and the store group' },
  duties: { columns: ['name', 'by', 'mark'], text: 'who holds which duty' },
  registers: { columns: ['key', 'kind', 'ballot', 'copies', 'members', 'until'], text: 'registers on the stores' },
};

type Token = { text: string; at: number; quoted: boolean };
const tokens = (s: string): Token[] | { bad: number } => {
  const out: Token[] = [];
  const re = /\s*(?:"([^"]*)"|(!=|<=|>=|[=<>~,])|([^\s=<>~,!"]+))/gy;
  let at = 0;
  while (at < s.trimEnd().length) {
    re.lastIndex = at;
    const m = re.exec(s);
    if (!m) return { bad: at };
    out.push({ text: m[1] ?? m[2] ?? m[3]!, at, quoted: m[1] !== undefined });
    at = re.lastIndex;
  }
  return out;
};
const ops = ['=', '!=', '<', '<=', '>', '>=', '~'];

/** A value as text: objects as JSON, everything else as it prints. */
const textOf = (value: unknown): string => (typeof value === 'string' ? value : (JSON.stringify(value) ?? ''));

export const queryShell = {
  parse: (s: string, known: Tables = tables): Parsed => {
    const no = (text: string): Parsed => ({ ok: false, text });
    const all = tokens(s);
    if (!Array.isArray(all)) return no(`column ${all.bad + 1}: cannot be read`);
    const [first, ...rest] = all;
    if (!first) return no('an empty query: name a table');
    if (!Object.hasOwn(known, first.text))
      return no(`no table "${first.text}"; there are ${Object.keys(known).join(', ')}`);
    const cols = known[first.text]!.columns;
    const q: Query = { table: first.text, where: [], show: null, sort: null, limit: null, count: null };
    let i = 0;
    const next = (): Token | undefined => rest[i++];
    const word = (): string | undefined => (rest[i]?.quoted ? undefined : rest[i]?.text);
    const badCol = (c: string | undefined): string =>
      `no column "${c ?? ''}" in ${q.table}; there are ${cols.join(', ')}`;
    while (i < rest.length) {
      const w = next()!;
      if (w.text === 'where' && q.where.length === 0) {
        for (;;) {
          const col = next()?.text;
          if (!col || !cols.includes(col)) return no(badCol(col));
          const op = next()?.text;
          if (!op || !ops.includes(op)) return no(`after "${col}" one of ${ops.join(' ')} is needed`);
          const value = next();
          if (!value) return no(`a value is needed after "${col} ${op}"`);
          q.where.push({ col, op: op as Cond['op'], value: value.text });
          if (word() !== 'and') break;
          i += 1;
        }
      } else if (w.text === 'show' && !q.show) {
        q.show = [];
        for (;;) {
          const col = next()?.text;
          if (!col || !cols.includes(col)) return no(badCol(col));
          q.show.push(col);
          if (word() !== ',') break;
          i += 1;
        }
      } else if (w.text === 'sort' && !q.sort) {
        const col = next()?.text;
        if (!col || !cols.includes(col)) return no(badCol(col));
        const down = word() === 'down';
        if (down) i += 1;
        q.sort = { col, down };
      } else if (w.text === 'limit' && q.limit === null) {
        const n = next()?.text ?? '';
        if (!/^[1-9]\d{0,6}$/.test(n)) return no('limit needs a whole number above 0');
        q.limit = Number(n);
      } else if (w.text === 'count' && !q.count) {
        q.count = { by: null };
        if (word() === 'by') {
          i += 1;
          const col = next()?.text;
          if (!col || !cols.includes(col)) return no(badCol(col));
          q.count.by = col;
        }
      } else return no(`"${w.text}" is not understood here; try where, show, sort, limit or count`);
    }
    if (q.count && q.show) return no('count and show do not go together');
    return { ok: true, query: q };
  },

  run: (q: Query, rows: Row[]): Row[] => {
    const text = (v: unknown): string => (v === null || v === undefined ? '' : textOf(v));
    const cmp = (a: unknown, b: unknown): number => {
      const [x, y] = [Number(text(a)), Number(text(b))];
      return text(a) !== '' && text(b) !== '' && !Number.isNaN(x) && !Number.isNaN(y)
        ? x - y
        : text(a) < text(b)
          ? -1
          : text(a) > text(b)
            ? 1
            : 0;
    };
    const holds = (r: Row, c: Cond): boolean => {
      const d = cmp(r[c.col], c.value);
      switch (c.op) {
        case '=':
          return d === 0;
        case '!=':
          return d !== 0;
        case '<':
          return d < 0;
        case '<=':
          return d <= 0;
        case '>':
          return d > 0;
        case '>=':
          return d >= 0;
        case '~':
          return text(r[c.col]).includes(c.value);
      }
    };
    let out = rows.filter((r) => q.where.every((c) => holds(r, c)));
    if (q.count) {
      const by = q.count.by;
      if (by === null) return [{ count: out.length }];
      const n = new Map<string, number>();
      for (const r of out) n.set(text(r[by]), (n.get(text(r[by])) ?? 0) + 1);
      out = [...n].sort(([a], [b]) => cmp(a, b)).map(([k, c]) => ({ [by]: k, count: c }));
    }
    const sort = q.sort;
    if (sort && !q.count) out = [...out].sort((a, b) => cmp(a[sort.col], b[sort.col]) * (sort.down ? -1 : 1));
    if (q.limit !== null) out = out.slice(0, q.limit);
    const show = q.show;
    return show ? out.map((r) => Object.fromEntries(show.map((c) => [c, r[c]]))) : out;
  },

  /** The rows of a table from what a node's operator HTTP says. */
  rows: (table: string, b: Record<string, unknown>): Row[] => {
    const v = b[table];
    if (table === 'marks')
      return ['view', 'order', 'config', 'keepers', 'swept'].map((name) => ({ name, mark: b[name] }));
    if (table === 'loads')
      return Object.entries(
        v as Record<
          string,
          { load: { running: Record<string, Record<string, number>> }; tokens: Record<string, number>; paused: number }
        >,
      ).flatMap(([gateway, e]): Row[] => {
        const workers = [...new Set([...Object.keys(e.load.running), ...Object.keys(e.tokens)])].sort();
        return workers.flatMap((w): Row[] =>
          e.load.running[w]
            ? Object.entries(e.load.running[w]).map(([cls, n]) => ({
                gateway,
                worker: w,
                class: cls,
                running: n,
                tokens: e.tokens[w] ?? 0,
                paused: e.paused,
              }))
            : [{ gateway, worker: w, class: null, running: 0, tokens: e.tokens[w] ?? 0, paused: e.paused }],
        );
      });
    if (Array.isArray(v)) return v as Row[];
    if (typeof v === 'object' && v !== null) return Object.entries(v).map(([name, x]) => ({ name, ...(x as object) }));
    return [];
  },
  help: (): string =>
    [
      'tables:',
      ...Object.entries(tables).map(([k, t]) => `  ${k.padEnd(10)} ${t.text}: ${t.columns.join(', ')}`),
      'query:  TABLE [where COL OP VALUE [and ...]] [show COL, COL] [sort COL [down]] [limit N] [count [by COL]]',
      'ops:    = != < <= > >= ~ (contains)',
      'more:   help, quit',
    ].join('\n'),
};
