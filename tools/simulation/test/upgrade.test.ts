import { parse, stringify } from 'devalue';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { rpc, protocol } from '@thornsail/rpc';
import { world } from '@thornsail/simulation';

test('a sibling that speaks a foreign protocol mark is refused politely, one in range is served', async () => {
  const w = world.open({ seed: 1, zoneDelay: duration.ms(1), clientDelay: duration.ms(1), clientIp: 'x' });
  const runtime = w.runtime(w.host('127.0.0.1', 'z1'));
  const p = await rpc.open(runtime, '127.0.0.1:1');
  p.on(
    'echo',
    () => true,
    (b) => b,
  );
  const got: { k: string; n: string; b: unknown }[] = [];
  const frames = await w
    .runtime(w.host('127.0.0.2', 'z1'))
    .net.openFrameTransport(
      '127.0.0.2:1',
      (_from, text) => got.push(parse(text) as { k: string; n: string; b: unknown }) > 0,
    );
  frames.send('127.0.0.1:1', stringify({ p: protocol.current + 1, k: 'ask', t: 'echo', n: '1', b: 'new' }));
  frames.send('127.0.0.1:1', stringify({ p: protocol.oldest - 1, k: 'ask', t: 'echo', n: '2', b: 'old' }));
  frames.send('127.0.0.1:1', stringify({ p: protocol.current, k: 'ask', t: 'echo', n: '3', b: 'same' }));
  frames.send('127.0.0.1:1', stringify({ p: protocol.current, k: 'ask', t: 'nosuch', n: '4', b: 0 }));
  frames.send('127.0.0.1:1', 'not a frame');
  await w.run(duration.s(1));
  const by = (n: string): { k: string; b: unknown } => got.find((x) => x.n === n)!;
  assert.match(String(by('1').b), /protocol mark 2 is not spoken here \(1 to 1\)/);
  assert.is(by('2').k, 'fault');
  assert.equal([by('3').k, by('3').b], ['result', 'same']);
  assert.match(String(by('4').b), /no such message/);
  assert.is(got.length, 4);
});
test('a node that was started again does not take a result that was meant for its former self', async () => {
  const w = world.open({ seed: 2, zoneDelay: duration.ms(1), clientDelay: duration.ms(1), clientIp: 'x' });
  const [a, b] = [w.host('127.0.0.1', 'z1'), w.host('127.0.0.2', 'z1')];
  const lb = w.runtime(b);
  const pb = await rpc.open(lb, '127.0.0.2:1');
  pb.on<{ say: string; after: number }>(
    'slow',
    () => true,
    ({ say, after }) =>
      new Promise((fin) => {
        lb.clock.schedule(after, () => fin(say));
      }),
  );
  const ask = async (say: string, after: number): Promise<string> =>
    (await rpc.open(w.runtime(a), '127.0.0.1:1')).request('127.0.0.2:1', 'slow', { say, after }, duration.s(3));
  void ask('for the first', duration.s(1)).catch(() => undefined);
  await w.run(duration.ms(100));
  w.kill(a, 'process');
  w.start(a);
  let got = '';
  void ask('for the second', duration.s(2)).then((x) => {
    got = x;
  });
  await w.run(duration.s(4));
  assert.is(got, 'for the second');
});
test.run();
