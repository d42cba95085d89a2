// What goes over one connection, and how often it is encoded (§3.1).
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, duration, type Runtime, type Address } from '@thornsail/runtime';
import { rpc, rpcErrors, type Rpc } from '@thornsail/rpc';

const host = `127.${64 + (process.pid % 150)}.14.1`;
/** Counts what a method of sockets is called for. */
const counted = (name: '_write' | '_writev'): (() => number) => {
  const proto = net.Socket.prototype as unknown as Record<string, (...a: unknown[]) => unknown>;
  let n = 0;
  proto[name] = new Proxy(proto[name]!, {
    apply: (target, self, args) => {
      n += 1;
      return Reflect.apply<unknown, unknown[], unknown>(target, self, args as unknown[]);
    },
  });
  return () => n;
};
const writes = [counted('_write'), counted('_writev')];
const written = (): number => writes.reduce((a, w) => a + w(), 0);
const pair = async (): Promise<{ a: Rpc; b: Rpc }> => {
  const a = await rpc.open(real.runtime('/nonexistent'), `${host}:0`);
  const b = await rpc.open(real.runtime('/nonexistent'), `${host}:0`);
  for (const p of [a, b])
    p.on<{ n: number }>(
      'double',
      () => true,
      ({ n }) => n * 2,
    );
  return { a, b };
};

test('what is written to one connection within a turn of the event loop goes out together', async () => {
  const { a, b } = await pair();
  await a.request(b.at, 'double', { n: 1 });
  const before = written();
  const got = await Promise.all(Array.from({ length: 100 }, (_, n) => a.request<number>(b.at, 'double', { n })));
  assert.equal(
    got,
    [...got.keys()].map((n) => n * 2),
  );
  assert.ok(written() - before <= 6, `${written() - before} writes for 100 asks and their results`);
  await Promise.all([a.close(), b.close()]);
});
test('what was written just before the end of a connection still arrives', async () => {
  const { a, b } = await pair();
  await a.request(b.at, 'double', { n: 1 });
  const heard = new Promise<string>((done) => b.on<string>('last', () => true, done));
  a.notify(b.at, 'last', 'words');
  await a.close();
  assert.is(await heard, 'words');
  await b.close();
});
test('an ask to several is encoded once, and each result, fault and limit is its own', async () => {
  const sent: { to: Address; text: string }[] = [];
  const runtime = real.runtime('/nonexistent');
  const spied: Runtime = {
    ...runtime,
    net: {
      ...runtime.net,
      openFrameTransport: async (...x) => {
        const f = await runtime.net.openFrameTransport(...x);
        return { ...f, send: (to, text) => (sent.push({ to, text }), f.send(to, text)) };
      },
    },
  };
  const { a, b } = await pair();
  b.on(
    'double',
    () => true,
    () => Promise.reject(new Error('not today')),
  );
  const me = await rpc.open(spied, `${host}:0`);
  me.on<{ n: number }>(
    'double',
    () => true,
    ({ n }) => n * 20,
  );
  let reads = 0;
  const body = Object.defineProperty({}, 'n', { enumerable: true, get: () => ((reads += 1), 4) });
  const silent = net.createServer((s) => s.resume()).listen(0, host);
  await new Promise((up) => silent.once('listening', up));
  const nobody = `${host}:${(silent.address() as net.AddressInfo).port}`;
  const all = await Promise.allSettled(
    me.requestAll<number>([a.at, b.at, nobody, me.at], 'double', body, duration.ms(300)),
  );
  const codes = all.map((r) => (r.status === 'fulfilled' ? r.value : rpcErrors.codeOf(r.reason)));
  assert.equal(codes, [8, 'remote', 'timeout', 80]);
  assert.is(new Set(sent.map((s) => s.text)).size, 1);
  assert.equal(sent.map((s) => s.to).sort(), [a.at, b.at, nobody].sort());
  assert.is(reads, 2, 'once for all others, once for this node itself');
  await Promise.all([a.close(), b.close(), me.close()]);
  silent.close();
});
test.run();
