// Batching of socket writes on one connection, and encoding of messages to several peers (§3.1).
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, duration, type Runtime, type Address } from '@thornsail/runtime';
import { rpc, rpcErrors, type Rpc } from '@thornsail/rpc';

const host = `127.${64 + (process.pid % 150)}.14.1`;
/** Counts the calls of a method of all sockets. */
const countCalls = (name: '_write' | '_writev'): (() => number) => {
  const prototype = net.Socket.prototype as unknown as Record<string, (...args: unknown[]) => unknown>;
  let calls = 0;
  prototype[name] = new Proxy(prototype[name]!, {
    apply: (target, self, args) => {
      calls += 1;
      return Reflect.apply<unknown, unknown[], unknown>(target, self, args as unknown[]);
    },
  });
  return () => calls;
};
const writeCounters = [countCalls('_write'), countCalls('_writev')];
const socketWrites = (): number => writeCounters.reduce((sum, count) => sum + count(), 0);
const openPair = async (): Promise<{ a: Rpc; b: Rpc }> => {
  const a = await rpc.open(real.runtime('/nonexistent'), `${host}:0`);
  const b = await rpc.open(real.runtime('/nonexistent'), `${host}:0`);
  for (const endpoint of [a, b])
    endpoint.on<{ n: number }>(
      'double',
      () => true,
      ({ n }) => n * 2,
    );
  return { a, b };
};

test('frames written to one connection in one turn of the event loop are sent together', async () => {
  const { a, b } = await openPair();
  await a.request(b.address, 'double', { n: 1 });
  const before = socketWrites();
  const results = await Promise.all(
    Array.from({ length: 100 }, (_, n) => a.request<number>(b.address, 'double', { n })),
  );
  assert.equal(
    results,
    [...results.keys()].map((n) => n * 2),
  );
  assert.ok(socketWrites() - before <= 6, `${socketWrites() - before} writes for 100 requests and their responses`);
  await Promise.all([a.close(), b.close()]);
});
test('a frame that is sent just before the endpoint closes still arrives', async () => {
  const { a, b } = await openPair();
  await a.request(b.address, 'double', { n: 1 });
  const received = new Promise<string>((resolve) => b.on<string>('last', () => true, resolve));
  a.notify(b.address, 'last', 'words');
  await a.close();
  assert.is(await received, 'words');
  await b.close();
});
test('a request to several peers is encoded once, and each peer has its own response, error or timeout', async () => {
  const sent: { to: Address; text: string }[] = [];
  const runtime = real.runtime('/nonexistent');
  const recordingRuntime: Runtime = {
    ...runtime,
    net: {
      ...runtime.net,
      openFrameTransport: async (...args) => {
        const transport = await runtime.net.openFrameTransport(...args);
        return { ...transport, send: (to, text) => (sent.push({ to, text }), transport.send(to, text)) };
      },
    },
  };
  const { a, b } = await openPair();
  b.on(
    'double',
    () => true,
    () => Promise.reject(new Error('handler failure')),
  );
  const client = await rpc.open(recordingRuntime, `${host}:0`);
  client.on<{ n: number }>(
    'double',
    () => true,
    ({ n }) => n * 20,
  );
  let reads = 0;
  const body = Object.defineProperty({}, 'n', { enumerable: true, get: () => ((reads += 1), 4) });
  const silentServer = net.createServer((socket) => socket.resume()).listen(0, host);
  await new Promise((resolve) => silentServer.once('listening', resolve));
  const silentAddress = `${host}:${(silentServer.address() as net.AddressInfo).port}`;
  const settled = await Promise.allSettled(
    client.requestAll<number>([a.address, b.address, silentAddress, client.address], 'double', body, duration.ms(300)),
  );
  const results = settled.map((item) => (item.status === 'fulfilled' ? item.value : rpcErrors.codeOf(item.reason)));
  assert.equal(results, [8, 'remote', 'timeout', 80]);
  assert.is(new Set(sent.map((frame) => frame.text)).size, 1);
  assert.equal(sent.map((frame) => frame.to).sort(), [a.address, b.address, silentAddress].sort());
  assert.is(reads, 2, 'once for all other peers, once for the own node');
  await Promise.all([a.close(), b.close(), client.close()]);
  silentServer.close();
});
test.run();
