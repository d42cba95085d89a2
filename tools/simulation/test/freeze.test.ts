// A gateway that freezes and resumes: what it refreshes, and what it does not send, before it is up to date again.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Address } from '@thornsail/runtime';
import { fleet, type Fleet, type FleetProcess } from '@thornsail/simulation';

/**
 * Freezes a gateway, partitioned from some of the nodes, while two workers leave; posts jobs to it as it resumes and
 * checks that some are served and no invariant is violated.
 */
const freezeWhileWorkersLeave = async (
  seed: number,
  isPartitioned: (fleetProcess: FleetProcess) => boolean,
): Promise<Fleet> => {
  const testFleet = await fleet.open({ seed, shape: 'granite' });
  const gatewayAddress = testFleet.process('gateway-edge2').options['http'] as Address;
  const postJob = (i: number): void =>
    void testFleet
      .http(
        gatewayAddress,
        'POST',
        '/v1/jobs',
        { i },
        { 'x-thornsail-class': 'status', 'x-thornsail-time-left-ms': '9000' },
      )
      .catch(() => undefined);
  testFleet.freeze('gateway-edge2', duration.s(6));
  const others = testFleet.processes.filter(
    (fleetProcess) => fleetProcess.name !== 'gateway-edge2' && isPartitioned(fleetProcess),
  );
  const heal = testFleet.partition(
    ['gateway-edge2'],
    others.map((fleetProcess) => fleetProcess.name),
  );
  await testFleet.world.run(testFleet.world.now() + duration.ms(200));
  for (const worker of testFleet.layout.workers.filter((candidate) => candidate.kind === 'app').slice(0, 2))
    testFleet.platform.leave(worker.id);
  await testFleet.world.run(testFleet.world.now() + duration.ms(5700));
  heal();
  const before = testFleet.requestLog.entries.length;
  // The gateway reads these as it resumes, before any update can have arrived.
  for (let i = 0; i < 12; i++) postJob(i);
  await testFleet.world.run(testFleet.world.now() + duration.s(3));
  assert.equal(testFleet.breaches(), [], `seed ${seed}`);
  assert.is(testFleet.process('gateway-edge2').node!.counts()['freezes'], 1);
  assert.ok(testFleet.requestLog.entries.length > before, 'no job was served at all');
  return testFleet;
};
test('a gateway frozen while workers left, and without updates, refreshes its state before it sends', async () => {
  for (let seed = 1; seed <= 4; seed++) await freezeWhileWorkersLeave(seed, () => true);
});
test('a frozen gateway that hears from other gateways only refreshes its state all the same', async () => {
  for (let seed = 1; seed <= 4; seed++) {
    const testFleet = await freezeWhileWorkersLeave(seed, (fleetProcess) => fleetProcess.role !== 'gateway');
    assert.ok(
      testFleet.process('gateway-edge2').node!.counts()['refreshed']! > 0,
      `seed ${seed}: no state was refreshed before sending`,
    );
  }
});
test("a gateway that freezes between a turn's arrival and its sending does not send it on resuming", async () => {
  const testFleet = await fleet.open({ seed: 5, shape: 'lautoka' });
  const postChat = (edge: string, program: string, text: string): void =>
    void testFleet
      .http(
        testFleet.process(edge).options['http'] as Address,
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: `${text} [last]` }], max_tokens: 20 },
        { 'x-thornsail-program': program, 'x-thornsail-class': 'chat', 'x-thornsail-time-left-ms': '8000' },
      )
      .catch(() => undefined);
  let unsentCount = 0;
  for (let step = 0; step < 32; step++) {
    const program = `p${step}`;
    // Steps of 0.5 ms cover arrival, reading, admission, budget charge and sending.
    postChat('gateway-edge2', program, 'a'.repeat(400));
    await testFleet.world.run(testFleet.world.now() + 1000 + step * 500);
    testFleet.freeze('gateway-edge2', duration.s(5));
    const resumedAt = testFleet.world.now() + duration.s(5);
    await testFleet.world.run(testFleet.world.now() + duration.ms(4600));
    // Another gateway takes the program over: its open turn counts as lost with the first gateway.
    postChat('gateway-edge5', program, 'b');
    await testFleet.world.run(resumedAt + duration.s(2));
    const sent = testFleet.requestLog.entries.filter((entry) => entry.program === program && entry.prompt > 90);
    assert.ok(
      sent.every((entry) => entry.receivedAt < resumedAt),
      `step ${step}: sent after resuming`,
    );
    if (sent.length === 0) unsentCount += 1;
  }
  assert.ok(
    unsentCount > 3 && unsentCount < 32,
    `${unsentCount} of 32 freezes came before the sending: the steps miss the window`,
  );
  assert.equal(testFleet.breaches(), []);
});
test.run();
