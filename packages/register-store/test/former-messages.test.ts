// Messages of the release before (§3.4).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type Host, type World } from '@thornsail/simulation';
import { ballot, encodeGroup, type Ballot, type WireGroup, type WireValue } from '@thornsail/register-store';
import { duration, type Microseconds } from '@thornsail/runtime';
import { rpc, validate } from '@thornsail/rpc';
import { at, withCluster, put, append, wallAt, fresh } from './builders.js';

/** A store of the release before: whole groups only, one key at a time, no extensions; it keeps nothing on disk. */
const formerStore = async (w: World, host: Host, i: number): Promise<void> => {
  const runtime = w.runtime(host);
  const p = await rpc.open(runtime, at(i));
  type Copy = { promised: Ballot; accepted: Ballot; held: WireValue | null; touched: Microseconds };
  type Ask = { to: string; group: WireGroup; key: string; ballot: Ballot; held: WireValue | null; next: Ballot | null };
  const all = new Map<string, Copy>();
  const none: Copy = { promised: [0, ''], accepted: [0, ''], held: null, touched: 0 };
  const base = { to: validate.string, group: validate.object({ mark: validate.integer }), key: validate.string };
  const answer = (key: string, copy: Copy): object => {
    all.set(key, copy);
    return { ok: true, copy, wall: runtime.clock.wallTime() };
  };
  p.on<Ask>('reg.prepare', validate.object({ ...base, ballot: validate.ballot }), (m) => {
    const cur = all.get(m.key) ?? none;
    if (ballot.compare(m.ballot, cur.promised) <= 0) return { ok: false, why: 'ballot', promised: cur.promised };
    return answer(m.key, { ...cur, promised: m.ballot });
  });
  p.on<Ask>('reg.accept', validate.object({ ...base, ballot: validate.ballot }), (m) => {
    const cur = all.get(m.key) ?? none;
    if (ballot.compare(m.ballot, cur.promised) < 0) return { ok: false, why: 'ballot', promised: cur.promised };
    return answer(m.key, { promised: m.next ?? m.ballot, accepted: m.ballot, held: m.held, touched: 1 });
  });
  p.on<Ask>('reg.read', validate.object(base), (m) => answer(m.key, all.get(m.key) ?? none));
};
test('stores of the release before take part: changes, reservations, reads of many keys, extensions', () =>
  withCluster(14, async ({ w, hosts, edge, wait }) => {
    for (const i of [2, 3]) {
      w.kill(hosts[i - 1]!, 'disk');
      w.start(hosts[i - 1]!);
      await formerStore(w, hosts[i - 1]!, i);
    }
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.reserve('x');
    assert.equal(await a.regs.change('x', append('1')), []);
    assert.equal(await b.regs.change('x', append('2')), ['1']);
    await b.regs.change('y', put('y', duration.s(10)));
    assert.equal(await a.regs.readMany(['x', 'none', 'y']), [['1', '2'], undefined, 'y']);
    assert.equal(await a.regs.extend(['y', 'none'], wallAt(w, duration.s(500))), ['none']);
    await wait(duration.s(100));
    w.kill(hosts[0]!, 'power');
    assert.is(await b.regs.read('y'), 'y');
  }));
test('with a store of the release before new keys are decided by ballots as before', () =>
  withCluster(25, async ({ w, hosts, edge }) => {
    w.kill(hosts[2]!, 'disk');
    w.start(hosts[2]!);
    await formerStore(w, hosts[2]!, 3);
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.change('warm', put(1));
    for (let i = 0; i < 5; i++) await a.regs.change(`k${i}`, append('a'), duration.s(2), fresh);
    assert.equal([a.regs.counts().opened, a.regs.counts().openings], [0, 1]);
    for (let i = 0; i < 5; i++) assert.equal(await b.regs.change(`k${i}`, append('b'), duration.s(2), fresh), ['a']);
  }));
test('proposers and sweeps of the release before are answered as they were', () =>
  withCluster(
    15,
    async ({ w, stores, edge, wait }) => {
      const a = await edge(1);
      await a.regs.change('k', put('v', duration.s(5)));
      await wait(duration.s(1));
      const group = encodeGroup(stores.get(1)!.group()!);
      const ask = <T>(kind: string, body: object): Promise<T> =>
        a.rpc.request<T>(at(1), kind, { to: 'k1', group, key: 'k', ...body }, duration.s(1));
      type Old = {
        ok: boolean;
        copy: { promised: Ballot; accepted: Ballot; held: WireValue; touched: Microseconds };
        wall: Microseconds;
      };
      const p = await ask<Old>('reg.prepare', { ballot: [50, 'old'] });
      assert.equal([p.copy.promised, p.copy.held.value], [[50, 'old'], 'v']);
      const held = { value: 'w', until: wallAt(w, duration.s(5)), ops: ['old.1'] };
      const acc = await ask<Old>('reg.accept', { ballot: [50, 'old'], held, next: [51, 'old'] });
      assert.equal([acc.copy.promised, acc.copy.accepted, acc.copy.held], [[51, 'old'], [50, 'old'], held]);
      assert.equal((await ask<Old>('reg.read', {})).copy, acc.copy);
      const purge = (): Promise<{ ok: boolean }> => ask('reg.purge', { ballot: [50, 'old'], wall: wallAt(w, 0) });
      assert.is((await purge()).ok, false);
      await wait(duration.s(20));
      assert.is((await purge()).ok, true);
      type Refused = { ok: boolean; promised: Ballot };
      const low = await ask<Refused>('reg.prepare', { ballot: [51, 'old'] });
      assert.equal([low.ok, low.promised[0]], [false, 51], 'a ballot of what was dropped is used again');
      assert.ok((await ask<Old>('reg.prepare', { ballot: [52, 'old'] })).ok);
    },
    { grace: duration.s(10) },
  ));
test.run();
