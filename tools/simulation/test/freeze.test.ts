import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Address } from '@thornsail/runtime';
import { fleet, type Fleet, type FleetProcess } from '@thornsail/simulation';

/** An edge sleeps while two workers leave, cut off from some of the fleet; it is asked for jobs as it wakes. */
const sleptWhileWorkersLeft = async (seed: number, cutOff: (p: FleetProcess) => boolean): Promise<Fleet> => {
  const f = await fleet.open({ seed, shape: 'granite' });
  const at = f.process('gateway-edge2').options['http'] as Address;
  const job = (i: number): void =>
    void f
      .http(at, 'POST', '/v1/jobs', { i }, { 'x-thornsail-class': 'status', 'x-thornsail-time-left-ms': '9000' })
      .catch(() => undefined);
  f.freeze('gateway-edge2', duration.s(6));
  const others = f.processes.filter((p) => p.name !== 'gateway-edge2' && cutOff(p));
  const heal = f.partition(
    ['gateway-edge2'],
    others.map((p) => p.name),
  );
  await f.world.run(f.world.now() + duration.ms(200));
  for (const x of f.layout.workers.filter((y) => y.kind === 'app').slice(0, 2)) f.platform.leave(x.id);
  await f.world.run(f.world.now() + duration.ms(5700));
  heal();
  const before = f.requestLog.entries.length;
  // These are read in the moment of waking, before any news can have come.
  for (let i = 0; i < 12; i++) job(i);
  await f.world.run(f.world.now() + duration.s(3));
  assert.equal(f.breaches(), [], `seed ${seed}`);
  assert.is(f.process('gateway-edge2').node!.counts()['freezes'], 1);
  assert.ok(f.requestLog.entries.length > before, 'no job was served at all');
  return f;
};
test('an edge that slept while workers left, and heard nothing of it, asks for news before it sends', async () => {
  for (let seed = 1; seed <= 4; seed++) await sleptWhileWorkersLeft(seed, () => true);
});
test('an edge that slept and heard of other edges only is in touch, and asks for news all the same', async () => {
  for (let seed = 1; seed <= 4; seed++) {
    const f = await sleptWhileWorkersLeft(seed, (p) => p.role !== 'gateway');
    assert.ok(
      f.process('gateway-edge2').node!.counts()['refreshed']! > 0,
      `seed ${seed}: nothing was asked before sending`,
    );
  }
});
test("an edge that freezes between a turn's arrival and its sending does not send it on waking", async () => {
  const f = await fleet.open({ seed: 5, shape: 'lautoka' });
  const chat = (edge: string, program: string, text: string): void =>
    void f
      .http(
        f.process(edge).options['http'] as Address,
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: `${text} [last]` }], max_tokens: 20 },
        { 'x-thornsail-program': program, 'x-thornsail-class': 'chat', 'x-thornsail-time-left-ms': '8000' },
      )
      .catch(() => undefined);
  let caught = 0;
  for (let k = 0; k < 32; k++) {
    const program = `p${k}`;
    // Steps of 0.5 ms go through arrival, reading, admission, charge and sending.
    chat('gateway-edge2', program, 'a'.repeat(400));
    await f.world.run(f.world.now() + 1000 + k * 500);
    f.freeze('gateway-edge2', duration.s(5));
    const woke = f.world.now() + duration.s(5);
    await f.world.run(f.world.now() + duration.ms(4600));
    // Another edge takes the program over: its open turn counts as lost with its edge.
    chat('gateway-edge5', program, 'b');
    await f.world.run(woke + duration.s(2));
    const mine = f.requestLog.entries.filter((e) => e.program === program && e.prompt > 90);
    assert.ok(
      mine.every((e) => e.at < woke),
      `step ${k}: sent after waking`,
    );
    if (mine.length === 0) caught += 1;
  }
  assert.ok(caught > 3 && caught < 32, `${caught} of 32 freezes came before the sending: the steps miss the window`);
  assert.equal(f.breaches(), []);
});
test.run();
