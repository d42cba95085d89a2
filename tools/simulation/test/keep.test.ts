// Keys and kept conversations (§5.4, §5.5): another request under a used key, a turn sent again, growth, keeping.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Address } from '@thornsail/runtime';
import { fleet, world, type Fleet } from '@thornsail/simulation';
import { callers, classNames } from '@thornsail/test-harness';

type Reply = { status: number; body: Record<string, unknown>; headers: Record<string, string> };
const settled = async <T>(f: Fleet, work: Promise<T>): Promise<T> => {
  const got: { v?: T; e?: unknown } = {};
  work.then(
    (v) => (got.v = v),
    (e: unknown) => (got.e = e),
  );
  await f.until('a result', () => 'v' in got || 'e' in got, duration.s(12));
  if ('e' in got) throw got.e;
  return got.v!;
};
const at = (f: Fleet, i: number): Address => f.process(`gateway-edge${i}`).options['http'] as Address;
const chat = (f: Fleet, i: number, say: string, headers: Record<string, string>): Promise<Reply> =>
  settled(
    f,
    f.http(
      at(f, i),
      'POST',
      '/v1/chat/completions',
      { messages: [{ role: 'user', content: say }], max_tokens: 8, stream: false },
      { 'x-thornsail-program': 'p1', 'x-thornsail-class': 'tutor', 'x-thornsail-conversation': 'c1', ...headers },
    ),
  );
const kept = async (f: Fleet, i: number): Promise<{ role: string; content: string }[]> => {
  const r = await settled(f, f.http(at(f, i), 'GET', '/v1/conversations/c1'));
  assert.is(r.status, 200);
  return r.body['messages'] as { role: string; content: string }[];
};

test('another request under a used key is refused, and does not run', async () => {
  const f = await fleet.open({ seed: 1, shape: 'lautoka' });
  const key = { 'idempotency-key': 'k' };
  assert.is((await chat(f, 1, 'one', key)).status, 200);
  const ran = f.requestLog.entries.length;
  const r = await chat(f, 2, 'two', key);
  assert.equal([r.status, r.body['error'], r.body['field']], [422, 'key_reused', 'idempotency-key']);
  const job = { 'x-thornsail-class': 'push', 'idempotency-key': 'j', 'x-thornsail-once': 'true' };
  assert.is((await settled(f, f.http(at(f, 3), 'POST', '/v1/jobs', { a: 1 }, job))).status, 200);
  assert.is((await settled(f, f.http(at(f, 4), 'POST', '/v1/jobs', { a: 2 }, job))).status, 422);
  assert.is(f.requestLog.entries.length, ran + 1);
  assert.equal(f.breaches(), []);
});

test('a kept turn sent again under its key after its edge died stands there once', async () => {
  let cut = 0;
  for (let seed = 1; seed <= 6; seed++) {
    const f = await fleet.open({ seed, shape: 'granite' });
    const cls = { 'x-thornsail-class': 'repair', 'idempotency-key': 'k1' };
    const first = f
      .http(
        at(f, 1),
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: 'look at the pump' }], max_tokens: 8, stream: false },
        { 'x-thornsail-program': 'p1', 'x-thornsail-conversation': 'c1', ...cls },
      )
      .then((r) => r.status)
      .catch(() => 0);
    // Killed at some moment between its sending and its end: most often while its records are being closed.
    while (!f.requestLog.entries.some((e) => e.ended)) await f.world.run(f.world.now() + duration.ms(0.2));
    await f.world.run(f.world.now() + duration.ms(seed - 1));
    f.kill('gateway-edge1', 'power');
    let again: Reply | undefined;
    const end = f.world.now() + duration.s(8);
    while (again?.status !== 200 && f.world.now() < end) {
      again = await chat(f, 2, 'look at the pump', cls);
      // Not known, and never will be: what is kept says whether to ask anew.
      if (again.body['error'] === 'outcome_unknown') break;
      await f.world.run(f.world.now() + duration.s(1));
    }
    const lost = again!.body['error'] === 'outcome_unknown';
    if (lost) assert.is((await chat(f, 3, 'look at the pump', { ...cls, 'idempotency-key': 'k2' })).status, 200);
    const all = await kept(f, 4);
    assert.equal(
      all.map((m) => m.role),
      ['user', 'assistant'],
      `seed ${seed}`,
    );
    if ((await settled(f, first)) !== 200) cut += 1;
    assert.equal(f.breaches(), []);
  }
  assert.ok(cut >= 3, 'most were to be cut off');
});

test('a kept turn told to be of unknown outcome does not come afterwards: what is kept decides', async () => {
  let late = 0;
  for (let seed = 1; seed <= 6; seed++) {
    const f = await fleet.open({ seed, shape: 'lautoka' });
    const others = f.processes.filter((p) => p.role !== 'store' && p.name !== 'gateway-edge1').map((p) => p.name);
    const first = f
      .http(
        at(f, 1),
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: 'look at the pump' }], max_tokens: 8, stream: false },
        {
          'x-thornsail-program': 'p1',
          'x-thornsail-class': 'tutor',
          'x-thornsail-conversation': 'c1',
          'idempotency-key': 'k1',
        },
      )
      .then((r) => r.status)
      .catch(() => 0);
    // Its edge sleeps from some moment between its sending and its end, and is taken for dead meanwhile.
    while (!f.requestLog.entries.some((e) => (seed > 4 ? e.ended : true)))
      await f.world.run(f.world.now() + duration.ms(0.2));
    await f.world.run(f.world.now() + duration.ms(seed % 3));
    const woke = f.world.now() + duration.s(6);
    f.freeze('gateway-edge1', duration.s(6));
    const heal = f.partition(['gateway-edge1'], others);
    let told: unknown;
    while (told !== 'outcome_unknown' && f.world.now() < woke - duration.s(1)) {
      const r = await chat(f, 2, 'look at the pump', { 'idempotency-key': 'k1' });
      told = r.status === 200 ? 'kept' : r.body['error'];
      if (told === 'kept') break;
      await f.world.run(f.world.now() + duration.ms(300));
    }
    assert.ok(told === 'outcome_unknown' || told === 'kept', `seed ${seed}: ${String(told)}`);
    const was = await settled(f, f.http(at(f, 3), 'GET', '/v1/conversations/c1'));
    assert.is(was.status, told === 'kept' ? 200 : 404, `seed ${seed}`);
    await f.world.run(woke + duration.s(2));
    heal();
    if (told === 'outcome_unknown') {
      late += 1;
      assert.is((await chat(f, 4, 'look at the pump', { 'idempotency-key': 'k2' })).status, 200, `seed ${seed}`);
      assert.is(await settled(f, first), 0, `seed ${seed}: its caller took it for kept`);
    }
    assert.equal(
      (await kept(f, 5)).map((m) => m.role),
      ['user', 'assistant'],
      `seed ${seed}`,
    );
    assert.equal(f.breaches(), []);
  }
  assert.ok(late >= 3, 'most were to be told that the outcome is unknown');
});

test('a caller sends a message under another key only once it is known that it is not kept', async () => {
  const w = world.open({ seed: 1, zoneDelay: duration.ms(2), clientDelay: duration.ms(1), clientIp: '10.9.0.1' });
  const [client, server] = [w.runtime(w.host('10.0.0.1', 'a')), w.runtime(w.host('10.0.0.2', 'b'))];
  const keys: string[] = [];
  let recalls = 0;
  const place = '10.0.0.2:80';
  await server.net.serveHttp(
    place,
    (ask, say) => {
      if (ask.method === 'POST') keys.push(String(ask.headers['idempotency-key']));
      else recalls += 1;
      // Nobody can say for 25 s, then it is known.
      const known = ask.method === 'GET' && w.now() > duration.s(25);
      say.writeHead(ask.method === 'POST' ? 409 : known ? 404 : 503, { 'content-type': 'application/json' });
      say.end(JSON.stringify({ error: ask.method === 'POST' ? 'outcome_unknown' : 'none', ran: 'unknown' }));
      return Promise.resolve();
    },
    65_536,
  );
  const c = callers.open({
    runtime: client,
    rand: { ...client.rand, next: () => 0.5 },
    gateways: () => [place],
    classes: classNames.lautoka,
    chatTimeLeft: 8000,
    pushTimeLeft: 2000,
    gap: duration.ms(400),
    excused: () => false,
    stalls: false,
  });
  let over = false;
  void c.chat({ turns: 1, kept: true, program: 'p' }).then(() => (over = true));
  while (!over && w.now() < duration.s(120)) await w.run(w.now() + duration.s(1));
  assert.ok(over && recalls > 40);
  assert.equal(keys, ['p.0.0', 'p.0.0', 'p.0.0', 'p.0.1', 'p.0.2']);
});

test('a conversation grows up to its bound, then says so at once and plainly; it can still be read', async () => {
  const f = await fleet.open({
    seed: 2,
    shape: 'lautoka',
    config: (c) => ({ ...c, limits: { maxKeptBytes: 20_000 } }),
  });
  let r: Reply | undefined;
  let turns = 0;
  for (; turns < 400; turns++) {
    r = await chat(f, 1 + (turns % 7), `turn ${turns} ${'x'.repeat(100)}`, { 'x-thornsail-program': `p${turns}` });
    if (r.status !== 200) break;
  }
  assert.equal([r!.status, r!.body['error'], r!.body['ran']], [413, 'conversation_full', 'no']);
  const all = await kept(f, 5);
  assert.is(all.length, turns * 2);
  assert.ok(turns > 60 && JSON.stringify(all).length <= 20_400);
  assert.equal(
    all.filter((m) => m.role === 'user').map((m) => m.content.split(' ')[1]),
    [...all.keys()].filter((i) => i % 2 === 0).map((i) => String(i / 2)),
  );
  assert.equal(f.breaches(), []);
});

test('a shorter keeping time that is pushed later does not cut what was promised', async () => {
  const f = await fleet.open({ seed: 3, shape: 'lautoka' });
  assert.is((await chat(f, 1, 'one', {})).status, 200);
  const classes = structuredClone(f.shape.config['classes']) as Record<string, Record<string, unknown>>;
  classes['tutor']!['keepSeconds'] = 2;
  assert.is((await settled(f, f.push({ ...f.shape.config, classes }, 1))).status, 200);
  assert.is((await chat(f, 2, 'two', {})).status, 200);
  await f.world.run(f.world.now() + duration.s(6));
  assert.is((await kept(f, 3)).length, 4);
});
test.run();
