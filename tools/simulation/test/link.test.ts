// Kept connections: what a worker can do to one, alike on real sockets and in the simulator; and what only the
// simulator can bring about.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { world, type Host, type World } from '@thornsail/simulation';
import {
  real,
  time,
  duration,
  type HttpConnection,
  type Runtime,
  type Address,
  type Microseconds,
} from '@thornsail/runtime';
import { wire, type Wire, type WireHandler } from '@thornsail/test-harness';

type Got = { status: number; id: string; body: string; how: 'end' | 'fail'; sent: boolean };
const ask = (c: HttpConnection, path: string, timeLeft?: { runtime: Runtime; left: Microseconds }): Promise<Got> =>
  new Promise((done) => {
    const got: Got = { status: 0, id: '', body: '', how: 'end', sent: false };
    const control = c.exchange(
      { method: 'GET', target: path, headers: ['host', 'x'], body: null },
      {
        onSent: () => void (got.sent = true),
        onHead: (status, headers) => Object.assign(got, { status, id: headers['x-path'] ?? '' }),
        onData: (b) => void (got.body += Buffer.from(b).toString('latin1')),
        onEnd: () => done(got),
        onError: () => done({ ...got, how: 'fail' }),
      },
    );
    if (timeLeft) timeLeft.runtime.clock.schedule(timeLeft.left, control.abort);
  });

/** Does what the path says. */
const misbehaving =
  (runtime: Runtime): WireHandler =>
  async (request, say) => {
    const { path } = request;
    const head = ['x-path', path, ...(path === '/close' ? ['connection', 'close'] : [])];
    if (path === '/reset') return say.reset();
    if (path === '/lose') return say.abort();
    if (path === '/garble') return say.garble();
    if (path === '/hang') return;
    if (path === '/surplus') say.surplus(duration.ms(30), 200, ['x-path', 'surplus'], Buffer.from('more'));
    if (path.startsWith('/unframed')) say.unframed();
    if (path === '/forget') say.forget();
    if (path === '/slow') await time.sleep(runtime.clock, duration.ms(150));
    const noLength = path === '/within' || path.startsWith('/unframed');
    say.writeHead(200, [...head, ...(noLength ? [] : ['content-length', '2'])]);
    say.write(path === '/within' ? 'o' : 'ok');
    if (path === '/within') {
      await time.sleep(runtime.clock, duration.ms(20));
      return say.abort();
    }
    if (path === '/unframed-reset') {
      await time.sleep(runtime.clock, duration.ms(30));
      return say.reset();
    }
    say.end();
  };

type Place_ = {
  runtime: Runtime;
  at: Address;
  idleFor: Microseconds;
  connect: (onClosed?: () => void) => HttpConnection;
  sleep: (t: Microseconds) => Promise<void>;
};
const limits = { idleFor: duration.s(1), connections: 4 };
const connectWithin = duration.ms(500);
type Bench = (run: (p: Place_) => Promise<void>) => Promise<void>;

const onSockets: Bench = async (run) => {
  const runtime = real.runtime('/nonexistent');
  const server = await wire.real().serve('127.0.0.1:0', misbehaving(runtime), limits);
  const open: HttpConnection[] = [];
  const connect = (onClosed?: () => void): HttpConnection => {
    const c = runtime.net.connectHttp(server.at, { connectTimeout: connectWithin, ...(onClosed ? { onClosed } : {}) });
    open.push(c);
    return c;
  };
  try {
    await run({ runtime, at: server.at, idleFor: limits.idleFor, connect, sleep: (t) => time.sleep(runtime.clock, t) });
  } finally {
    for (const c of open) c.close();
    await server.close();
  }
};
type Sim = Place_ & { w: World; client: Host; server: Host; wire: Wire };
const simulated = async (seed: number, run: (p: Sim) => Promise<void>): Promise<void> => {
  const w = world.open({ seed, zoneDelay: duration.ms(2), clientDelay: duration.ms(1), clientIp: '10.9.0.1' });
  const [client, server] = [w.host('10.0.0.1', 'a'), w.host('10.0.0.2', 'b')];
  const [runtime, there] = [w.runtime(client), w.runtime(server)];
  const at = '10.0.0.2:80';
  await w.wire(server).serve(at, misbehaving(there), limits);
  let [done, failed] = [false, undefined as unknown];
  run({
    runtime,
    at,
    w,
    client,
    server,
    wire: w.wire(server),
    idleFor: limits.idleFor,
    connect: (onClosed) =>
      runtime.net.connectHttp(at, { connectTimeout: connectWithin, ...(onClosed ? { onClosed } : {}) }),
    sleep: (t) => time.sleep(runtime.clock, t),
  }).then(
    () => void (done = true),
    (e: unknown) => {
      failed = e;
      done = true;
    },
  );
  for (let i = 0; i < 400 && !done; i++) await w.run(w.now() + duration.ms(100));
  if (failed) throw failed as Error;
  assert.ok(done, 'it did not end');
};

const both: [string, Bench][] = [
  ['on sockets', onSockets],
  ['simulated', (run) => simulated(1, run)],
];
for (const [name, bench] of both) {
  test(`${name}: a connection serves one request after the other`, () =>
    bench(async (p) => {
      const c = p.connect();
      for (const path of ['/a', '/b']) {
        const g = await ask(c, path);
        assert.equal(g, { status: 200, id: path, body: 'ok', how: 'end', sent: true });
        assert.ok(c.isOpen());
      }
    }));
  test(`${name}: an idle one is closed by the worker, and that is seen`, () =>
    bench(async (p) => {
      let told = 0;
      const c = p.connect(() => (told += 1));
      await ask(c, '/a');
      await p.sleep(p.idleFor * 2);
      assert.not.ok(c.isOpen());
      assert.is(told, 1);
    }));
  test(`${name}: "close" in an answer ends it behind the answer`, () =>
    bench(async (p) => {
      const c = p.connect();
      assert.is((await ask(c, '/close')).how, 'end');
      await p.sleep(duration.ms(50));
      assert.not.ok(c.isOpen());
    }));
  for (const path of ['/reset', '/lose', '/garble', '/within'])
    test(`${name}: ${path} fails what was sent, and the connection with it`, () =>
      bench(async (p) => {
        const c = p.connect();
        await ask(c, '/a');
        const g = await ask(c, path);
        assert.is(g.how, 'fail');
        assert.ok(g.sent);
        assert.is(g.status, path === '/within' ? 200 : 0);
        await p.sleep(duration.ms(50));
        assert.not.ok(c.isOpen());
      }));
  test(`${name}: a surplus answer comes in the place of the next one`, () =>
    bench(async (p) => {
      const c = p.connect();
      await ask(c, '/surplus');
      const g = await ask(c, '/slow');
      assert.equal(g, { status: 200, id: 'surplus', body: 'more', how: 'end', sent: true });
      // What was due comes when nobody waits: the connection is of no use any more.
      await p.sleep(duration.ms(300));
      assert.not.ok(c.isOpen());
    }));
  test(`${name}: a surplus answer on an idle connection ends it`, () =>
    bench(async (p) => {
      const c = p.connect();
      await ask(c, '/surplus');
      await p.sleep(duration.ms(120));
      assert.not.ok(c.isOpen());
    }));
  test(`${name}: an answer without a length ends with its connection, and a reset is no end`, () =>
    bench(async (p) => {
      const c = p.connect();
      assert.equal(await ask(c, '/unframed'), { status: 200, id: '/unframed', body: 'ok', how: 'end', sent: true });
      await p.sleep(duration.ms(50));
      assert.not.ok(c.isOpen());
      const g = await ask(p.connect(), '/unframed-reset');
      assert.equal(g, { status: 200, id: '/unframed-reset', body: 'ok', how: 'fail', sent: true });
    }));
  test(`${name}: one that was dropped unseen is reset by the next request, whose outcome is unknown`, () =>
    bench(async (p) => {
      const c = p.connect();
      assert.is((await ask(c, '/forget')).how, 'end');
      await p.sleep(duration.ms(50));
      assert.ok(c.isOpen());
      const g = await ask(c, '/a');
      assert.equal(g, { status: 0, id: '', body: '', how: 'fail', sent: true });
      await p.sleep(duration.ms(50));
      assert.not.ok(c.isOpen());
    }));
  test(`${name}: one that was cut is not used again`, () =>
    bench(async (p) => {
      const c = p.connect();
      assert.is((await ask(c, '/hang', { runtime: p.runtime, left: duration.ms(50) })).how, 'fail');
      assert.not.ok(c.isOpen());
      const g = await ask(c, '/a');
      assert.is(g.how, 'fail');
      assert.not.ok(g.sent);
    }));
  test(`${name}: more connections than are accepted are reset`, () =>
    bench(async (p) => {
      const some = Array.from({ length: limits.connections }, () => p.connect());
      assert.ok((await Promise.all(some.map((c) => ask(c, '/a')))).every((g) => g.how === 'end'));
      assert.is((await ask(p.connect(), '/a')).how, 'fail');
      some[0]!.close();
      await p.sleep(duration.ms(50));
      assert.is((await ask(p.connect(), '/a')).how, 'end');
    }));
  test(`${name}: nothing is sent where nobody listens`, () =>
    bench(async (p) => {
      const c = p.runtime.net.connectHttp(`${p.at.split(':')[0]!}:1`, { connectTimeout: connectWithin });
      const g = await ask(c, '/a');
      assert.is(g.how, 'fail');
      assert.not.ok(g.sent);
    }));
}

test('a cut holds up what is sent; it arrives when the cut is over', () =>
  simulated(2, async (p) => {
    const c = p.connect();
    await ask(c, '/a');
    const heal = p.w.partitionOneWay([p.client], [p.server]);
    const got = ask(c, '/b');
    await p.sleep(duration.ms(200));
    heal();
    assert.is((await got).id, '/b');
  }));
test('one way: the request runs, the answer is held up', () =>
  simulated(3, async (p) => {
    const c = p.connect();
    await ask(c, '/a');
    let ran = 0;
    await p.wire.serve(
      '10.0.0.2:81',
      (_ask, say) => {
        ran += 1;
        say.writeHead(200, ['content-length', '0']);
        say.end();
      },
      limits,
    );
    const d = p.runtime.net.connectHttp('10.0.0.2:81', { connectTimeout: connectWithin });
    await ask(d, '/a');
    const heal = p.w.partitionOneWay([p.server], [p.client]);
    const got = ask(d, '/b');
    await p.sleep(duration.ms(200));
    assert.is(ran, 2);
    heal();
    assert.is((await got).how, 'end');
  }));
test('a machine without power says nothing: a new connection hangs, a kept one too', () =>
  simulated(4, async (p) => {
    const c = p.connect();
    await ask(c, '/a');
    p.w.kill(p.server, 'power');
    const begun = p.runtime.clock.now();
    const g = await ask(p.connect(), '/a');
    assert.not.ok(g.sent);
    assert.is(p.runtime.clock.now() - begun, connectWithin);
    const kept = await ask(c, '/b', { runtime: p.runtime, left: duration.s(2) });
    assert.ok(kept.sent);
    assert.is(kept.how, 'fail');
    assert.is(p.runtime.clock.now() - begun, connectWithin + duration.s(2));
  }));
test('a process that ends breaks its connections; one that is back knows nothing of them', () =>
  simulated(5, async (p) => {
    const [c, d] = [p.connect(), p.connect()];
    await Promise.all([ask(c, '/a'), ask(d, '/a')]);
    const hung = ask(c, '/hang');
    await p.sleep(duration.ms(50));
    p.w.kill(p.server, 'process');
    assert.is((await hung).how, 'fail');
    await p.sleep(duration.ms(50));
    assert.not.ok(d.isOpen());
  }));
test('a kept connection to a machine that was off meanwhile is reset when it is used', () =>
  simulated(6, async (p) => {
    const c = p.connect();
    await ask(c, '/a');
    p.w.kill(p.server, 'power');
    p.w.start(p.server);
    await p.w.wire(p.server).serve(p.at, misbehaving(p.w.runtime(p.server)), limits);
    const g = await ask(c, '/b');
    assert.ok(g.sent);
    assert.is(g.how, 'fail');
    assert.is(g.status, 0);
  }));
test('a worker whose caller has gone is told', () =>
  simulated(7, async (p) => {
    let gone = false;
    await p.wire.serve('10.0.0.2:81', (_ask, say) => say.onClose(() => (gone = true)), limits);
    const c = p.runtime.net.connectHttp('10.0.0.2:81', { connectTimeout: connectWithin });
    await ask(c, '/a', { runtime: p.runtime, left: duration.ms(50) });
    await p.sleep(duration.ms(50));
    assert.ok(gone);
  }));
test('a reader that is held back holds the writer up', () =>
  simulated(8, async (p) => {
    let held = false;
    const handler: WireHandler = async (_ask, say) => {
      say.writeHead(200, []);
      for (let i = 0; i < 20; i++)
        if (!say.write('x'.repeat(10_000))) {
          held = true;
          await say.drained();
        }
      say.end();
    };
    await p.wire.serve('10.0.0.2:81', handler, limits);
    const c = p.runtime.net.connectHttp('10.0.0.2:81', { connectTimeout: connectWithin });
    let [size, over] = [0, false];
    const control = c.exchange(
      { method: 'GET', target: '/', headers: [], body: null },
      {
        onSent: () => undefined,
        onHead: () => control.pause(),
        onData: (b) => void (size += b.length),
        onEnd: () => void (over = true),
        onError: () => undefined,
      },
    );
    await p.sleep(duration.ms(100));
    assert.is(size, 0);
    assert.ok(held);
    control.resume();
    await p.sleep(duration.ms(100));
    assert.is(size, 200_000);
    assert.ok(over);
  }));
/** What a call receives of an answer whose server ends, in this way, right behind its last byte. */
const answerOfEnding = async (how: 'process' | 'power'): Promise<string> => {
  let outcome = '';
  await simulated(1, async (p) => {
    const there = p.w.runtime(p.server);
    await there.net.serveHttp(
      '10.0.0.2:81',
      (_, say) => {
        say.writeHead(200, {});
        say.write('whole');
        say.end();
        p.w.kill(p.server, how);
        return Promise.resolve();
      },
      1000,
    );
    try {
      const call = {
        at: '10.0.0.2:81',
        method: 'GET',
        path: '/',
        headersTimeout: duration.s(1),
        bodyTimeout: duration.s(1),
      };
      const r = await p.runtime.net.request(call);
      for await (const piece of r.body) outcome += piece;
    } catch {
      outcome = 'failed';
    }
  });
  return outcome;
};
test('a call receives what its server wrote before its process ended', async () => {
  assert.is(await answerOfEnding('process'), 'whole');
});
test('a call does not receive what was on its way when its server lost power', async () => {
  assert.is(await answerOfEnding('power'), 'failed');
});
test.run();
