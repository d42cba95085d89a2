// Malformed input from callers, workers, the platform and siblings, by seed: nothing ends, refusals name the field.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { stringify } from 'devalue';
import { workerProtocol } from '@thornsail/load-balancer';
import { configSchema } from '@thornsail/config-schema';
import { plan } from '@thornsail/data-plane';
import { seeded, duration, type HttpRequest, type Address, type Random } from '@thornsail/runtime';
import { fleet, type Fleet } from '@thornsail/simulation';
import { protocol } from '@thornsail/rpc';

const odd: unknown[] = [null, 0, -1, 1e300, '', 'x', '\u0000', [], {}, [null], { a: { b: [] } }, true, 'ü'.repeat(300)];
const pick = <T>(r: Random, list: readonly T[]): T => list[r.int(list.length)]!;
const value = (r: Random, depth = 2): unknown => {
  const k = r.int(4);
  if (k === 0 && depth > 0) return Array.from({ length: r.int(3) }, () => value(r, depth - 1));
  if (k === 1 && depth > 0)
    return Object.fromEntries(Array.from({ length: r.int(3) }, () => [pick(r, names), value(r, depth - 1)]));
  return pick(r, odd);
};
const names = ['messages', 'role', 'content', 'max_tokens', 'stream', 'to', 'key', 'group', 'ballot', 'view', 'list'];
const headers = (r: Random): Record<string, string> => {
  const all = ['class', 'program', 'conversation', 'once', 'time-left-ms'].map((h) => `x-thornsail-${h}`);
  const good: Record<string, string> = { 'x-thornsail-class': 'chat', 'x-thornsail-program': 'p1' };
  for (const h of [...all, 'idempotency-key'])
    if (r.int(4) === 0)
      good[h] = pick(r, ['', ' ', '__proto__', 'constructor', '%', 'a b', '9'.repeat(300), 'true', '-1']);
  return good;
};
const text = (r: Random): string => {
  const body = { messages: value(r), max_tokens: value(r), stream: value(r), [pick(r, names)]: value(r) };
  const s = JSON.stringify(r.int(3) ? body : value(r)) ?? 'undefined';
  return r.int(5) ? s : s.slice(0, r.int(s.length + 1));
};

test('callers: every plan is a request or a refusal that names its field', () => {
  const c = configSchema.check({ classes: { chat: { kind: 'model', weight: 1 }, job: { kind: 'app', weight: 1 } } });
  assert.ok(c.ok);
  for (let seed = 1; seed <= 3000; seed++) {
    const r = seeded(seed);
    const path = pick(r, [
      '/v1/chat/completions',
      '/v1/jobs',
      '/v1/conversations/%',
      '/v1/conversations/__proto__',
      '/',
    ]);
    const method = pick(r, ['POST', 'GET', 'BREW']);
    const h = headers(r);
    const body = text(r);
    const ask: HttpRequest = {
      method,
      path,
      query: {},
      target: path,
      headers: h,
      rawHeaders: Object.entries(h).flat(),
      bytes: Buffer.from(body, 'utf8'),
      body,
      bodyTooLarge: false,
    };
    const p = plan.make(ask, c.value);
    if (p.kind !== 'reject') continue;
    assert.ok(p.status >= 400 && p.status < 500, `seed ${seed}: ${p.status}`);
    assert.ok(p.field !== null || p.status === 404 || p.status === 405, `seed ${seed}: no field is named`);
  }
});

test('workers: any stream is read as events or errors', () => {
  for (let seed = 1; seed <= 2000; seed++) {
    const r = seeded(seed);
    const read = workerProtocol.chat.reader();
    for (let i = 0; i < 5; i++) {
      const data = r.int(3)
        ? JSON.stringify({ choices: value(r), usage: value(r), error: r.int(5) ? undefined : value(r) })
        : text(r);
      for (const p of read(`data: ${data}\n\n`)) assert.ok(['delta', 'usage', 'done', 'error'].includes(p.type));
    }
    workerProtocol.report.capacity(text(r));
  }
});

test('operators: any configuration is taken or refused with paths', () => {
  const good = {
    classes: { chat: { kind: 'model', weight: 1 } },
    slots: { model: 4, app: 4 },
    scheduler: {},
    limits: {},
  };
  for (let seed = 1; seed <= 2000; seed++) {
    const r = seeded(seed);
    const how = pick(r, ['whole', 'merge', 'patch'] as const);
    const body = r.int(2) ? value(r) : { ...good, [pick(r, ['classes', 'slots', 'limits', 'zzz'])]: value(r) };
    const ops = [
      {
        op: pick(r, ['add', 'remove', 'replace', 'move', 'test', 'zap']),
        path: pick(r, ['/classes', '/', '', '/a/b', 7]),
        value: body,
      },
    ];
    const p = configSchema.plan(good, how, how === 'patch' && r.int(3) ? ops : body);
    if (!p.ok)
      assert.ok(p.problems.length > 0 && p.problems.every((x) => x.path !== '' && x.text !== ''), `seed ${seed}`);
  }
});

/** Bodies that come close to what is meant, which random ones seldom do. */
const near = (r: Random): unknown => {
  const any = (): unknown => value(r, 2);
  const news = {
    name: pick(r, ['order', 'workers/x', 'load/x', 'core', 7, null]),
    mark: pick(r, [1, -1, 0.5, 1e300, '9', null]),
    value: any(),
  };
  const order = { view: pick(r, [1e9, -1, 'x', null]), seq: any(), members: any(), state: any() };
  return pick(r, [
    [news],
    [news, null],
    { digest: any(), leaf: any() },
    { to: any(), key: any(), group: any(), ballot: any(), held: any(), next: any() },
    { to: any(), v: order, doneSeq: any() },
    {
      op: pick(r, ['push', 'read', 'join', 'suspect', 'swept', 'drain', 'x']),
      push: any(),
      node: any(),
      list: any(),
      id: any(),
    },
    { place: any(), role: any() },
  ]);
};
const everyMessage = [
  'hello',
  'beam.news',
  'beam.digest',
  'core',
  'view.order',
  'view.beat',
  'view.stop',
  'view.canvass',
]
  .concat(['view.form', 'view.found', 'reg.prepare', 'reg.accept', 'reg.read', 'reg.mend', 'reg.digest', 'reg.list'])
  .concat(['reg.purge', 'node.drain', 'turn.open', 'watch.ballot', 'watch.leave', 'beat']);
const serves = async (f: Fleet): Promise<number[]> => {
  let got: number[] | undefined;
  const ask = (i: number): Promise<number> =>
    f
      .http(
        f.process(`gateway-edge${i}`).options['http'] as Address,
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: 'hi [last]' }], max_tokens: 4, stream: false },
        { 'x-thornsail-program': `after-${i}`, 'x-thornsail-class': 'chat' },
      )
      .then(
        (r) => r.status,
        () => 0,
      );
  void Promise.all([1, 2, 3, 4, 5, 6, 7].map(ask)).then((x) => (got = x));
  await f.until('results', () => got !== undefined, duration.s(10));
  return got!;
};

test('siblings: no message of any kind, whatever its body, ends a node or stops the fleet', async () => {
  for (let seed = 1; seed <= 3; seed++) {
    const f = await fleet.open({ seed, shape: 'lautoka' });
    const r = f.world.rand;
    const runtime = f.world.runtime(f.hostOf('127.77.8.8'));
    const frames = await runtime.net.openFrameTransport('127.77.8.8:7101', () => true);
    for (let i = 0; i < 1500; i++) {
      const t = pick(r, everyMessage);
      // A drain is a sibling's right; the rest has to be survived.
      if (t === 'node.drain') continue;
      const p = pick(r, f.processes);
      frames.send(
        p.options['place'] as Address,
        stringify({
          p: protocol.current,
          k: pick(r, ['ask', 'tell']),
          t,
          n: `${i}`,
          b: r.int(3) ? near(r) : value(r, 3),
        }),
      );
    }
    await f.world.run(f.world.now() + duration.s(3));
    assert.equal(await serves(f), [200, 200, 200, 200, 200, 200, 200], `seed ${seed}`);
    assert.equal(f.breaches(), [], `seed ${seed}`);
  }
});
test.run();
