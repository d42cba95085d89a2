// Every gateway uses a configuration two seconds after its acknowledgement (§7.2), as its replies to callers show.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Address, type Microseconds } from '@thornsail/runtime';
import { fleet, type Fleet } from '@thornsail/simulation';

const edges = [1, 2, 3, 4, 5, 6, 7];
const coordinators = ['coordinator1', 'coordinator2', 'coordinator3'];
const addressOf = (testFleet: Fleet, name: string): Address => testFleet.process(name).options['http'] as Address;
/** The fleet's configuration with one test class, of this name. */
const withTestClass = (testFleet: Fleet, className: string): unknown => ({
  ...testFleet.shape.config,
  classes: { ...(testFleet.shape.config['classes'] as object), [className]: { kind: 'app', weight: 1 } },
});
const awaitResult = async <T>(testFleet: Fleet, work: Promise<T>, limit: Microseconds = duration.s(12)): Promise<T> => {
  const outcome: { value?: T; error?: unknown } = {};
  work.then(
    (value) => (outcome.value = value),
    (error: unknown) => (outcome.error = error),
  );
  await testFleet.until('a result', () => 'value' in outcome || 'error' in outcome, limit);
  if ('error' in outcome) throw outcome.error;
  return outcome.value!;
};
/** The status that a job of this class gets at each gateway; 0 for no reply. */
const statusesOf = async (testFleet: Fleet, className: string): Promise<number[]> => {
  const postJob = (i: number): Promise<number> =>
    testFleet
      .http(addressOf(testFleet, `gateway-edge${i}`), 'POST', '/v1/jobs', { i }, { 'x-thornsail-class': className })
      .then((reply) => reply.status)
      .catch(() => 0);
  return awaitResult(testFleet, Promise.all(edges.map(postJob)));
};
const openFleet = async (shape: 'lautoka' | 'granite'): Promise<Fleet> => {
  const testFleet = await fleet.open({ seed: 5, shape });
  const reply = await awaitResult(testFleet, testFleet.push(withTestClass(testFleet, 'old'), 1, 'old'));
  assert.equal(reply, { status: 200, mark: 2 });
  return testFleet;
};

for (const shape of ['lautoka', 'granite'] as const) {
  test(`${shape}: an acknowledged configuration is in use at every gateway`, async () => {
    const testFleet = await openFleet(shape);
    assert.equal(
      await statusesOf(testFleet, 'old'),
      edges.map(() => 200),
    );
  });

  test(`${shape}: coordinators partitioned from all edges acknowledge nothing; the edges keep serving`, async () => {
    const testFleet = await openFleet(shape);
    const heal = testFleet.partition(
      coordinators,
      testFleet.processes
        .filter((fleetProcess) => fleetProcess.role !== 'coordinator')
        .map((fleetProcess) => fleetProcess.name),
    );
    const reply = await awaitResult(
      testFleet,
      testFleet.http(
        addressOf(testFleet, 'coordinator2'),
        'PUT',
        '/thornsail/v1/config',
        withTestClass(testFleet, 'new'),
        {
          'if-match': '2',
          'push-id': 'new',
        },
      ),
    );
    assert.equal([reply.status, reply.body['error'], reply.body['mark']], [503, 'unconfirmed', 3]);
    assert.is((reply.body['fronts'] as string[]).length, 7);
    await testFleet.world.run(testFleet.world.now() + duration.s(4));
    assert.equal(
      await statusesOf(testFleet, 'old'),
      edges.map(() => 200),
    );
    heal();
    await testFleet.world.run(testFleet.world.now() + duration.s(3));
    assert.equal(
      await statusesOf(testFleet, 'new'),
      edges.map(() => 200),
    );
    // A repetition of the push has no further effect.
    const repeated = await awaitResult(testFleet, testFleet.push(withTestClass(testFleet, 'new'), 2, 'new'));
    assert.equal(repeated, { status: 200, mark: 3 });
    assert.equal(testFleet.breaches(), []);
  });

  test(`${shape}: coordinators with a minority of the edges acknowledge nothing; the others serve on`, async () => {
    const testFleet = await openFleet(shape);
    const unreachable = [4, 5, 6, 7]
      .flatMap((i) => [`gateway-edge${i}`, `agent-edge${i}`])
      .concat(['store2', 'store3']);
    testFleet.partition(
      unreachable,
      testFleet.processes
        .filter((fleetProcess) => !unreachable.includes(fleetProcess.name))
        .map((fleetProcess) => fleetProcess.name),
    );
    await testFleet.world.run(testFleet.world.now() + duration.s(4));
    const reply = await awaitResult(
      testFleet,
      testFleet.http(
        addressOf(testFleet, 'coordinator2'),
        'PUT',
        '/thornsail/v1/config',
        withTestClass(testFleet, 'new'),
        {
          'if-match': '2',
          'push-id': 'new',
        },
      ),
    );
    assert.equal(
      [reply.status, reply.body['error'], reply.body['fronts']],
      [503, 'unconfirmed', unreachable.slice(0, 8).filter((nodeName) => nodeName.startsWith('gateway'))],
    );
    await testFleet.world.run(testFleet.world.now() + duration.s(3));
    assert.equal(await statusesOf(testFleet, 'old'), [400, 400, 400, 200, 200, 200, 200]);
    assert.equal(testFleet.breaches(), []);
  });

  test(`${shape}: an edge partitioned from all nodes, but not from callers, uses no new configuration`, async () => {
    const testFleet = await openFleet(shape);
    const isolated = ['gateway-edge3', 'agent-edge3'];
    const heal = testFleet.partition(
      isolated,
      testFleet.processes
        .filter((fleetProcess) => !isolated.includes(fleetProcess.name))
        .map((fleetProcess) => fleetProcess.name),
    );
    const reply = await awaitResult(testFleet, testFleet.push(withTestClass(testFleet, 'new'), 2, 'new'));
    assert.is(reply.status, 200);
    await testFleet.world.run(testFleet.world.now() + duration.s(2));
    const statuses = await statusesOf(testFleet, 'old');
    assert.equal(statuses, [400, 400, 503, 400, 400, 400, 400]);
    heal();
    await testFleet.world.run(testFleet.world.now() + duration.s(4));
    assert.equal(
      await statusesOf(testFleet, 'new'),
      edges.map(() => 200),
    );
    assert.equal(testFleet.breaches(), []);
  });

  test(`${shape}: a gateway whose agent hangs gets the configuration from other nodes`, async () => {
    const testFleet = await openFleet(shape);
    testFleet.freeze('agent-edge4', duration.s(20));
    const reply = await awaitResult(testFleet, testFleet.push(withTestClass(testFleet, 'new'), 2, 'new'));
    assert.is(reply.status, 200);
    await testFleet.world.run(testFleet.world.now() + duration.s(1));
    assert.equal(
      await statusesOf(testFleet, 'new'),
      edges.map(() => 200),
    );
    assert.equal(testFleet.breaches(), []);
  });
}
test.run();
