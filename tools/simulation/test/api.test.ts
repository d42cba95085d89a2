import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Address } from '@thornsail/runtime';
import { fleet, type Fleet } from '@thornsail/simulation';
import { apiRoot } from '@thornsail/admin-api';
import { survey } from '@thornsail/thornsail';

type Reply = { status: number; body: Record<string, unknown>; headers: Record<string, string> };
const get = async (f: Fleet, work: Promise<Reply>): Promise<Reply> => {
  let isOver = false;
  const noteEnd = (): void => void (isOver = true);
  work.then(noteEnd, noteEnd);
  await f.until('a result', () => isOver, duration.s(10));
  return work;
};
const chat = (f: Fleet, headers: Record<string, string>, body: unknown): Promise<Reply> =>
  get(f, f.http(f.process('gateway-edge1').options['http'] as Address, 'POST', '/v1/chat/completions', body, headers));
const good = { 'x-thornsail-program': 'p1', 'x-thornsail-class': 'chat' };
const say = { messages: [{ role: 'user', content: 'hello [last]' }], max_tokens: 8 };

test('wrong requests get a JSON error that names the field, and are not run', async () => {
  const f = await fleet.open({ seed: 2, shape: 'lautoka' });
  const cases: [Record<string, string>, unknown, number, string, string | null][] = [
    [{}, say, 400, 'missing_field', 'x-thornsail-class'],
    [{ ...good, 'x-thornsail-class': 'nosuch' }, say, 400, 'unknown_class', 'x-thornsail-class'],
    [{ ...good, 'x-thornsail-class': 'push' }, say, 400, 'bad_field', 'x-thornsail-class'],
    [{ 'x-thornsail-class': 'chat' }, say, 400, 'missing_field', 'x-thornsail-program'],
    [{ ...good, 'x-thornsail-program': 'a b' }, say, 400, 'bad_field', 'x-thornsail-program'],
    [{ ...good, 'x-thornsail-time-left-ms': '-5' }, say, 400, 'bad_field', 'x-thornsail-time-left-ms'],
    [{ ...good, 'x-thornsail-once': 'true' }, say, 400, 'missing_field', 'idempotency-key'],
    [{ ...good, 'x-thornsail-once': 'yes' }, say, 400, 'bad_field', 'x-thornsail-once'],
    [good, { messages: [] }, 400, 'bad_field', 'messages'],
    [good, { messages: [{ content: 'x' }] }, 400, 'bad_field', 'messages'],
    [good, { ...say, max_tokens: 0 }, 400, 'bad_field', 'max_tokens'],
    [good, { ...say, stream: 'no' }, 400, 'bad_field', 'stream'],
    [good, [1], 400, 'bad_field', 'body'],
    [good, { messages: [{ role: 'user', content: 'x'.repeat(1_100_000) }] }, 413, 'too_large', 'body'],
  ];
  for (const [h, b, status, error, field] of cases) {
    const r = await chat(f, h, b);
    assert.equal([r.status, r.body['error'], r.body['field'], r.body['ran']], [status, error, field, 'no']);
  }
  const raw = await get(f, f.http(f.process('gateway-edge1').options['http'] as Address, 'POST', '/nosuch', {}));
  assert.is(raw.status, 404);
  assert.is(f.requestLog.entries.length, 0);
});

test('a whole result, a repeated key, a spent budget, a recalled conversation', async () => {
  const f = await fleet.open({
    seed: 3,
    shape: 'lautoka',
    config: (c) => {
      (c['classes'] as Record<string, Record<string, unknown>>)['chat']!['budgetTokens'] = 60;
      return c;
    },
  });
  const key = { 'idempotency-key': 'k1', 'x-thornsail-once': 'true' };
  const a = await chat(f, { ...good, ...key }, { ...say, stream: false });
  assert.is(a.status, 200);
  const b = await get(
    f,
    f.http(
      f.process('gateway-edge5').options['http'] as Address,
      'POST',
      '/v1/chat/completions',
      { ...say, stream: false },
      { ...good, ...key },
    ),
  );
  assert.equal([b.status, b.headers['x-thornsail-replayed'], b.body['choices']], [200, 'true', a.body['choices']]);
  assert.is(f.requestLog.entries.length, 1);
  await f.world.run(f.world.now() + duration.s(1));
  for (const n of ['gateway-edge1', 'gateway-edge5'])
    assert.is(f.process(n).node!.counts()['in_flight'], 0, `${n} still counts a turn as open`);
  let spent = a;
  for (let i = 0; i < 6 && spent.status === 200; i++) spent = await chat(f, good, { ...say, stream: false });
  assert.equal([spent.status, spent.body['error'], spent.body['ran']], [403, 'budget_spent', 'no']);
  const tutor = { 'x-thornsail-program': 't1', 'x-thornsail-class': 'tutor', 'x-thornsail-conversation': 'c1' };
  assert.is((await chat(f, tutor, { ...say, stream: false })).status, 200);
  const c = await get(f, f.http(f.process('gateway-edge6').options['http'] as Address, 'GET', '/v1/conversations/c1'));
  assert.equal([c.status, (c.body['messages'] as unknown[]).length], [200, 2]);
  assert.is(
    (await get(f, f.http(f.process('gateway-edge6').options['http'] as Address, 'GET', '/v1/conversations/none')))
      .status,
    404,
  );
});

test('operators get the same from any node; with the core cut off a node says so', async () => {
  const f = await fleet.open({ seed: 4, shape: 'granite' });
  const ask = (name: string, what: string): Promise<Reply> =>
    get(f, f.http(f.process(name).options['http'] as Address, 'GET', `${apiRoot}/${what}`));
  for (const what of ['config', 'classes', 'nodes', 'workers', 'status', 'marks', 'keepers']) {
    const all: Reply[] = [];
    for (const n of ['gateway-edge1', 'agent-edge4', 'coordinator2', 'store3']) all.push(await ask(n, what));
    for (const r of all) assert.equal(r.body, all[0]!.body, what);
    assert.ok(typeof all[0]!.body['mark'] === 'number');
  }
  const bad = await get(
    f,
    f.http(
      f.process('agent-edge2').options['http'] as Address,
      'PATCH',
      `${apiRoot}/config`,
      { classes: { repair: { weight: -1 } } },
      { 'if-match': '1' },
    ),
  );
  assert.equal([bad.status, (bad.body['problems'] as { path: string }[])[0]!.path], [422, 'classes.repair.weight']);
  const old = await get(
    f,
    f.http(
      f.process('store1').options['http'] as Address,
      'PATCH',
      `${apiRoot}/config`,
      { slots: { model: 9 } },
      { 'if-match': '0' },
    ),
  );
  assert.equal([old.status, old.body['mark']], [409, 1]);
  const push = (): Promise<Reply> =>
    get(
      f,
      f.http(
        f.process('gateway-edge7').options['http'] as Address,
        'PATCH',
        `${apiRoot}/config`,
        { slots: { model: 9 } },
        { 'if-match': '1', 'push-id': 'same' },
      ),
    );
  assert.equal([(await push()).body['mark'], (await push()).body['repeated']], [2, true]);
  const json = { 'content-type': 'application/json-patch+json', 'if-match': '2' };
  const patch = [{ op: 'replace', path: '/slots/model', value: 11 }];
  const at = f.process('store2').options['http'] as Address;
  const plan = await get(f, f.http(at, 'PATCH', `${apiRoot}/config?plan=true`, patch, json));
  assert.equal(
    [plan.status, plan.body['plan']],
    [200, [{ op: 'replace', path: '/slots/model', before: 9, after: 11 }]],
  );
  assert.is((await ask('gateway-edge3', 'config')).body['mark'], 2);
  assert.equal((await get(f, f.http(at, 'PATCH', `${apiRoot}/config`, patch, json))).body['mark'], 3);
  assert.is((await get(f, f.http(at, 'PATCH', `${apiRoot}/config?plan=true`, patch, json))).status, 409);
  assert.is((await ask('agent-edge1', 'registers')).status, 200);
  assert.equal(
    ((await ask('store1', 'history')).body['history'] as { mark: number }[]).map((x) => x.mark),
    [1, 2, 3],
  );
  assert.equal(
    (await ask('store1', 'config?mark=2')).body['raw'],
    (await ask('coordinator1', 'config?mark=2')).body['raw'],
  );
  assert.is((await ask('store1', 'config?mark=77')).status, 404);
  const look = (at_: Address): Promise<Awaited<ReturnType<typeof survey.run>>> => {
    let r: Awaited<ReturnType<typeof survey.run>> | undefined;
    void survey
      .run((to, path) => f.http(to, 'GET', path).catch(() => undefined), at_)
      .then((x) => {
        r = x;
      });
    return f.until('the survey', () => r !== undefined, duration.s(20)).then(() => r!);
  };
  const well = await look(at);
  assert.equal(well.ok ? well.findings.filter((x) => x.severity === 'bad') : null, []);
  f.kill('store3', 'power');
  f.kill('agent-edge5');
  const ill = await look(at);
  assert.ok(
    ill.ok &&
      ['store3', 'agent-edge5'].every((n) =>
        ill.findings.some((x) => x.severity === 'bad' && x.about === n && /does not answer/.test(x.text)),
      ),
  );
  f.partition(
    ['coordinator1', 'coordinator2', 'coordinator3'],
    f.processes.filter((p) => p.role !== 'coordinator').map((p) => p.name),
  );
  const r = await ask('gateway-edge1', 'config');
  assert.equal([r.status, r.body['error']], [503, 'not_agreed']);
});

test('a drain can be taken back, asked again and repeated; with a spare the group stays at three', async () => {
  const f = await fleet.open({ seed: 8, shape: 'granite' });
  const ask = (method: string): Promise<Reply> =>
    get(f, f.http(f.process('agent-edge2').options['http'] as Address, method, `${apiRoot}/drain/store3`));
  const group = (): { mark: number; members: { at: string }[]; swept: number; draining: string[] } =>
    f.process('agent-edge2').node!.membership.state()!.storeGroup;
  f.addStore('store7', '127.77.2.7');
  await f.until(
    'the spare in the roster',
    () => Object.values(f.process('agent-edge2').node!.membership.state()!.nodes).some((n) => n.name === 'store7'),
    duration.s(10),
  );
  assert.is((await ask('GET')).body['state'], 'not draining');
  assert.is((await ask('POST')).body['safe'], false);
  assert.is((await ask('DELETE')).body['state'], 'not draining');
  assert.is(group().draining.length, 0);
  await ask('POST');
  await ask('POST');
  let safe = false;
  for (let i = 0; i < 60 && !safe; i++) {
    safe = (await ask('GET')).body['safe'] === true;
    await f.world.run(f.world.now() + duration.ms(250));
  }
  assert.ok(safe);
  assert.equal(
    [
      group().members.length,
      group().members.some((m) => m.at.startsWith('127.77.2.7')),
      group().members.some((m) => m.at.startsWith('127.77.2.3')),
    ],
    [3, true, false],
  );
  assert.equal(
    (await get(f, f.http(f.process('agent-edge2').options['http'] as Address, 'POST', `${apiRoot}/drain/nosuch`)))
      .status,
    404,
  );
  assert.equal(
    (await get(f, f.http(f.process('agent-edge2').options['http'] as Address, 'POST', `${apiRoot}/drain/coordinator1`)))
      .status,
    400,
  );
});

test('a turn whose client has gone is never sent, and its program and budget are free again', async () => {
  const f = await fleet.open({
    seed: 6,
    shape: 'granite',
    perToken: duration.ms(60),
    config: (c) => ({ ...c, slots: { model: 1, app: 1 } }),
  });
  const at = f.process('gateway-edge1').options['http'] as Address;
  const head = { 'x-thornsail-class': 'diagnose', 'x-thornsail-time-left-ms': '9000' };
  // Six workers with a slot each are taken; the seventh turn waits, and its client goes.
  for (let i = 0; i < 6; i++)
    void f
      .http(
        at,
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: `${i} [last]` }], max_tokens: 40 },
        { ...head, 'x-thornsail-program': `p${i}` },
      )
      .catch(() => undefined);
  await f.world.run(f.world.now() + duration.ms(100));
  let left = false;
  void f.callerRuntime.net
    .request({
      at,
      method: 'POST',
      path: '/v1/chat/completions',
      headersTimeout: duration.ms(300),
      headers: { ...head, 'content-type': 'application/json', 'x-thornsail-program': 'gone' },
      body: JSON.stringify(say),
    })
    .catch(() => {
      left = true;
    });
  await f.world.run(f.world.now() + duration.s(12));
  assert.ok(left);
  assert.equal(f.requestLog.entries.map((e) => e.program).sort(), ['p0', 'p1', 'p2', 'p3', 'p4', 'p5']);
  const c = f.process('gateway-edge1').node!.counts();
  assert.equal([c['holding'], c['in_flight']], [0, 0]);
  assert.equal(f.breaches(), []);
});

test('gateways are not ready before there is a configuration, nor when leaving', async () => {
  const f = await fleet.open({ seed: 5, shape: 'lautoka', noConfig: true });
  await f.world.run(duration.s(4));
  const at = f.process('gateway-edge1').options['http'] as Address;
  const r = await get(f, f.http(at, 'GET', '/ready'));
  assert.equal([r.status, (r.body['why'] as string[]).includes('no configuration')], [503, true]);
  const no = await chat(f, good, say);
  assert.equal([no.status, no.headers['retry-after'], no.body['ran']], [503, '1', 'no']);
  await get(
    f,
    f.push(f.shape.config, 0).then((x) => ({ status: x.status, body: {}, headers: {} })),
  );
  await f.until('readiness', () => f.ready() === 7, duration.s(5));
  await get(f, f.http(f.process('agent-edge3').options['http'] as Address, 'POST', `${apiRoot}/drain/gateway-edge1`));
  await f.world.run(f.world.now() + duration.s(1));
  const gone = await get(f, f.http(at, 'GET', '/ready'));
  assert.equal([gone.status, (gone.body['why'] as string[]).includes('leaving')], [503, true]);
  assert.equal(f.breaches(), []);
});
test.run();
