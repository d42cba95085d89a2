// Compatibility with messages of the previous release (§3.4).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type Host, type World } from '@thornsail/simulation';
import { ballot, encodeGroup, type Ballot, type WireGroup, type WireValue } from '@thornsail/register-store';
import { duration, type Microseconds } from '@thornsail/runtime';
import { rpc, validate } from '@thornsail/rpc';
import { storeAddress, withCluster, put, append, wallTimeIn, expectAbsent } from './builders.js';

/**
 * Starts a store of the previous release: it takes whole groups only and one key per request, has no extensions, and
 * stores nothing on disk.
 */
const startFormerStore = async (world: World, host: Host, storeNumber: number): Promise<void> => {
  const runtime = world.runtime(host);
  const endpoint = await rpc.open(runtime, storeAddress(storeNumber));
  type FormerReplica = { promised: Ballot; accepted: Ballot; held: WireValue | null; touched: Microseconds };
  type RequestBody = {
    to: string;
    group: WireGroup;
    key: string;
    ballot: Ballot;
    held: WireValue | null;
    next: Ballot | null;
  };
  const replicas = new Map<string, FormerReplica>();
  const emptyReplica: FormerReplica = { promised: [0, ''], accepted: [0, ''], held: null, touched: 0 };
  const baseShape = { to: validate.string, group: validate.object({ mark: validate.integer }), key: validate.string };
  const answer = (key: string, copy: FormerReplica): object => {
    replicas.set(key, copy);
    return { ok: true, copy, wall: runtime.clock.wallTime() };
  };
  endpoint.on<RequestBody>('reg.prepare', validate.object({ ...baseShape, ballot: validate.ballot }), (body) => {
    const current = replicas.get(body.key) ?? emptyReplica;
    if (ballot.compare(body.ballot, current.promised) <= 0)
      return { ok: false, why: 'ballot', promised: current.promised };
    return answer(body.key, { ...current, promised: body.ballot });
  });
  endpoint.on<RequestBody>('reg.accept', validate.object({ ...baseShape, ballot: validate.ballot }), (body) => {
    const current = replicas.get(body.key) ?? emptyReplica;
    if (ballot.compare(body.ballot, current.promised) < 0)
      return { ok: false, why: 'ballot', promised: current.promised };
    return answer(body.key, { promised: body.next ?? body.ballot, accepted: body.ballot, held: body.held, touched: 1 });
  });
  endpoint.on<RequestBody>('reg.read', validate.object(baseShape), (body) =>
    answer(body.key, replicas.get(body.key) ?? emptyReplica),
  );
};
test('stores of the previous release serve changes, reservations, reads of many keys and extensions', () =>
  withCluster(14, async ({ world, hosts, openClient, wait }) => {
    for (const i of [2, 3]) {
      world.kill(hosts[i - 1]!, 'disk');
      world.start(hosts[i - 1]!);
      await startFormerStore(world, hosts[i - 1]!, i);
    }
    const [client1, client2] = [await openClient(1), await openClient(2)];
    await client1.registers.reserve('x');
    assert.equal(await client1.registers.change('x', append('1')), []);
    assert.equal(await client2.registers.change('x', append('2')), ['1']);
    await client2.registers.change('y', put('y', duration.s(10)));
    assert.equal(await client1.registers.readMany(['x', 'none', 'y']), [['1', '2'], undefined, 'y']);
    assert.equal(await client1.registers.extend(['y', 'none'], wallTimeIn(world, duration.s(500))), ['none']);
    await wait(duration.s(100));
    world.kill(hosts[0]!, 'power');
    assert.is(await client2.registers.read('y'), 'y');
  }));
test('with a store of the previous release in the group, new keys are decided by ballots', () =>
  withCluster(25, async ({ world, hosts, openClient }) => {
    world.kill(hosts[2]!, 'disk');
    world.start(hosts[2]!);
    await startFormerStore(world, hosts[2]!, 3);
    const [client1, client2] = [await openClient(1), await openClient(2)];
    await client1.registers.change('warm', put(1));
    for (let i = 0; i < 5; i++) await client1.registers.change(`k${i}`, append('a'), duration.s(2), expectAbsent);
    assert.equal([client1.registers.counts().opened, client1.registers.counts().openings], [0, 1]);
    for (let i = 0; i < 5; i++)
      assert.equal(await client2.registers.change(`k${i}`, append('b'), duration.s(2), expectAbsent), ['a']);
  }));
test('proposers and sweeps of the previous release get the replies that they expect', () =>
  withCluster(
    15,
    async ({ world, stores, openClient, wait }) => {
      const client1 = await openClient(1);
      await client1.registers.change('k', put('v', duration.s(5)));
      await wait(duration.s(1));
      const group = encodeGroup(stores.get(1)!.group()!);
      const request = <T>(message: string, body: object): Promise<T> =>
        client1.rpc.request<T>(storeAddress(1), message, { to: 'k1', group, key: 'k', ...body }, duration.s(1));
      type FormerReply = {
        ok: boolean;
        copy: { promised: Ballot; accepted: Ballot; held: WireValue; touched: Microseconds };
        wall: Microseconds;
      };
      const prepared = await request<FormerReply>('reg.prepare', { ballot: [50, 'old'] });
      assert.equal([prepared.copy.promised, prepared.copy.held.value], [[50, 'old'], 'v']);
      const held = { value: 'w', until: wallTimeIn(world, duration.s(5)), ops: ['old.1'] };
      const acceptReply = await request<FormerReply>('reg.accept', { ballot: [50, 'old'], held, next: [51, 'old'] });
      assert.equal(
        [acceptReply.copy.promised, acceptReply.copy.accepted, acceptReply.copy.held],
        [[51, 'old'], [50, 'old'], held],
      );
      assert.equal((await request<FormerReply>('reg.read', {})).copy, acceptReply.copy);
      const purge = (): Promise<{ ok: boolean }> =>
        request('reg.purge', { ballot: [50, 'old'], wall: wallTimeIn(world, 0) });
      assert.is((await purge()).ok, false);
      await wait(duration.s(20));
      assert.is((await purge()).ok, true);
      type FormerRefusal = { ok: boolean; promised: Ballot };
      const low = await request<FormerRefusal>('reg.prepare', { ballot: [51, 'old'] });
      assert.equal([low.ok, low.promised[0]], [false, 51], 'a ballot of the dropped replica was accepted again');
      assert.ok((await request<FormerReply>('reg.prepare', { ballot: [52, 'old'] })).ok);
    },
    { grace: duration.s(10) },
  ));
test.run();
