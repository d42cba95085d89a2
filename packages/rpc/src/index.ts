// connection: framed devalue between siblings; ask, tell, and polite rejection of foreign protocol marks (§3.1).
import { parse, stringify } from 'devalue';
import { fault, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import type { Validator } from './validate.js';

export { validate, type Validator } from './validate.js';

/** The protocol mark this build speaks, and the oldest it still understands (§3.4). */
export const protocol = { mark: 1, oldest: 1 };

type Frame = { p: number; k: 'tell' | 'ask' | 'result' | 'fault'; t: string; n: string; b: unknown };
export type Rpc = {
  at: Address;
  notify: (to: Address, kind: string, body: unknown) => void;
  /** The same to several, encoded once. */
  notifyAll: (tos: readonly Address[], kind: string, body: unknown) => void;
  request: <T>(to: Address, kind: string, body: unknown, timeLeft?: Microseconds) => Promise<T>;
  /** The same ask to several, encoded once; one result for each, in their order. */
  requestAll: <T>(tos: Address[], kind: string, body: unknown, timeLeft?: Microseconds) => Promise<T>[];
  /** A body that has not this shape is refused before `fn` sees it. */
  on: <B>(kind: string, ok: Validator, fn: (body: B, from: Address) => unknown) => void;
  counts: () => { sent: number; got: number };
  close: () => Promise<void>;
};

/** A frame by its shape, or nothing: what comes over a connection may be damaged. */
const read = (text: string): Frame | undefined => {
  try {
    const f = parse(text) as Frame | null;
    const kinds = ['tell', 'ask', 'result', 'fault'];
    const ok = f && Number.isInteger(f.p) && kinds.includes(f.k) && typeof f.t === 'string' && typeof f.n === 'string';
    return ok ? f : undefined;
  } catch {
    return undefined;
  }
};

export const rpc = {
  open: async (runtime: Runtime, at: Address): Promise<Rpc> => {
    const log = runtime.log('pipe');
    const handlers = new Map<string, (body: unknown, from: Address) => unknown>();
    // Results come over the sibling's own connection, so one for this place's former process may still be on its way:
    // the numbers of two processes must never meet.
    const self = runtime.rand.id().slice(0, 10);
    /** By the ask's number and the place that was asked: one ask may go to several. */
    const open = new Map<string, { done: (v: unknown) => void; fail: (e: Error) => void; to: Address; kind: string }>();
    let n = 0;
    const c = { sent: 0, got: 0 };
    let closed = false;
    const encode = (f: Omit<Frame, 'p'>): string => stringify({ p: protocol.mark, ...f });
    const sendText = (to: Address, text: string): void => {
      if (closed) return;
      c.sent += 1;
      frames.send(to, text);
    };
    const send = (to: Address, f: Omit<Frame, 'p'>): void => {
      if (!closed) sendText(to, encode(f));
    };
    const settle = (from: Address, f: Frame): void => {
      const id = `${f.n} ${from}`;
      const w = open.get(id);
      if (!w) return;
      open.delete(id);
      if (f.k === 'result') w.done(f.b);
      else w.fail(fault.make({ step: w.kind, sibling: from, code: 'remote' }, String(f.b)));
    };
    const rejectFrame = (from: Address, f: Frame, text: string): void => {
      if (f.k === 'ask') send(from, { k: 'fault', t: f.t, n: f.n, b: text });
    };
    const serve = (from: Address, f: Frame): void => {
      const h = handlers.get(f.t);
      if (!h) return rejectFrame(from, f, `no such message: ${f.t}`);
      const run = Promise.resolve().then(() => h(f.b, from));
      if (f.k === 'tell') return void run.catch((e) => log(`${f.t} from ${from} failed: ${fault.text(e)}.`));
      run.then(
        (b) => send(from, { k: 'result', t: f.t, n: f.n, b }),
        (e) => send(from, { k: 'fault', t: f.t, n: f.n, b: fault.text(e) }),
      );
    };
    /** False if the frame cannot be read; its connection is broken off then. */
    const got = (from: Address, text: string): boolean => {
      if (closed) return true;
      c.got += 1;
      const f = read(text);
      if (!f) return false;
      if (f.k === 'result' || f.k === 'fault') settle(from, f);
      else if (f.p < protocol.oldest || f.p > protocol.mark) {
        log(`rejected protocol mark ${f.p} from ${from}.`);
        rejectFrame(from, f, `protocol mark ${f.p} is not spoken here (${protocol.oldest} to ${protocol.mark})`);
      } else serve(from, f);
      return true;
    };
    const bad = (from: Address, why: string): void => log(`broke off the connection from ${from}: ${why}.`);
    /**
     * A broken connection ends the asks that went over it at once, with their outcome unknown, instead of at their
     * limit.
     */
    const down = (to: Address): void => {
      for (const [id, w] of open)
        if (w.to === to) {
          open.delete(id);
          w.fail(fault.make({ step: w.kind, sibling: to, code: 'down' }, 'the connection broke'));
        }
    };
    const frames = await runtime.net.frames(at, got, down, bad);
    const askHere = async <T>(kind: string, body: unknown): Promise<T> => {
      await undefined;
      const h = handlers.get(kind);
      if (!h) throw fault.make({ step: kind, sibling: frames.at }, 'no such message');
      return (await h(parse(stringify(body)), frames.at)) as T;
    };
    const wait = <T>(to: Address, kind: string, id: string, timeLeft: Microseconds): Promise<T> =>
      new Promise((done, fail) => {
        const stop = runtime.clock.schedule(timeLeft, () => {
          open.delete(id);
          fail(fault.make({ step: kind, sibling: to, code: 'late' }, 'no result in time'));
        });
        open.set(id, {
          to,
          kind,
          done: (v) => {
            stop();
            done(v as T);
          },
          fail: (e) => {
            stop();
            fail(e);
          },
        });
      });
    const askAll = <T>(
      tos: Address[],
      kind: string,
      body: unknown,
      timeLeft: Microseconds = duration.ms(500),
    ): Promise<T>[] => {
      const id = `${self}.${++n}`;
      let text: string | undefined;
      const one = async (to: Address): Promise<T> => {
        if (to === frames.at) return askHere<T>(kind, body);
        text ??= encode({ k: 'ask', t: kind, n: id, b: body });
        const result = wait<T>(to, kind, `${id} ${to}`, timeLeft);
        sendText(to, text);
        return result;
      };
      return tos.map(one);
    };
    const tellAll = (tos: readonly Address[], kind: string, body: unknown): void => {
      if (closed) return;
      let text: string | undefined;
      for (const to of tos)
        if (to === frames.at) void Promise.resolve().then(() => handlers.get(kind)?.(parse(stringify(body)), to));
        else sendText(to, (text ??= encode({ k: 'tell', t: kind, n: '', b: body })));
    };
    return {
      at: frames.at,
      notify: (to, kind, body) => tellAll([to], kind, body),
      notifyAll: tellAll,
      request: <T>(to: Address, kind: string, body: unknown, timeLeft?: Microseconds) =>
        askAll<T>([to], kind, body, timeLeft)[0]!,
      requestAll: askAll,
      on: (kind, ok, fn) =>
        void handlers.set(kind, (body, from) => {
          if (ok(body)) return (fn as (body: unknown, from: Address) => unknown)(body, from);
          throw fault.make({ step: kind, sibling: from, code: 'malformed' }, 'a message of another shape');
        }),
      counts: () => ({ ...c }),
      close: async () => {
        closed = true;
        await frames.close();
      },
    };
  },
};
