// RPC during an upgrade: protocol versions of other nodes, and results for an earlier process of the same node.
import { parse, stringify } from 'devalue';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { rpc, protocol } from '@thornsail/rpc';
import { world } from '@thornsail/simulation';

test('a node with an unsupported protocol version gets an error reply, one in range is served', async () => {
  const simulation = world.open({ seed: 1, zoneDelay: duration.ms(1), clientDelay: duration.ms(1), clientIp: 'x' });
  const runtime = simulation.runtime(simulation.host('127.0.0.1', 'z1'));
  const endpoint = await rpc.open(runtime, '127.0.0.1:1');
  endpoint.on(
    'echo',
    () => true,
    (payload) => payload,
  );
  const received: { k: string; n: string; b: unknown }[] = [];
  const transport = await simulation
    .runtime(simulation.host('127.0.0.2', 'z1'))
    .net.openFrameTransport(
      '127.0.0.2:1',
      (_from, text) => received.push(parse(text) as { k: string; n: string; b: unknown }) > 0,
    );
  transport.send('127.0.0.1:1', stringify({ p: protocol.current + 1, k: 'ask', t: 'echo', n: '1', b: 'new' }));
  transport.send('127.0.0.1:1', stringify({ p: protocol.oldest - 1, k: 'ask', t: 'echo', n: '2', b: 'old' }));
  transport.send('127.0.0.1:1', stringify({ p: protocol.current, k: 'ask', t: 'echo', n: '3', b: 'same' }));
  transport.send('127.0.0.1:1', stringify({ p: protocol.current, k: 'ask', t: 'nosuch', n: '4', b: 0 }));
  transport.send('127.0.0.1:1', 'not a frame');
  await simulation.run(duration.s(1));
  const replyTo = (requestId: string): { k: string; b: unknown } => received.find((frame) => frame.n === requestId)!;
  assert.match(String(replyTo('1').b), /protocol mark 2 is not spoken here \(1 to 1\)/);
  assert.is(replyTo('2').k, 'fault');
  assert.equal([replyTo('3').k, replyTo('3').b], ['result', 'same']);
  assert.match(String(replyTo('4').b), /no such message/);
  assert.is(received.length, 4);
});
test('a restarted node does not accept a result that was meant for its previous process', async () => {
  const simulation = world.open({ seed: 2, zoneDelay: duration.ms(1), clientDelay: duration.ms(1), clientIp: 'x' });
  const [client, server] = [simulation.host('127.0.0.1', 'z1'), simulation.host('127.0.0.2', 'z1')];
  const serverRuntime = simulation.runtime(server);
  const serverRpc = await rpc.open(serverRuntime, '127.0.0.2:1');
  serverRpc.on<{ text: string; after: number }>(
    'slow',
    () => true,
    ({ text, after }) =>
      new Promise((resolve) => {
        serverRuntime.clock.schedule(after, () => resolve(text));
      }),
  );
  const sendRequest = async (text: string, after: number): Promise<string> =>
    (await rpc.open(simulation.runtime(client), '127.0.0.1:1')).request(
      '127.0.0.2:1',
      'slow',
      { text, after },
      duration.s(3),
    );
  void sendRequest('for the first', duration.s(1)).catch(() => undefined);
  await simulation.run(duration.ms(100));
  simulation.kill(client, 'process');
  simulation.start(client);
  let result = '';
  void sendRequest('for the second', duration.s(2)).then((reply) => {
    result = reply;
  });
  await simulation.run(duration.s(4));
  assert.is(result, 'for the second');
});
test.run();
