// The HTTP interface of gateways and the operator API, on simulated fleets.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Address } from '@thornsail/runtime';
import { fleet, type Fleet } from '@thornsail/simulation';
import { apiRoot } from '@thornsail/admin-api';
import { survey } from '@thornsail/thornsail';

type Reply = { status: number; body: Record<string, unknown>; headers: Record<string, string> };
const awaitReply = async (testFleet: Fleet, work: Promise<Reply>): Promise<Reply> => {
  let isSettled = false;
  const markSettled = (): void => void (isSettled = true);
  work.then(markSettled, markSettled);
  await testFleet.until('a result', () => isSettled, duration.s(10));
  return work;
};
const postChat = (testFleet: Fleet, headers: Record<string, string>, body: unknown): Promise<Reply> =>
  awaitReply(
    testFleet,
    testFleet.http(
      testFleet.process('gateway-edge1').options['http'] as Address,
      'POST',
      '/v1/chat/completions',
      body,
      headers,
    ),
  );
const validHeaders = { 'x-thornsail-program': 'p1', 'x-thornsail-class': 'chat' };
const chatBody = { messages: [{ role: 'user', content: 'hello [last]' }], max_tokens: 8 };

test('invalid requests get a JSON error that names the field, and are not run', async () => {
  const testFleet = await fleet.open({ seed: 2, shape: 'lautoka' });
  const cases: [Record<string, string>, unknown, number, string, string | null][] = [
    [{}, chatBody, 400, 'missing_field', 'x-thornsail-class'],
    [{ ...validHeaders, 'x-thornsail-class': 'nosuch' }, chatBody, 400, 'unknown_class', 'x-thornsail-class'],
    [{ ...validHeaders, 'x-thornsail-class': 'push' }, chatBody, 400, 'bad_field', 'x-thornsail-class'],
    [{ 'x-thornsail-class': 'chat' }, chatBody, 400, 'missing_field', 'x-thornsail-program'],
    [{ ...validHeaders, 'x-thornsail-program': 'a b' }, chatBody, 400, 'bad_field', 'x-thornsail-program'],
    [{ ...validHeaders, 'x-thornsail-time-left-ms': '-5' }, chatBody, 400, 'bad_field', 'x-thornsail-time-left-ms'],
    [{ ...validHeaders, 'x-thornsail-once': 'true' }, chatBody, 400, 'missing_field', 'idempotency-key'],
    [{ ...validHeaders, 'x-thornsail-once': 'yes' }, chatBody, 400, 'bad_field', 'x-thornsail-once'],
    [validHeaders, { messages: [] }, 400, 'bad_field', 'messages'],
    [validHeaders, { messages: [{ content: 'x' }] }, 400, 'bad_field', 'messages'],
    [validHeaders, { ...chatBody, max_tokens: 0 }, 400, 'bad_field', 'max_tokens'],
    [validHeaders, { ...chatBody, stream: 'no' }, 400, 'bad_field', 'stream'],
    [validHeaders, [1], 400, 'bad_field', 'body'],
    [validHeaders, { messages: [{ role: 'user', content: 'x'.repeat(1_100_000) }] }, 413, 'too_large', 'body'],
  ];
  for (const [headers, body, status, error, field] of cases) {
    const reply = await postChat(testFleet, headers, body);
    assert.equal(
      [reply.status, reply.body['error'], reply.body['field'], reply.body['ran']],
      [status, error, field, 'no'],
    );
  }
  const notFound = await awaitReply(
    testFleet,
    testFleet.http(testFleet.process('gateway-edge1').options['http'] as Address, 'POST', '/nosuch', {}),
  );
  assert.is(notFound.status, 404);
  assert.is(testFleet.requestLog.entries.length, 0);
});

test('an unstreamed result, a repeated key, an exhausted budget and a stored conversation', async () => {
  const testFleet = await fleet.open({
    seed: 3,
    shape: 'lautoka',
    config: (config) => {
      (config['classes'] as Record<string, Record<string, unknown>>)['chat']!['budgetTokens'] = 60;
      return config;
    },
  });
  const keyHeaders = { 'idempotency-key': 'k1', 'x-thornsail-once': 'true' };
  const first = await postChat(testFleet, { ...validHeaders, ...keyHeaders }, { ...chatBody, stream: false });
  assert.is(first.status, 200);
  const replay = await awaitReply(
    testFleet,
    testFleet.http(
      testFleet.process('gateway-edge5').options['http'] as Address,
      'POST',
      '/v1/chat/completions',
      { ...chatBody, stream: false },
      { ...validHeaders, ...keyHeaders },
    ),
  );
  assert.equal(
    [replay.status, replay.headers['x-thornsail-replayed'], replay.body['choices']],
    [200, 'true', first.body['choices']],
  );
  assert.is(testFleet.requestLog.entries.length, 1);
  await testFleet.world.run(testFleet.world.now() + duration.s(1));
  for (const gatewayName of ['gateway-edge1', 'gateway-edge5'])
    assert.is(
      testFleet.process(gatewayName).node!.counts()['in_flight'],
      0,
      `${gatewayName} still counts a turn as open`,
    );
  let lastReply = first;
  for (let i = 0; i < 6 && lastReply.status === 200; i++)
    lastReply = await postChat(testFleet, validHeaders, { ...chatBody, stream: false });
  assert.equal([lastReply.status, lastReply.body['error'], lastReply.body['ran']], [403, 'budget_spent', 'no']);
  const tutorHeaders = { 'x-thornsail-program': 't1', 'x-thornsail-class': 'tutor', 'x-thornsail-conversation': 'c1' };
  assert.is((await postChat(testFleet, tutorHeaders, { ...chatBody, stream: false })).status, 200);
  const conversation = await awaitReply(
    testFleet,
    testFleet.http(testFleet.process('gateway-edge6').options['http'] as Address, 'GET', '/v1/conversations/c1'),
  );
  assert.equal([conversation.status, (conversation.body['messages'] as unknown[]).length], [200, 2]);
  assert.is(
    (
      await awaitReply(
        testFleet,
        testFleet.http(testFleet.process('gateway-edge6').options['http'] as Address, 'GET', '/v1/conversations/none'),
      )
    ).status,
    404,
  );
});

test('every node gives operators the same answers; without coordinators a node answers not_agreed', async () => {
  const testFleet = await fleet.open({ seed: 4, shape: 'granite' });
  const getResource = (nodeName: string, resource: string): Promise<Reply> =>
    awaitReply(
      testFleet,
      testFleet.http(testFleet.process(nodeName).options['http'] as Address, 'GET', `${apiRoot}/${resource}`),
    );
  for (const resource of ['config', 'classes', 'nodes', 'workers', 'status', 'marks', 'keepers']) {
    const replies: Reply[] = [];
    for (const nodeName of ['gateway-edge1', 'agent-edge4', 'coordinator2', 'store3'])
      replies.push(await getResource(nodeName, resource));
    for (const reply of replies) assert.equal(reply.body, replies[0]!.body, resource);
    assert.ok(typeof replies[0]!.body['mark'] === 'number');
  }
  const invalidPatch = await awaitReply(
    testFleet,
    testFleet.http(
      testFleet.process('agent-edge2').options['http'] as Address,
      'PATCH',
      `${apiRoot}/config`,
      { classes: { repair: { weight: -1 } } },
      { 'if-match': '1' },
    ),
  );
  assert.equal(
    [invalidPatch.status, (invalidPatch.body['problems'] as { path: string }[])[0]!.path],
    [422, 'classes.repair.weight'],
  );
  const stalePatch = await awaitReply(
    testFleet,
    testFleet.http(
      testFleet.process('store1').options['http'] as Address,
      'PATCH',
      `${apiRoot}/config`,
      { slots: { model: 9 } },
      { 'if-match': '0' },
    ),
  );
  assert.equal([stalePatch.status, stalePatch.body['mark']], [409, 1]);
  const pushConfig = (): Promise<Reply> =>
    awaitReply(
      testFleet,
      testFleet.http(
        testFleet.process('gateway-edge7').options['http'] as Address,
        'PATCH',
        `${apiRoot}/config`,
        { slots: { model: 9 } },
        { 'if-match': '1', 'push-id': 'same' },
      ),
    );
  assert.equal([(await pushConfig()).body['mark'], (await pushConfig()).body['repeated']], [2, true]);
  const patchHeaders = { 'content-type': 'application/json-patch+json', 'if-match': '2' };
  const patch = [{ op: 'replace', path: '/slots/model', value: 11 }];
  const storeAddress = testFleet.process('store2').options['http'] as Address;
  const plan = await awaitReply(
    testFleet,
    testFleet.http(storeAddress, 'PATCH', `${apiRoot}/config?plan=true`, patch, patchHeaders),
  );
  assert.equal(
    [plan.status, plan.body['plan']],
    [200, [{ op: 'replace', path: '/slots/model', before: 9, after: 11 }]],
  );
  assert.is((await getResource('gateway-edge3', 'config')).body['mark'], 2);
  assert.equal(
    (await awaitReply(testFleet, testFleet.http(storeAddress, 'PATCH', `${apiRoot}/config`, patch, patchHeaders))).body[
      'mark'
    ],
    3,
  );
  assert.is(
    (
      await awaitReply(
        testFleet,
        testFleet.http(storeAddress, 'PATCH', `${apiRoot}/config?plan=true`, patch, patchHeaders),
      )
    ).status,
    409,
  );
  assert.is((await getResource('agent-edge1', 'registers')).status, 200);
  assert.equal(
    ((await getResource('store1', 'history')).body['history'] as { mark: number }[]).map((entry) => entry.mark),
    [1, 2, 3],
  );
  assert.equal(
    (await getResource('store1', 'config?mark=2')).body['raw'],
    (await getResource('coordinator1', 'config?mark=2')).body['raw'],
  );
  assert.is((await getResource('store1', 'config?mark=77')).status, 404);
  const runSurvey = (address: Address): Promise<Awaited<ReturnType<typeof survey.run>>> => {
    let result: Awaited<ReturnType<typeof survey.run>> | undefined;
    void survey
      .run((to, path) => testFleet.http(to, 'GET', path).catch(() => undefined), address)
      .then((surveyResult) => {
        result = surveyResult;
      });
    return testFleet.until('the survey', () => result !== undefined, duration.s(20)).then(() => result!);
  };
  const healthy = await runSurvey(storeAddress);
  assert.equal(healthy.ok ? healthy.findings.filter((finding) => finding.severity === 'bad') : null, []);
  testFleet.kill('store3', 'power');
  testFleet.kill('agent-edge5');
  const degraded = await runSurvey(storeAddress);
  assert.ok(
    degraded.ok &&
      ['store3', 'agent-edge5'].every((nodeName) =>
        degraded.findings.some(
          (finding) => finding.severity === 'bad' && finding.about === nodeName && /does not answer/.test(finding.text),
        ),
      ),
  );
  testFleet.partition(
    ['coordinator1', 'coordinator2', 'coordinator3'],
    testFleet.processes
      .filter((fleetProcess) => fleetProcess.role !== 'coordinator')
      .map((fleetProcess) => fleetProcess.name),
  );
  const reply = await getResource('gateway-edge1', 'config');
  assert.equal([reply.status, reply.body['error']], [503, 'not_agreed']);
});

test('a drain can be cancelled, requested again and repeated; with a spare the group keeps three stores', async () => {
  const testFleet = await fleet.open({ seed: 8, shape: 'granite' });
  const callDrain = (method: string): Promise<Reply> =>
    awaitReply(
      testFleet,
      testFleet.http(testFleet.process('agent-edge2').options['http'] as Address, method, `${apiRoot}/drain/store3`),
    );
  const storeGroup = (): { mark: number; members: { at: string }[]; swept: number; draining: string[] } =>
    testFleet.process('agent-edge2').node!.membership.state()!.storeGroup;
  testFleet.addStore('store7', '127.77.2.7');
  await testFleet.until(
    'the spare store in the membership',
    () =>
      Object.values(testFleet.process('agent-edge2').node!.membership.state()!.nodes).some(
        (node) => node.name === 'store7',
      ),
    duration.s(10),
  );
  assert.is((await callDrain('GET')).body['state'], 'not draining');
  assert.is((await callDrain('POST')).body['safe'], false);
  assert.is((await callDrain('DELETE')).body['state'], 'not draining');
  assert.is(storeGroup().draining.length, 0);
  await callDrain('POST');
  await callDrain('POST');
  let safe = false;
  for (let i = 0; i < 60 && !safe; i++) {
    safe = (await callDrain('GET')).body['safe'] === true;
    await testFleet.world.run(testFleet.world.now() + duration.ms(250));
  }
  assert.ok(safe);
  assert.equal(
    [
      storeGroup().members.length,
      storeGroup().members.some((member) => member.at.startsWith('127.77.2.7')),
      storeGroup().members.some((member) => member.at.startsWith('127.77.2.3')),
    ],
    [3, true, false],
  );
  assert.equal(
    (
      await awaitReply(
        testFleet,
        testFleet.http(testFleet.process('agent-edge2').options['http'] as Address, 'POST', `${apiRoot}/drain/nosuch`),
      )
    ).status,
    404,
  );
  assert.equal(
    (
      await awaitReply(
        testFleet,
        testFleet.http(
          testFleet.process('agent-edge2').options['http'] as Address,
          'POST',
          `${apiRoot}/drain/coordinator1`,
        ),
      )
    ).status,
    400,
  );
});

test('a waiting turn whose client disconnects is never sent, and its program and budget are released', async () => {
  const testFleet = await fleet.open({
    seed: 6,
    shape: 'granite',
    perToken: duration.ms(60),
    config: (config) => ({ ...config, slots: { model: 1, app: 1 } }),
  });
  const gatewayAddress = testFleet.process('gateway-edge1').options['http'] as Address;
  const requestHeaders = { 'x-thornsail-class': 'diagnose', 'x-thornsail-time-left-ms': '9000' };
  // Six turns occupy the six workers, which have one slot each; the seventh turn waits until its client times out.
  for (let i = 0; i < 6; i++)
    void testFleet
      .http(
        gatewayAddress,
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: `${i} [last]` }], max_tokens: 40 },
        { ...requestHeaders, 'x-thornsail-program': `p${i}` },
      )
      .catch(() => undefined);
  await testFleet.world.run(testFleet.world.now() + duration.ms(100));
  let hasTimedOut = false;
  void testFleet.callerRuntime.net
    .request({
      at: gatewayAddress,
      method: 'POST',
      path: '/v1/chat/completions',
      headersTimeout: duration.ms(300),
      headers: { ...requestHeaders, 'content-type': 'application/json', 'x-thornsail-program': 'gone' },
      body: JSON.stringify(chatBody),
    })
    .catch(() => {
      hasTimedOut = true;
    });
  await testFleet.world.run(testFleet.world.now() + duration.s(12));
  assert.ok(hasTimedOut);
  assert.equal(testFleet.requestLog.entries.map((entry) => entry.program).sort(), ['p0', 'p1', 'p2', 'p3', 'p4', 'p5']);
  const counts = testFleet.process('gateway-edge1').node!.counts();
  assert.equal([counts['holding'], counts['in_flight']], [0, 0]);
  assert.equal(testFleet.breaches(), []);
});

test('a gateway is not ready without a configuration, nor while it is being drained', async () => {
  const testFleet = await fleet.open({ seed: 5, shape: 'lautoka', noConfig: true });
  await testFleet.world.run(duration.s(4));
  const gatewayAddress = testFleet.process('gateway-edge1').options['http'] as Address;
  const reply = await awaitReply(testFleet, testFleet.http(gatewayAddress, 'GET', '/ready'));
  assert.equal([reply.status, (reply.body['why'] as string[]).includes('no configuration')], [503, true]);
  const rejected = await postChat(testFleet, validHeaders, chatBody);
  assert.equal([rejected.status, rejected.headers['retry-after'], rejected.body['ran']], [503, '1', 'no']);
  await awaitReply(
    testFleet,
    testFleet.push(testFleet.shape.config, 0).then((result) => ({ status: result.status, body: {}, headers: {} })),
  );
  await testFleet.until('readiness', () => testFleet.ready() === 7, duration.s(5));
  await awaitReply(
    testFleet,
    testFleet.http(
      testFleet.process('agent-edge3').options['http'] as Address,
      'POST',
      `${apiRoot}/drain/gateway-edge1`,
    ),
  );
  await testFleet.world.run(testFleet.world.now() + duration.s(1));
  const leavingReply = await awaitReply(testFleet, testFleet.http(gatewayAddress, 'GET', '/ready'));
  assert.equal([leavingReply.status, (leavingReply.body['why'] as string[]).includes('leaving')], [503, true]);
  assert.equal(testFleet.breaches(), []);
});
test.run();
