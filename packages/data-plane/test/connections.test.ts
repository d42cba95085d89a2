// Which connection to a worker is used again, and which is closed (§5.8).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type HttpConnection, type Runtime, type Net } from '@thornsail/runtime';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { connections, type Connections, type Lease } from '../src/forward/connections.js';

type Opened = HttpConnection & { at: string; closed: () => boolean };
const bench = (): { pool: Connections; opened: Opened[]; pass: (t: number) => void } => {
  let now = 0;
  const opened: Opened[] = [];
  const connect: Net['connectHttp'] = (at) => {
    let up = true;
    const one: Opened = {
      at,
      exchange: () => ({ pause: () => undefined, resume: () => undefined, abort: () => undefined }),
      isOpen: () => up,
      close: () => void (up = false),
      closed: () => !up,
    };
    opened.push(one);
    return one;
  };
  const runtime = { clock: { now: () => now }, net: { connectHttp: connect } } as unknown as Runtime;
  return { pool: connections.open(runtime), opened, pass: (t) => void (now += t) };
};
const workerOf = (id: string, at = '10.0.0.1:80'): WorkerEntry => ({ id, at }) as WorkerEntry;
const take = (pool: Connections, id = 'w1'): Lease => pool.take(workerOf(id), 4)!;

test('a connection is used again after a whole answer, and not after anything else', () => {
  const { pool, opened } = bench();
  take(pool).done(null);
  take(pool).spoilt();
  assert.is(opened.length, 1);
  assert.ok(opened[0]!.closed());
  assert.not.ok(take(pool).reused);
});
test('it is not used shortly before its worker closes it', () => {
  const { pool, opened, pass } = bench();
  take(pool).done(2);
  pass(duration.s(1.7));
  assert.not.ok(take(pool).reused);
  assert.ok(opened[0]!.closed());
});
test('another life of a worker at the same address gets none of the former connections', () => {
  const { pool, opened } = bench();
  take(pool, 'w1').done(null);
  const next = take(pool, 'w2');
  assert.not.ok(next.reused);
  pool.retain(new Set(['w2']));
  assert.ok(opened[0]!.closed());
  assert.not.ok(opened[1]!.closed());
});
test('one that was at work while its worker left the list is closed behind its answer', () => {
  const { pool, opened } = bench();
  const lease = take(pool);
  pool.retain(new Set());
  assert.not.ok(opened[0]!.closed(), 'its exchange goes on');
  lease.done(null);
  assert.ok(opened[0]!.closed());
});
test('what is in use still counts when a worker is back on the list', () => {
  const { pool } = bench();
  for (let i = 0; i < 4; i++) take(pool);
  pool.retain(new Set());
  pool.retain(new Set(['w1']));
  assert.is(pool.take(workerOf('w1'), 4), undefined);
});
test('one that was at work at the end is closed behind its answer', () => {
  const { pool, opened } = bench();
  const lease = take(pool);
  pool.close();
  lease.done(null);
  assert.ok(opened[0]!.closed());
});
test.run();
