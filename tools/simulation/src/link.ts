// One kept connection (§9.2): a simulated TCP link between two processes, a client as runtime's `connect` gives it,
// and a
// server that may misbehave. What a cut holds up arrives after it; what was on its way from a lost power does not.
import {
  fault,
  duration,
  type Connection,
  type Exchange,
  type ExchangeEvents,
  type HttpRequest,
  type HttpHandler,
  type Address,
  type Random,
  type Microseconds,
} from '@thornsail/runtime';
import type { WireHandler, WireSay } from '@thornsail/test-harness';
import type { Host } from './world.js';

/** What listens at a place. `room`: whether one more connection is accepted. */
export type Served = {
  handler: HttpHandler;
  wire: WireHandler;
  idleFor: () => Microseconds;
  room: (by: 1 | -1) => boolean;
};
/** What a link needs of the world it is in. */
export type Ground = {
  rand: Random;
  later: (after: Microseconds, host: Host | null, fn: () => void) => void;
  deliver: (a: Host, b: Host, fn: () => void) => void;
  delay: (a: Host, b: Host) => Microseconds;
  severed: (a: Host, b: Host) => boolean;
  hostOf: (at: Address) => Host | undefined;
  /** Called once, when something that was cut is whole again. */
  onHeal: (fn: () => void) => void;
  askOf: (x: Exchange) => HttpRequest;
  tableOf: (raw: readonly string[]) => Record<string, string>;
};

const window_ = 65_536;
/** A silent peer is given up after the probes of an idle connection went unanswered. */
const probes = duration.s(11);

/** One direction: in order, held up by a cut, gone with its sender's power. */
type Lane = { send: (fn: () => void) => void; lose: () => void };
const laneOf = (g: Ground, a: Host, b: Host, reset: () => void): Lane => {
  const inc = b.incarnation;
  let held: (() => void)[] = [];
  let lost = false;
  const flush = (): void => {
    const all = held;
    held = [];
    for (const fn of all) send(fn);
  };
  const hold = (fn: () => void): void => {
    held.push(fn);
    if (held.length === 1) g.onHeal(() => g.later(g.rand.int(duration.ms(300)), null, flush));
  };
  const send = (fn: () => void): void => {
    if (lost) return;
    if (held.length || g.severed(a, b)) return hold(fn);
    if (b.incarnation !== inc) {
      // Another process, or none: the machine says so if it has power.
      if (!b.poweredOff) g.later(2 * g.delay(a, b), a, reset);
      return;
    }
    g.deliver(a, b, () => {
      if (lost) return;
      if (held.length || g.severed(a, b)) hold(fn);
      else fn();
    });
  };
  return {
    send,
    lose: () => {
      lost = true;
      held = [];
    },
  };
};

/** What the server end puts on the wire, as the client's parser takes it. */
type ClientEnd = {
  head: (status: number, raw: readonly string[]) => void;
  data: (bytes: Uint8Array) => void;
  end: () => void;
  broke: (code: string) => void;
};
type ServerEnd = { ask: (x: Exchange) => void; closed: () => void; taken: (bytes: number) => void; reset: () => void };

const flatOf = (h: Record<string, string> | readonly string[]): readonly string[] =>
  Array.isArray(h) ? (h as readonly string[]) : Object.entries(h).flat();
const bytesOf = (p: string | Uint8Array): Uint8Array => (typeof p === 'string' ? Buffer.from(p, 'utf8') : p);

/** What becomes of a connection behind a whole answer. */
type Afterwards = 'kept' | 'closed' | 'forgotten';
type Reply = { say: WireSay; gone: () => void; taken: (bytes: number) => void };
/** The server's side of one exchange. `over(close)` is told when its answer is whole. */
const replyOf = (
  g: Ground,
  o: {
    host: Host;
    down: Lane;
    client: ClientEnd;
    idleFor: Microseconds;
    up: () => boolean;
    over: (then: Afterwards) => void;
    cut: (code: string) => void;
  },
): Reply => {
  const { down, client } = o;
  let [isGone, buffered] = [false, 0];
  let then: Afterwards = 'kept';
  let unframed = false;
  let goneFns: (() => void)[] = [];
  let drains: (() => void)[] = [];
  const runAll = (all: (() => void)[]): void => {
    for (const fn of all) fn();
  };
  const drained = (): void => {
    const all = drains;
    drains = [];
    runAll(all);
  };
  const gone = (): void => {
    if (isGone) return;
    isGone = true;
    const all = goneFns;
    goneFns = [];
    runAll(all);
    drained();
  };
  const cut = (code: string): void => {
    gone();
    o.cut(code);
  };
  const write = (p: string | Uint8Array): boolean => {
    if (isGone) return true;
    const bytes = bytesOf(p);
    buffered += bytes.length;
    down.send(() => client.data(bytes));
    return buffered < window_;
  };
  const say: WireSay = {
    head: (status, headers) => {
      const raw = flatOf(headers);
      const has = (name: string): boolean => raw.some((n, i) => i % 2 === 0 && n.toLowerCase() === name);
      const close = unframed || g.tableOf(raw)['connection'] === 'close';
      if (close) then = 'closed';
      const kept = ['connection', 'keep-alive', 'keep-alive', `timeout=${Math.floor(o.idleFor / duration.s(1))}`];
      const all = close || has('keep-alive') ? raw : [...raw, ...kept];
      if (!isGone) down.send(() => client.head(status, all));
    },
    write,
    drained: () =>
      new Promise((fin) => {
        if (buffered < window_ || isGone) fin();
        else drains.push(fin);
      }),
    end: (p) => {
      if (isGone) return;
      if (p !== undefined && p.length) write(p);
      down.send(client.end);
      o.over(then);
    },
    cut: () => cut('UND_ERR_SOCKET'),
    gone: () => isGone,
    onGone: (fn) => (isGone ? fn() : void goneFns.push(fn)),
    garble: () => down.send(() => client.broke('HPE_INVALID_CONSTANT')),
    reset: () => cut('ECONNRESET'),
    surplus: (after, status, headers, body) => {
      const put = (): void => {
        if (!o.up()) return;
        down.send(() => client.head(status, headers));
        down.send(() => client.data(body));
        down.send(client.end);
      };
      const was = o.over;
      o.over = (x) => {
        was(x);
        g.later(after, o.host, put);
      };
    },
    unframed: () => {
      unframed = true;
    },
    forget: () => {
      then = 'forgotten';
    },
  };
  const taken = (n: number): void => {
    buffered -= n;
    if (buffered < window_ / 2) drained();
  };
  return { say, gone, taken };
};

/** The server's end of a connection: an exchange at a time, closed when it has been idle for long. */
const serverOf = (g: Ground, o: { host: Host; down: Lane; client: ClientEnd; served: Served }): ServerEnd => {
  const { host: t, down, client, served } = o;
  let up = true;
  let reply: Reply | undefined;
  let rest = 0;
  const end = (): void => {
    if (!up) return;
    up = false;
    t.connections.delete(broken);
    served.room(-1);
    reply?.gone();
  };
  const shut = (code: string): void => {
    if (!up) return;
    end();
    down.send(() => client.broke(code));
  };
  /** The process ended: its connections break, or fall silent with the machine. */
  const broken = (silent: boolean): void => {
    if (silent) down.lose();
    else shut('ECONNRESET');
  };
  const idle = (): void => {
    const mine = ++rest;
    g.later(served.idleFor(), t, () => {
      if (rest === mine && !reply) shut('UND_ERR_SOCKET');
    });
  };
  t.connections.add(broken);
  idle();
  return {
    ask: (x) => {
      if (!up) return down.send(() => client.broke('ECONNRESET'));
      rest += 1;
      const over = (then: Afterwards): void => {
        reply = undefined;
        if (then === 'closed') shut('UND_ERR_SOCKET');
        else if (then === 'forgotten') end();
        else idle();
      };
      const r = replyOf(g, { host: t, down, client, idleFor: served.idleFor(), up: () => up, over, cut: shut });
      reply = r;
      Promise.resolve()
        .then(() => served.wire(g.askOf(x), r.say))
        .catch(() => r.say.cut());
    },
    closed: end,
    taken: (n) => reply?.taken(n),
    reset: () => shut('ECONNRESET'),
  };
};

type Turn = {
  x: Exchange;
  on: ExchangeEvents;
  paused: boolean;
  /** What came while it was held back. */
  queue: (() => void)[];
};

/** The client's end, as runtime's `connect` gives it: one exchange at a time, never used after a fault. */
const clientOf = (
  g: Ground,
  h: Host,
  at: Address,
  o: { connectWithin: Microseconds; onClosed?: () => void },
): Connection => {
  let state: 'new' | 'connecting' | 'up' | 'closed' = 'new';
  let turn: Turn | null = null;
  let said: Record<string, string> = {};
  let used = 0;
  const there: { up?: Lane; server?: ServerEnd; host?: Host } = {};
  const failure = (code: string): Error => fault.make({ step: 'exchange', sibling: at, code }, code);
  const hangUp = (): void => {
    const { up, server } = there;
    if (server) up?.send(server.closed);
  };
  const leave = (): void => {
    state = 'closed';
    h.connections.delete(mine);
    there.host?.connections.delete(theirs);
  };
  const closed = (): void => {
    if (state === 'closed') return;
    if (state === 'up') hangUp();
    leave();
    o.onClosed?.();
  };
  const broke = (code: string): void => {
    const t = turn;
    turn = null;
    closed();
    t?.on.fail(failure(code));
  };
  /** This process ended. */
  const mine = (silent: boolean): void => {
    turn = null;
    if (silent) there.up?.lose();
    else hangUp();
    leave();
  };
  /** The other machine fell silent: nobody says so; probes find out. */
  const theirs = (silent: boolean): void => {
    if (silent) g.later(probes, h, () => void (state === 'closed' || broke('ETIMEDOUT')));
  };
  const inTurn = (fn: (t: Turn) => void): void => {
    if (state === 'closed') return;
    // Bytes without a request: whatever they are, the connection is of no use any more.
    if (!turn) return closed();
    const t = turn;
    if (t.paused || t.queue.length) t.queue.push(() => fn(t));
    else fn(t);
  };
  /** After a whole answer: closed if either side said so, or when the other side is about to. */
  const rest = (): void => {
    if (said['connection'] === 'close') return closed();
    const seconds = /timeout=(\d+)/.exec(said['keep-alive'] ?? '');
    const n = ++used;
    if (!seconds) return;
    if (Number(seconds[1]) === 0) return closed();
    g.later(duration.s(Number(seconds[1])), h, () => {
      if (used === n && !turn) closed();
    });
  };
  const client: ClientEnd = {
    head: (status, raw) =>
      inTurn((t) => {
        said = g.tableOf(raw);
        t.on.head(status, said, raw);
      }),
    data: (bytes) =>
      inTurn((t) => {
        const { up, server } = there;
        up?.send(() => server?.taken(bytes.length));
        t.on.data(bytes);
      }),
    end: () =>
      inTurn((t) => {
        turn = null;
        t.on.end();
        if (state === 'up') rest();
      }),
    broke: (code) => {
      if (turn && (turn.paused || turn.queue.length)) turn.queue.push(() => broke(code));
      else broke(code);
    },
  };
  const begin = (t: Turn): void => {
    if (turn !== t || state !== 'up') return;
    used += 1;
    t.on.sent();
    const { up, server } = there;
    if (turn === t) up?.send(() => server?.ask(t.x));
  };
  /** The opening packet has arrived. */
  const accept = (to: Host, t: Turn, down: Lane): void => {
    const served = to.http.get(at);
    if (!served) return down.send(() => broke('ECONNREFUSED'));
    const room = served.room(1);
    const server = serverOf(g, { host: to, down, client, served });
    there.server = server;
    down.send(() => {
      if (state !== 'connecting') return hangUp();
      state = 'up';
      begin(t);
    });
    if (!room) server.reset();
  };
  const open = (t: Turn): void => {
    state = 'connecting';
    h.connections.add(mine);
    const unless = (code: string) => (): void => {
      if (state === 'connecting') broke(code);
    };
    g.later(o.connectWithin, h, unless('UND_ERR_CONNECT_TIMEOUT'));
    const to = g.hostOf(at);
    if (!to) return g.later(duration.ms(1), h, unless('ECONNREFUSED'));
    if (!to.alive && !to.poweredOff && !g.severed(h, to)) return g.later(2 * g.delay(h, to), h, unless('ECONNREFUSED'));
    const down = laneOf(g, to, h, () => undefined);
    there.up = laneOf(g, h, to, () => broke('ECONNRESET'));
    there.host = to;
    to.connections.add(theirs);
    there.up.send(() => accept(to, t, down));
  };
  const start = (t: Turn): void => {
    turn = t;
    if (state === 'new') open(t);
    // What has come meanwhile is looked at before a kept connection is used again.
    else g.later(20, h, () => begin(t));
  };
  return {
    exchange: (x, on) => {
      const t: Turn = { x, on, paused: false, queue: [] };
      if (state === 'closed' || turn) g.later(0, h, () => on.fail(failure('UND_ERR_DESTROYED')));
      else start(t);
      return {
        pause: () => {
          t.paused = true;
        },
        resume: () => {
          t.paused = false;
          while (t.queue.length && !t.paused) t.queue.shift()!();
        },
        cut: () => {
          if (turn === t) broke('cut');
        },
      };
    },
    open: () => state !== 'closed',
    close: closed,
  };
};

export const link = { connect: clientOf };
