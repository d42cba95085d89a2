// One exchange with one worker (§5.7): what it sends is held against the attempt it was asked for, and nothing of it
// reaches the caller before that.
import type { WorkerEntry } from '@thornsail/load-balancer';
import {
  duration,
  type ExchangeControl,
  type HttpResponseWriter,
  type Runtime,
  type Microseconds,
} from '@thornsail/runtime';
import type { Lease } from './connections.js';
import type { Dialect, Incoming } from './dialect.js';
import { events, type StreamEvent } from './events.js';
import type { ForwardRequest } from './plan.js';

/**
 * `unsent`: nothing of it ran or will; `lost`: it may have run, and nothing was relayed; `cut`: broken off within;
 * `gone`: the caller went away; `answer`: a whole answer that is not a stream; `streamed`: a stream up to its end.
 */
export type Outcome =
  | { how: 'unsent'; why: string; worker: boolean }
  | { how: 'lost'; why: string }
  | { how: 'cut'; why: string }
  | { how: 'gone' }
  | { how: 'answer'; status: number; headers: string[]; body: Buffer; load: Incoming['load'] }
  | { how: 'streamed'; rest: Uint8Array };

/** What goes to the caller of a stream; the head waits for the first event. */
export type StreamSink = {
  head: (status: number, headers: string[]) => void;
  /** False: hold the worker back until `drained`. */
  event: (e: StreamEvent) => boolean;
  drained: () => Promise<void>;
};

/** A worker ends by itself at the time that it was given; so much later it is given up. */
const overrun = duration.ms(150);

export const exchange = {
  run: (o: {
    runtime: Runtime;
    lease: Lease;
    worker: WorkerEntry;
    dialect: Dialect;
    plan: ForwardRequest;
    body: Uint8Array;
    left: Microseconds;
    lastEvent: string | null;
    say: HttpResponseWriter;
    sink: StreamSink;
    /** The largest answer that is held whole. */
    most: number;
  }): Promise<Outcome> =>
    new Promise((done) => {
      const { runtime, lease, plan, dialect: d } = o;
      let sent = false;
      let over = false;
      let streaming = false;
      let head: { status: number; raw: readonly string[]; said: Incoming } | undefined;
      let size = 0;
      const parts: Uint8Array[] = [];
      const reader = events.reader();
      const finish = (x: Outcome, clean: boolean): void => {
        if (over) return;
        over = true;
        stopTimer();
        if (clean) lease.done(head?.said.keepAlive ?? null);
        else {
          lease.spoilt();
          control?.abort();
        }
        done(x);
      };
      const broken = (why: string): void =>
        finish(
          sent ? (streaming ? { how: 'cut', why } : { how: 'lost', why }) : { how: 'unsent', why, worker: true },
          false,
        );
      const stopTimer = runtime.clock.schedule(o.left + overrun, () => broken('its time ran out'));
      const onHead = (status: number, headers: Record<string, string>, raw: readonly string[]): void => {
        const said = d.incoming(plan, status, headers);
        if (!said.mine) return broken('an answer to another request');
        if (said.unsound) return broken('a success without its stamp');
        head = { status, raw, said };
        streaming = false;
      };
      const onEvents = (bytes: Uint8Array): void => {
        for (const e of reader.take(bytes)) {
          if (!streaming) {
            streaming = true;
            o.sink.head(head!.status, d.passed(head!.raw));
          }
          if (!o.sink.event(e)) {
            control?.pause();
            void o.sink.drained().then(() => control?.resume());
          }
        }
      };
      const isStream = (): boolean => plan.route.semantics === 'stream' && head!.said.success;
      const onData = (bytes: Uint8Array): void => {
        if (over || !head) return;
        if (isStream()) return onEvents(bytes);
        size += bytes.length;
        if (size > o.most) return broken('an answer that is too large');
        parts.push(bytes);
      };
      const onEnd = (): void => {
        if (!head) return broken('no answer');
        // Another worker at this address: the one that was meant is gone, and has not got it.
        const { notRun, wrongInstance } = head.said;
        if (notRun) return finish({ how: 'unsent', why: `status ${head.status}`, worker: wrongInstance }, true);
        if (isStream()) {
          if (!streaming) o.sink.head(head.status, d.passed(head.raw));
          streaming = true;
          return finish({ how: 'streamed', rest: reader.rest() }, true);
        }
        const headers = d.passed(head.raw);
        finish({ how: 'answer', status: head.status, headers, body: Buffer.concat(parts), load: head.said.load }, true);
      };
      const control: ExchangeControl | undefined = lease.connection.exchange(
        {
          method: plan.method,
          target: plan.target,
          headers: d.outgoing(plan, {
            instance: o.worker.id,
            left: o.left,
            lastEvent: o.lastEvent,
            length: o.body.length,
          }),
          body: o.body,
        },
        {
          onSent: () => {
            sent = true;
          },
          onHead: onHead,
          onData: onData,
          onEnd: onEnd,
          onError: (e) => broken(e.message),
        },
      );
      o.say.onClose(() => {
        // A keyed request goes on: its result is what a repeat gets.
        if (!over && plan.key === null) finish({ how: 'gone' }, false);
      });
    }),
};
