// Reuse and closing of connections to workers (§5.8).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type HttpConnection, type Runtime, type Net } from '@thornsail/runtime';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { connections, type Connections, type Lease } from '../src/forward/connections.js';

type Opened = HttpConnection & { at: string; closed: () => boolean };
/** A pool over fake connections and a fake clock; `advance` moves the clock forward. */
const openPool = (): { pool: Connections; opened: Opened[]; advance: (time: number) => void } => {
  let now = 0;
  const opened: Opened[] = [];
  const connect: Net['connectHttp'] = (at) => {
    let isOpen = true;
    const connection: Opened = {
      at,
      exchange: () => ({ pause: () => undefined, resume: () => undefined, abort: () => undefined }),
      isOpen: () => isOpen,
      close: () => void (isOpen = false),
      closed: () => !isOpen,
    };
    opened.push(connection);
    return connection;
  };
  const runtime = { clock: { now: () => now }, net: { connectHttp: connect } } as unknown as Runtime;
  return { pool: connections.open(runtime), opened, advance: (time) => void (now += time) };
};
const workerOf = (id: string, at = '10.0.0.1:80'): WorkerEntry => ({ id, at }) as WorkerEntry;
const take = (pool: Connections, id = 'w1'): Lease => pool.acquire(workerOf(id), 4)!;

test('a connection is reused only after a complete response', () => {
  const { pool, opened } = openPool();
  take(pool).done(null);
  take(pool).discard();
  assert.is(opened.length, 1);
  assert.ok(opened[0]!.closed());
  assert.not.ok(take(pool).reused);
});
test('a connection is not reused shortly before its worker closes it', () => {
  const { pool, opened, advance } = openPool();
  take(pool).done(2);
  advance(duration.s(1.7));
  assert.not.ok(take(pool).reused);
  assert.ok(opened[0]!.closed());
});
test('a new incarnation of a worker at the same address does not get connections of the previous one', () => {
  const { pool, opened } = openPool();
  take(pool, 'w1').done(null);
  const next = take(pool, 'w2');
  assert.not.ok(next.reused);
  pool.retain(new Set(['w2']));
  assert.ok(opened[0]!.closed());
  assert.not.ok(opened[1]!.closed());
});
test('a connection in use when its worker leaves the list is closed after its response', () => {
  const { pool, opened } = openPool();
  const lease = take(pool);
  pool.retain(new Set());
  assert.not.ok(opened[0]!.closed(), 'its exchange continues');
  lease.done(null);
  assert.ok(opened[0]!.closed());
});
test('connections in use still count towards the limit when a worker returns to the list', () => {
  const { pool } = openPool();
  for (let i = 0; i < 4; i++) take(pool);
  pool.retain(new Set());
  pool.retain(new Set(['w1']));
  assert.is(pool.acquire(workerOf('w1'), 4), undefined);
});
test('a connection in use when the pool is closed is closed after its response', () => {
  const { pool, opened } = openPool();
  const lease = take(pool);
  pool.close();
  lease.done(null);
  assert.ok(opened[0]!.closed());
});
test.run();
