// Random malformed input from callers, workers, operators and other nodes: no process ends; rejections name the field.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { stringify } from 'devalue';
import { workerProtocol } from '@thornsail/load-balancer';
import { configSchema } from '@thornsail/config-schema';
import { plan } from '@thornsail/data-plane';
import { seeded, duration, type HttpRequest, type Address, type Random } from '@thornsail/runtime';
import { fleet, type Fleet } from '@thornsail/simulation';
import { protocol } from '@thornsail/rpc';

const oddValues: unknown[] = [
  null,
  0,
  -1,
  1e300,
  '',
  'x',
  '\u0000',
  [],
  {},
  [null],
  { a: { b: [] } },
  true,
  'ü'.repeat(300),
];
const pick = <T>(random: Random, list: readonly T[]): T => list[random.int(list.length)]!;
const randomValue = (random: Random, depth = 2): unknown => {
  const kind = random.int(4);
  if (kind === 0 && depth > 0) return Array.from({ length: random.int(3) }, () => randomValue(random, depth - 1));
  if (kind === 1 && depth > 0)
    return Object.fromEntries(
      Array.from({ length: random.int(3) }, () => [pick(random, fieldNames), randomValue(random, depth - 1)]),
    );
  return pick(random, oddValues);
};
const fieldNames = [
  'messages',
  'role',
  'content',
  'max_tokens',
  'stream',
  'to',
  'key',
  'group',
  'ballot',
  'view',
  'list',
];
const randomHeaders = (random: Random): Record<string, string> => {
  const headerNames = ['class', 'program', 'conversation', 'once', 'time-left-ms'].map((name) => `x-thornsail-${name}`);
  const headers: Record<string, string> = { 'x-thornsail-class': 'chat', 'x-thornsail-program': 'p1' };
  for (const headerName of [...headerNames, 'idempotency-key'])
    if (random.int(4) === 0)
      headers[headerName] = pick(random, [
        '',
        ' ',
        '__proto__',
        'constructor',
        '%',
        'a b',
        '9'.repeat(300),
        'true',
        '-1',
      ]);
  return headers;
};
const randomText = (random: Random): string => {
  const body = {
    messages: randomValue(random),
    max_tokens: randomValue(random),
    stream: randomValue(random),
    [pick(random, fieldNames)]: randomValue(random),
  };
  const encoded = JSON.stringify(random.int(3) ? body : randomValue(random)) ?? 'undefined';
  return random.int(5) ? encoded : encoded.slice(0, random.int(encoded.length + 1));
};

test('callers: every plan is a request or a rejection that names its field', () => {
  const checked = configSchema.check({
    classes: { chat: { kind: 'model', weight: 1 }, job: { kind: 'app', weight: 1 } },
  });
  assert.ok(checked.ok);
  for (let seed = 1; seed <= 3000; seed++) {
    const random = seeded(seed);
    const path = pick(random, [
      '/v1/chat/completions',
      '/v1/jobs',
      '/v1/conversations/%',
      '/v1/conversations/__proto__',
      '/',
    ]);
    const method = pick(random, ['POST', 'GET', 'BREW']);
    const headers = randomHeaders(random);
    const body = randomText(random);
    const request: HttpRequest = {
      method,
      path,
      query: {},
      target: path,
      headers,
      rawHeaders: Object.entries(headers).flat(),
      bytes: Buffer.from(body, 'utf8'),
      body,
      bodyTooLarge: false,
    };
    const planned = plan.make(request, checked.value);
    if (planned.kind !== 'reject') continue;
    assert.ok(planned.status >= 400 && planned.status < 500, `seed ${seed}: ${planned.status}`);
    assert.ok(
      planned.field !== null || planned.status === 404 || planned.status === 405,
      `seed ${seed}: no field is named`,
    );
  }
});

test('workers: any stream is parsed into events or errors', () => {
  for (let seed = 1; seed <= 2000; seed++) {
    const random = seeded(seed);
    const readChunk = workerProtocol.chat.reader();
    for (let i = 0; i < 5; i++) {
      const data = random.int(3)
        ? JSON.stringify({
            choices: randomValue(random),
            usage: randomValue(random),
            error: random.int(5) ? undefined : randomValue(random),
          })
        : randomText(random);
      for (const event of readChunk(`data: ${data}\n\n`))
        assert.ok(['delta', 'usage', 'done', 'error'].includes(event.type));
    }
    workerProtocol.report.capacity(randomText(random));
  }
});

test('operators: any configuration is accepted, or rejected with the paths of its problems', () => {
  const validConfig = {
    classes: { chat: { kind: 'model', weight: 1 } },
    slots: { model: 4, app: 4 },
    scheduler: {},
    limits: {},
  };
  for (let seed = 1; seed <= 2000; seed++) {
    const random = seeded(seed);
    const form = pick(random, ['whole', 'merge', 'patch'] as const);
    const body = random.int(2)
      ? randomValue(random)
      : { ...validConfig, [pick(random, ['classes', 'slots', 'limits', 'zzz'])]: randomValue(random) };
    const ops = [
      {
        op: pick(random, ['add', 'remove', 'replace', 'move', 'test', 'zap']),
        path: pick(random, ['/classes', '/', '', '/a/b', 7]),
        value: body,
      },
    ];
    const planned = configSchema.plan(validConfig, form, form === 'patch' && random.int(3) ? ops : body);
    if (!planned.ok)
      assert.ok(
        planned.problems.length > 0 && planned.problems.every((problem) => problem.path !== '' && problem.text !== ''),
        `seed ${seed}`,
      );
  }
});

/** A message body that is close to a valid one, as purely random bodies seldom are. */
const nearlyValidBody = (random: Random): unknown => {
  const anyValue = (): unknown => randomValue(random, 2);
  const update = {
    name: pick(random, ['order', 'workers/x', 'load/x', 'core', 7, null]),
    mark: pick(random, [1, -1, 0.5, 1e300, '9', null]),
    value: anyValue(),
  };
  const order = { view: pick(random, [1e9, -1, 'x', null]), seq: anyValue(), members: anyValue(), state: anyValue() };
  return pick(random, [
    [update],
    [update, null],
    { digest: anyValue(), leaf: anyValue() },
    { to: anyValue(), key: anyValue(), group: anyValue(), ballot: anyValue(), held: anyValue(), next: anyValue() },
    { to: anyValue(), v: order, doneSeq: anyValue() },
    {
      op: pick(random, ['push', 'read', 'join', 'suspect', 'swept', 'drain', 'x']),
      push: anyValue(),
      node: anyValue(),
      list: anyValue(),
      id: anyValue(),
    },
    { place: anyValue(), role: anyValue() },
  ]);
};
const messageTypes = [
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
const chatStatuses = async (testFleet: Fleet): Promise<number[]> => {
  let statuses: number[] | undefined;
  const postChat = (i: number): Promise<number> =>
    testFleet
      .http(
        testFleet.process(`gateway-edge${i}`).options['http'] as Address,
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: 'hi [last]' }], max_tokens: 4, stream: false },
        { 'x-thornsail-program': `after-${i}`, 'x-thornsail-class': 'chat' },
      )
      .then(
        (reply) => reply.status,
        () => 0,
      );
  void Promise.all([1, 2, 3, 4, 5, 6, 7].map(postChat)).then((results) => (statuses = results));
  await testFleet.until('results', () => statuses !== undefined, duration.s(10));
  return statuses!;
};

test('nodes: no message of any kind, whatever its body, ends a node or stops the fleet', async () => {
  for (let seed = 1; seed <= 3; seed++) {
    const testFleet = await fleet.open({ seed, shape: 'lautoka' });
    const random = testFleet.world.rand;
    const runtime = testFleet.world.runtime(testFleet.hostOf('127.77.8.8'));
    const frames = await runtime.net.openFrameTransport('127.77.8.8:7101', () => true);
    for (let i = 0; i < 1500; i++) {
      const messageType = pick(random, messageTypes);
      // Nodes may drain one another; the fleet must survive all other messages.
      if (messageType === 'node.drain') continue;
      const target = pick(random, testFleet.processes);
      frames.send(
        target.options['place'] as Address,
        stringify({
          p: protocol.current,
          k: pick(random, ['ask', 'tell']),
          t: messageType,
          n: `${i}`,
          b: random.int(3) ? nearlyValidBody(random) : randomValue(random, 3),
        }),
      );
    }
    await testFleet.world.run(testFleet.world.now() + duration.s(3));
    assert.equal(await chatStatuses(testFleet), [200, 200, 200, 200, 200, 200, 200], `seed ${seed}`);
    assert.equal(testFleet.breaches(), [], `seed ${seed}`);
  }
});
test.run();
