// the simulator: one process, injected clock, network, disk and random source; the real role code runs on top (§9.2).
// The same seed gives the same events in the same order, folded into a trace hash.
import {
  fault,
  address,
  seeded,
  duration,
  type FrameTransport,
  type HttpRequest,
  type HttpClientRequest,
  type HttpHandler,
  type HttpClientResponse,
  type HttpResponseWriter,
  type Runtime,
  type Net,
  type Address,
  type Random,
  type Microseconds,
} from '@thornsail/runtime';
import type { Wire, WireHandler } from '@thornsail/test-harness';
import { simulatedDisk, type DiskGround, type DiskState } from './disk.js';
import { link, type Ground, type Served } from './link.js';

type Ev = { at: Microseconds; n: number; host: Host | null; inc: number; fn: () => void };
export type Host = {
  ip: string;
  zone: string;
  alive: boolean;
  poweredOff: boolean;
  incarnation: number;
  frozen: boolean;
  deferred: Ev[];
  files: Map<string, string>;
  disk: DiskState;
  skew: Microseconds;
  frames: Map<
    Address,
    { got: (from: Address, text: string) => boolean; down: (to: Address) => void; to: Set<Address> }
  >;
  http: Map<Address, Served>;
  /** Connections that this host has a part in; told when its process ends, or that it fell silent. */
  connections: Set<(silent: boolean) => void>;
};
export type World = {
  rand: Random;
  now: () => Microseconds;
  hash: () => string;
  events: () => number;
  syncs: () => number;
  frames: () => number;
  /** Bytes of frames between zones. */
  zoneBytes: () => number;
  httpCalls: () => number;
  /** A process of its own; several may share a machine's address. */
  host: (ip: string, zone: string) => Host;
  runtime: (h: Host) => Runtime;
  /** Servers on this host that may misbehave. */
  wire: (h: Host) => Wire;
  run: (until: Microseconds) => Promise<void>;
  scheduleAt: (at: Microseconds, fn: () => void) => void;
  kill: (h: Host, how: 'process' | 'power' | 'disk') => void;
  start: (h: Host) => void;
  freeze: (h: Host) => void;
  thaw: (h: Host) => void;
  /** Cuts all traffic between two sets of hosts; returns how to heal it. */
  partition: (a: Host[], b: Host[]) => () => void;
  /** Cuts what goes from one set of hosts to another, and not what comes back. */
  partitionOneWay: (from: Host[], to: Host[]) => () => void;
  slow: (by: Microseconds) => void;
  /** Frames get lost with this chance, come twice with half of it, and overtake one another by up to `jumble`. */
  rough: (loss: number, jumble: Microseconds) => void;
  /** Whether frames that a cut holds up arrive once it is over, as TCP sends them again, instead of being lost. */
  holdFrames: (on: boolean) => void;
  onLog: (fn: (at: Microseconds, ip: string, part: string, text: string) => void) => void;
};
const base = 1_790_000_000_000_000;

/** A request, its body as bytes. */
type BytesCall = Omit<HttpClientRequest, 'body' | 'headers'> & {
  body?: string | Uint8Array;
  headers?: Record<string, string>;
  rawHeaders?: readonly string[];
};
type BytesResult = Omit<HttpClientResponse, 'body'> & { body: AsyncIterable<Uint8Array> };
type CallBytes = (req: BytesCall) => Promise<BytesResult>;

const bytesOf = (piece: string | Uint8Array): Uint8Array =>
  typeof piece === 'string' ? Buffer.from(piece, 'utf8') : piece;
const textOf = async function* (body: AsyncIterable<Uint8Array>): AsyncIterable<string> {
  const dec = new TextDecoder();
  for await (const b of body) yield dec.decode(b, { stream: true });
  const rest = dec.decode();
  if (rest) yield rest;
};
const tableOf = (headers: Record<string, string> | readonly string[]): Record<string, string> =>
  Object.fromEntries(
    (Array.isArray(headers)
      ? Array.from({ length: headers.length / 2 }, (_, i) => [headers[2 * i]!, headers[2 * i + 1]!] as const)
      : Object.entries(headers)
    ).map(([k, v]) => [k.toLowerCase(), v]),
  );
const askOf = (req: BytesCall): HttpRequest => {
  const u = new URL(req.path, 'http://x');
  const bytes = bytesOf(req.body ?? '');
  const rawHeaders = req.rawHeaders ?? Object.entries(req.headers ?? {}).flat();
  return {
    method: req.method,
    path: u.pathname,
    query: Object.fromEntries(u.searchParams),
    target: req.path,
    headers: tableOf(rawHeaders),
    rawHeaders,
    bytes,
    body: Buffer.from(bytes).toString('utf8'),
    tooBig: false,
  };
};
export const world = {
  open: (o: {
    seed: number;
    zoneDelay: Microseconds;
    clientDelay: Microseconds;
    clientIp: string;
    diskTime?: Microseconds;
  }): World => {
    const rand = seeded(o.seed);
    const heap: Ev[] = [];
    let n = 0;
    let now: Microseconds = 0;
    let trace = 0x811c9dc5;
    let events = 0;
    const c = { syncs: 0, frames: 0, bytes: 0, http: 0 };
    let extra = 0;
    let loss = 0;
    let jumble = 0;
    let holding = false;
    let logger: (at: Microseconds, ip: string, part: string, text: string) => void = () => undefined;
    const hosts = new Map<string, Host>();
    const processes = new Set<Host>();
    /** By place, once something has listened there. */
    const bound = new Map<Address, Host>();
    const cuts = new Set<{ a: Set<Host>; b: Set<Host>; oneWay: boolean }>();
    let heals: (() => void)[] = [];
    const fold = (s: string): void => {
      for (let i = 0; i < s.length; i++) trace = Math.imul(trace ^ s.charCodeAt(i), 0x01000193) >>> 0;
    };

    const less = (a: Ev, b: Ev): boolean => a.at < b.at || (a.at === b.at && a.n < b.n);
    const push = (e: Ev): void => {
      heap.push(e);
      let i = heap.length - 1;
      while (i > 0) {
        const p = (i - 1) >> 1;
        if (!less(heap[i]!, heap[p]!)) break;
        [heap[i], heap[p]] = [heap[p]!, heap[i]!];
        i = p;
      }
    };
    const pop = (): Ev => {
      const top = heap[0]!;
      const last = heap.pop()!;
      if (heap.length) {
        heap[0] = last;
        let i = 0;
        for (;;) {
          let m = i;
          for (const k of [2 * i + 1, 2 * i + 2]) if (k < heap.length && less(heap[k]!, heap[m]!)) m = k;
          if (m === i) break;
          [heap[i], heap[m]] = [heap[m]!, heap[i]!];
          i = m;
        }
      }
      return top;
    };
    const later = (after: Microseconds, host: Host | null, fn: () => void): Ev => {
      const e = { at: now + Math.max(0, Math.round(after)), n: n++, host, inc: host?.incarnation ?? 0, fn };
      push(e);
      return e;
    };
    const drain = (): Promise<void> =>
      new Promise((fin) => {
        setImmediate(fin);
      });

    /** Whether what goes from one host to another is held up. */
    const severed = (a: Host, b: Host): boolean => {
      for (const x of cuts) if ((x.a.has(a) && x.b.has(b)) || (!x.oneWay && x.a.has(b) && x.b.has(a))) return true;
      return false;
    };
    const cutting = (a: Host[], b: Host[], oneWay: boolean): (() => void) => {
      const x = { a: new Set(a), b: new Set(b), oneWay };
      cuts.add(x);
      return () => {
        cuts.delete(x);
        const all = heals;
        heals = [];
        for (const fn of all) fn();
      };
    };
    const delay = (a: Host, b: Host): Microseconds => {
      if (a === b) return 20;
      const d = a.ip === o.clientIp || b.ip === o.clientIp ? o.clientDelay : a.zone === b.zone ? 120 : o.zoneDelay;
      return d + rand.int(Math.max(1, Math.round(d * 0.3))) + extra;
    };
    const order = new Map<string, Microseconds>();
    /** Delivery in order between two hosts, as over one TCP connection. */
    const deliver = (a: Host, b: Host, fn: () => void): void => {
      const key = `${a.ip}>${b.ip}`;
      const at = Math.max(now + delay(a, b), (order.get(key) ?? 0) + 1);
      order.set(key, at);
      later(at - now, b, fn);
    };
    const hostOf = (p: Address): Host | undefined => bound.get(p) ?? hosts.get(address.host(p));
    const listens = (
      h: Host,
      at: Address,
      x: Omit<Served, 'room'>,
      most = Infinity,
    ): { at: Address; close: () => Promise<void> } => {
      if (h.http.has(at)) throw fault.make({ step: 'http.bind', sibling: at }, 'address in use');
      let open = 0;
      const room = (by: 1 | -1): boolean => (open += by) <= most;
      h.http.set(at, { ...x, room });
      bound.set(at, h);
      const inc = h.incarnation;
      return {
        at,
        close: async () => {
          if (h.incarnation === inc) h.http.delete(at);
        },
      };
    };
    const ground: Ground = {
      rand,
      later,
      deliver: (a, b, fn) => deliver(a, b, fn),
      delay: (a, b) => delay(a, b),
      severed,
      hostOf: (at) => hostOf(at),
      onHeal: (fn) => void heals.push(fn),
      tableOf,
      askOf: (x) => {
        c.http += 1;
        fold(`${x.method}${x.target}`);
        return askOf({
          at: '',
          method: x.method,
          path: x.target,
          rawHeaders: x.headers,
          timeLeft: 0,
          body: x.body ?? '',
        });
      },
    };

    const netOf = (h: Host, callBytes: CallBytes): Net => ({
      frames: async (at, onFrame, onDown): Promise<FrameTransport> => {
        if (h.frames.has(at)) throw fault.make({ step: 'frames.bind', sibling: at }, 'address in use');
        const mine = { got: onFrame, down: onDown ?? ((): void => undefined), to: new Set<Address>() };
        h.frames.set(at, mine);
        bound.set(at, h);
        const inc = h.incarnation;
        return {
          at,
          send: (to, text) => {
            const t = hostOf(to);
            if (!t || h.incarnation !== inc || !h.alive) return;
            c.frames += 1;
            if (t.zone !== h.zone) c.bytes += Buffer.byteLength(text);
            mine.to.add(to);
            // Nobody listens there: the connection does not come up. (A cut is silent.)
            if (!t.frames.has(to) && !t.poweredOff && !severed(h, t)) {
              later(delay(h, t) * 2, h, () => mine.down(to));
              return;
            }
            if (!severed(h, t) && loss > 0 && rand.next() < loss) return;
            const send =
              jumble > 0
                ? (fn: () => void): void => void later(delay(h, t) + rand.int(jumble), t, fn)
                : (fn: () => void): void => deliver(h, t, fn);
            const resend = (): void => {
              if (h.incarnation === inc) later(rand.int(duration.ms(300)), null, () => send(arrive));
            };
            const arrive = (): void => {
              if (severed(h, t)) return holding ? void heals.push(resend) : undefined;
              fold(text.length > 64 ? text.slice(0, 64) : text);
              t.frames.get(to)?.got(at, text);
            };
            if (severed(h, t)) return holding ? void heals.push(resend) : undefined;
            send(arrive);
            if (loss > 0 && rand.next() < loss / 2) send(arrive);
          },
          close: async () => {
            if (h.incarnation === inc) h.frames.delete(at);
          },
        };
      },
      serve: async (at, handler, limits) => {
        const idleFor = (): Microseconds =>
          (typeof limits === 'number' ? undefined : limits.idleFor?.()) ?? duration.s(5);
        return listens(h, at, { handler, wire: handler, idleFor });
      },
      call: async (req: HttpClientRequest) => {
        const r = await callBytes(req);
        return { ...r, body: textOf(r.body) };
      },
      connect: (at, o) => link.connect(ground, h, at, o),
    });
    const callerOf =
      (h: Host): CallBytes =>
      (req) =>
        new Promise<BytesResult>((done, fail) => {
          c.http += 1;
          const t = hostOf(req.at);
          let phase: 'connect' | 'sent' | 'head' | 'end' = 'connect';
          const err = (sent: boolean, code: string): Error =>
            fault.make({ step: 'http.call', sibling: req.at, sent, code }, code);
          const rejectCall = (): void => {
            if (phase === 'connect') {
              phase = 'end';
              fail(err(false, 'ECONNREFUSED'));
            }
          };
          if (!t) {
            later(duration.ms(1), h, rejectCall);
            return;
          }
          later(duration.ms(800), h, () => {
            if (phase === 'connect') {
              phase = 'end';
              fail(err(false, 'UND_ERR_CONNECT_TIMEOUT'));
            }
          });
          later(req.timeLeft, h, () => {
            if (phase === 'connect' || phase === 'sent') {
              const was = phase;
              phase = 'end';
              goneNow();
              fail(err(was === 'sent', 'late'));
            }
          });
          // The body: pieces in order, then an end or a break.
          const pieces: Uint8Array[] = [];
          let over: 'end' | 'cut' | null = null;
          let wakeUp: (() => void) | null = null;
          const nudge = (): void => {
            const w = wakeUp;
            wakeUp = null;
            w?.();
          };
          let goneFns: (() => void)[] = [];
          let isGone = false;
          let buffered = 0;
          let drainFns: (() => void)[] = [];
          const goneNow = (): void => {
            h.connections.delete(mine);
            if (isGone) return;
            if (!severed(h, t))
              later(delay(h, t), t, () => {
                isGone = true;
                const f = goneFns;
                goneFns = [];
                for (const g of f) g();
                const d = drainFns;
                drainFns = [];
                for (const x of d) x();
              });
          };
          const broke = (): void => {
            if (phase === 'end') return;
            if (phase === 'sent') {
              phase = 'end';
              fail(err(true, 'ECONNRESET'));
              return;
            }
            if (phase === 'connect') {
              rejectCall();
              return;
            }
            if (over === null) {
              over = 'cut';
              nudge();
            }
          };
          let powerLost = false;
          /** The other process ended: the connection breaks behind what it wrote; with its power that is lost too. */
          const theirs = (silent: boolean): void => {
            if (silent) powerLost = true;
            else if (!severed(t, h)) deliver(t, h, () => void (h.incarnation === hInc && broke()));
          };
          /** This side's process ended. */
          const mine = (silent: boolean): void => {
            phase = 'end';
            if (!silent && !severed(h, t))
              later(delay(h, t), t, () => {
                isGone = true;
                const f = goneFns;
                goneFns = [];
                for (const g of f) g();
              });
          };
          h.connections.add(mine);
          const say: HttpResponseWriter = {
            head: (status, headers) =>
              toCaller(() => {
                if (phase !== 'sent') return;
                phase = 'head';
                done({
                  status,
                  headers: tableOf(headers),
                  body: body(),
                  cut: () => {
                    if (phase !== 'end') {
                      phase = 'end';
                      over ??= 'cut';
                      goneNow();
                      nudge();
                    }
                  },
                });
              }),
            write: (piece) => {
              const bytes = bytesOf(piece);
              buffered += bytes.length;
              toCaller(() => {
                pieces.push(bytes);
                nudge();
              });
              return buffered < 65_536;
            },
            drained: () =>
              new Promise((fin) => {
                if (buffered < 65_536 || isGone) fin();
                else drainFns.push(fin);
              }),
            end: (piece) => {
              if (piece !== undefined)
                toCaller(() => {
                  pieces.push(bytesOf(piece));
                });
              toCaller(() => {
                t.connections.delete(theirs);
                if (over === null) {
                  over = 'end';
                  nudge();
                }
              });
            },
            cut: () => {
              isGone = true;
              toCaller(() => {
                t.connections.delete(theirs);
                broke();
              });
            },
            gone: () => isGone,
            onGone: (fn) => {
              if (isGone) fn();
              else goneFns.push(fn);
            },
          };
          // A connection belongs to two processes: what either host runs after a restart is not its end any more.
          const [hInc, tInc] = [h.incarnation, t.incarnation];
          const same = (): boolean => h.incarnation === hInc && t.incarnation === tInc;
          const toCaller = (fn: () => void): void => {
            if (severed(t, h) || !same()) return;
            deliver(t, h, () => {
              // The system still sends what a process wrote before it ended.
              if (!severed(t, h) && h.incarnation === hInc && !powerLost) fn();
            });
          };
          const silence = req.silence ?? duration.s(30);
          const body = async function* (): AsyncIterable<Uint8Array> {
            try {
              for (;;) {
                if (pieces.length) {
                  const p = pieces.shift()!;
                  buffered -= p.length;
                  if (buffered < 32_768 && drainFns.length) {
                    const d = drainFns;
                    drainFns = [];
                    later(delay(h, t), t, () => {
                      for (const x of d) x();
                    });
                  }
                  yield p;
                  continue;
                }
                if (over === 'end') {
                  phase = 'end';
                  return;
                }
                if (over === 'cut') throw fault.make({ step: 'http.body', sibling: req.at, sent: true }, 'broken off');
                const quiet = await new Promise<boolean>((fin) => {
                  let off = false;
                  wakeUp = () => {
                    off = true;
                    fin(false);
                  };
                  later(silence, h, () => {
                    if (!off) fin(true);
                  });
                });
                if (quiet) throw fault.make({ step: 'http.body', sibling: req.at, sent: true }, 'silence');
              }
            } finally {
              if (phase !== 'end') {
                phase = 'end';
                goneNow();
              }
              h.connections.delete(mine);
            }
          };
          if (severed(h, t)) return;
          deliver(h, t, () => {
            if (severed(h, t)) return;
            const handler = t.http.get(req.at)?.handler;
            if (!handler) {
              toCaller(rejectCall);
              return;
            }
            // The connection is open; the request itself follows.
            if (phase !== 'connect') return;
            phase = 'sent';
            t.connections.add(theirs);
            const ask = askOf(req);
            fold(`${req.method}${req.path}`);
            Promise.resolve()
              .then(() => handler(ask, say))
              .catch(() => say.cut());
          });
          if (!t.alive && !t.poweredOff) later(delay(h, t) * 2, h, rejectCall);
        });

    const diskGround: DiskGround<Host> = {
      rand,
      now: () => now,
      later,
      syncTime: o.diskTime ?? simulatedDisk.usualSyncTime,
      onSync: () => void (c.syncs += 1),
    };

    return {
      rand,
      now: () => now,
      hash: () => trace.toString(16),
      events: () => events,
      syncs: () => c.syncs,
      frames: () => c.frames,
      zoneBytes: () => c.bytes,
      httpCalls: () => c.http,
      host: (ip, zone) => {
        const h: Host = {
          ip,
          zone,
          alive: true,
          poweredOff: false,
          incarnation: 1,
          frozen: false,
          deferred: [],
          files: new Map(),
          disk: simulatedDisk.state(),
          skew: 0,
          frames: new Map(),
          http: new Map(),
          connections: new Set(),
        };
        hosts.set(ip, h);
        processes.add(h);
        return h;
      },
      runtime: (h) => {
        const r = seeded(rand.int(2 ** 31));
        return {
          clock: {
            now: () => now,
            wall: () => base + now + h.skew,
            schedule: (after, fn) => {
              let off = false;
              later(after, h, () => {
                if (!off) fn();
              });
              return () => {
                off = true;
              };
            },
          },
          rand: r,
          disk: simulatedDisk.of(diskGround, h),
          net: netOf(h, callerOf(h)),
          log: (part) => (text) => logger(now, h.ip, part, text),
        };
      },
      run: async (until) => {
        // What was started from outside the world runs up to its first wait.
        await drain();
        while (heap.length && heap[0]!.at <= until) {
          const e = pop();
          now = e.at;
          if (e.host) {
            if (!e.host.alive || e.host.incarnation !== e.inc) continue;
            if (e.host.frozen) {
              e.host.deferred.push(e);
              continue;
            }
          }
          events += 1;
          trace = Math.imul(trace ^ (e.at & 0xffff) ^ (e.n & 0xffff), 0x01000193) >>> 0;
          e.fn();
          await drain();
        }
        now = until;
      },
      scheduleAt: (at, fn) => {
        later(at - now, null, fn);
      },
      kill: (h, how) => {
        // Connections to a process that ended break; after a loss of power nobody is there to say so.
        if (how === 'process')
          for (const place_ of h.frames.keys())
            for (const o2 of processes)
              for (const f of o2.frames.values())
                if (o2 !== h && f.to.has(place_) && !severed(o2, h)) later(delay(h, o2), o2, () => f.down(place_));
        h.alive = false;
        h.poweredOff = how !== 'process';
        h.incarnation += 1;
        h.frozen = false;
        h.deferred = [];
        h.frames.clear();
        h.http.clear();
        // A process that ends breaks its connections; without power they fall silent, until somebody asks the machine
        // again.
        const open = [...h.connections];
        h.connections.clear();
        for (const f of open) f(how !== 'process');
        simulatedDisk.end(rand, h, how);
      },
      start: (h) => {
        h.alive = true;
        h.poweredOff = false;
      },
      freeze: (h) => {
        h.frozen = true;
      },
      thaw: (h) => {
        h.frozen = false;
        const late = h.deferred.sort((a, b) => a.at - b.at || a.n - b.n);
        h.deferred = [];
        // Ticks and messages that came due during the freeze all run now, in their order.
        for (const e of late) if (e.inc === h.incarnation) later(0, h, e.fn);
      },
      wire: (h) => ({
        serve: async (at, handler: WireHandler, o2) => {
          const plain: HttpHandler = (ask, say) =>
            handler(ask, {
              ...say,
              garble: say.cut,
              reset: say.cut,
              surplus: () => undefined,
              unframed: () => undefined,
              forget: () => undefined,
            });
          return listens(h, at, { handler: plain, wire: handler, idleFor: () => o2.idleFor }, o2.connections);
        },
      }),
      partition: (a, b) => cutting(a, b, false),
      partitionOneWay: (from, to) => cutting(from, to, true),
      slow: (by) => {
        extra = by;
      },
      holdFrames: (on) => {
        holding = on;
      },
      rough: (l, j) => {
        loss = l;
        jumble = j;
      },
      onLog: (fn) => {
        logger = fn;
      },
    };
  },
};
