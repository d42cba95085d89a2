// connection: framed devalue between siblings; ask, tell, and polite rejection of foreign protocol marks (§3.1).
import { parse, stringify } from 'devalue';
import { fault, us, type Runtime, type Place, type Us } from '@thornsail/runtime';
import type { Shape } from './shape.js';

export { shape, type Shape } from './shape.js';

/** The protocol mark this build speaks, and the oldest it still understands (§3.4). */
export const protocol = { mark: 1, oldest: 1 };

type Frame = { p: number; k: 'tell' | 'ask' | 'result' | 'fault'; t: string; n: string; b: unknown };
export type Rpc = {
  at: Place;
  tell: (to: Place, kind: string, body: unknown) => void;
  /** The same to several, encoded once. */
  tellAll: (tos: readonly Place[], kind: string, body: unknown) => void;
  ask: <T>(to: Place, kind: string, body: unknown, timeLeft?: Us) => Promise<T>;
  /** The same ask to several, encoded once; one result for each, in their order. */
  askAll: <T>(tos: Place[], kind: string, body: unknown, timeLeft?: Us) => Promise<T>[];
  /** A body that has not this shape is refused before `fn` sees it. */
  on: <B>(kind: string, ok: Shape, fn: (body: B, from: Place) => unknown) => void;
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
  open: async (runtime: Runtime, at: Place): Promise<Rpc> => {
    const log = runtime.log('pipe');
    const handlers = new Map<string, (body: unknown, from: Place) => unknown>();
    // Results come over the sibling's own connection, so one for this place's former process may still be on its way:
    // the numbers of two processes must never meet.
    const self = runtime.rand.id().slice(0, 10);
    /** By the ask's number and the place that was asked: one ask may go to several. */
    const open = new Map<string, { done: (v: unknown) => void; fail: (e: Error) => void; to: Place; kind: string }>();
    let n = 0;
    const c = { sent: 0, got: 0 };
    let closed = false;
    const encode = (f: Omit<Frame, 'p'>): string => stringify({ p: protocol.mark, ...f });
    const sendText = (to: Place, text: string): void => {
      if (closed) return;
      c.sent += 1;
      frames.send(to, text);
    };
    const send = (to: Place, f: Omit<Frame, 'p'>): void => {
      if (!closed) sendText(to, encode(f));
    };
    const settle = (from: Place, f: Frame): void => {
      const id = `${f.n} ${from}`;
      const w = open.get(id);
      if (!w) return;
      open.delete(id);
      if (f.k === 'result') w.done(f.b);
      else w.fail(fault.make({ step: w.kind, sibling: from, code: 'remote' }, String(f.b)));
    };
    const rejectFrame = (from: Place, f: Frame, text: string): void => {
      if (f.k === 'ask') send(from, { k: 'fault', t: f.t, n: f.n, b: text });
    };
    const serve = (from: Place, f: Frame): void => {
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
    const got = (from: Place, text: string): boolean => {
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
    const bad = (from: Place, why: string): void => log(`broke off the connection from ${from}: ${why}.`);
    /**
     * A broken connection ends the asks that went over it at once, with their outcome unknown, instead of at their
     * limit.
     */
    const down = (to: Place): void => {
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
    const wait = <T>(to: Place, kind: string, id: string, timeLeft: Us): Promise<T> =>
      new Promise((done, fail) => {
        const stop = runtime.clock.tick(timeLeft, () => {
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
    const askAll = <T>(tos: Place[], kind: string, body: unknown, timeLeft: Us = us.ms(500)): Promise<T>[] => {
      const id = `${self}.${++n}`;
      let text: string | undefined;
      const one = async (to: Place): Promise<T> => {
        if (to === frames.at) return askHere<T>(kind, body);
        text ??= encode({ k: 'ask', t: kind, n: id, b: body });
        const result = wait<T>(to, kind, `${id} ${to}`, timeLeft);
        sendText(to, text);
        return result;
      };
      return tos.map(one);
    };
    const tellAll = (tos: readonly Place[], kind: string, body: unknown): void => {
      if (closed) return;
      let text: string | undefined;
      for (const to of tos)
        if (to === frames.at) void Promise.resolve().then(() => handlers.get(kind)?.(parse(stringify(body)), to));
        else sendText(to, (text ??= encode({ k: 'tell', t: kind, n: '', b: body })));
    };
    return {
      at: frames.at,
      tell: (to, kind, body) => tellAll([to], kind, body),
      tellAll,
      ask: <T>(to: Place, kind: string, body: unknown, timeLeft?: Us) => askAll<T>([to], kind, body, timeLeft)[0]!,
      askAll,
      on: (kind, ok, fn) =>
        void handlers.set(kind, (body, from) => {
          if (ok(body)) return (fn as (body: unknown, from: Place) => unknown)(body, from);
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
