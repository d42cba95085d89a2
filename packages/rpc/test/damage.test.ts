// A malformed frame from a peer closes its connection; the node keeps serving and logs the address of the peer (§3.1).
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, seeded, duration, type Runtime } from '@thornsail/runtime';
import { rpc, type Rpc } from '@thornsail/rpc';

const host = `127.${64 + (process.pid % 150)}.13.1`;
const lengthPrefix = (n: number): Buffer => {
  const bytes = Buffer.allocUnsafe(4);
  bytes.writeUInt32BE(n);
  return bytes;
};
const frame = (text: string | Buffer): Buffer => {
  const bytes = Buffer.isBuffer(text) ? text : Buffer.from(text, 'utf8');
  return Buffer.concat([lengthPrefix(bytes.length), bytes]);
};
/** Writes bytes as a peer would, and waits until the other side closes or 150 ms pass without data. */
const sendBytes = (to: string, bytes: Buffer): Promise<'closed' | 'open'> =>
  new Promise((resolve) => {
    const [ip, port] = to.split(':');
    const socket = net.connect({ host: ip, port: Number(port) });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve('closed'));
    socket.write(bytes, () => {
      socket.setTimeout(150, () => {
        resolve('open');
        socket.destroy();
      });
    });
    socket.resume();
  });
const openNodes = async (logs: string[]): Promise<{ a: Rpc; b: Rpc; close: () => Promise<void> }> => {
  const runtime: Runtime = {
    ...real.runtime('/nonexistent'),
    log: () => (message) => void logs.push(typeof message === 'string' ? message : message()),
  };
  const a = await rpc.open(runtime, `${host}:0`);
  const b = await rpc.open(real.runtime('/nonexistent'), `${host}:0`);
  a.on<{ n: number }>(
    'double',
    () => true,
    ({ n }) => n * 2,
  );
  return { a, b, close: async () => void (await Promise.all([a.close(), b.close()])) };
};

test('frames that are truncated, undecodable, malformed or of wrong length affect only their connection', async () => {
  const logs: string[] = [];
  const { a, b, close } = await openNodes(logs);
  const sender = frame(`${host}:7777`);
  const afterSender = (...frames: Buffer[]): Buffer => Buffer.concat([sender, ...frames]);
  const cases: [string, Buffer, boolean][] = [
    ['a length of 4 GiB', afterSender(lengthPrefix(0xffffffff)), true],
    ['a length just over the limit', afterSender(lengthPrefix((16 << 20) + 1)), true],
    ['a sender that is not an address', frame('no address'), true],
    ['a sender of zero bytes', frame(''), true],
    ['a sender with an invalid port', frame(`${host}:99999`), true],
    ['half a frame', afterSender(frame('["x"]').subarray(0, 6)), false],
    ['bytes that are not valid UTF-8', afterSender(frame(Buffer.from([0xff, 0xfe, 0, 1]))), true],
    ['a null', afterSender(frame('[null]')), true],
    ['a number', afterSender(frame('7')), true],
    ['a list', afterSender(frame('[[1],2]')), true],
    ['no frame type', afterSender(frame('[{"p":1},1]')), true],
  ];
  for (const [description, bytes, closes] of cases) {
    const outcome = await sendBytes(a.address, bytes);
    if (closes) assert.is(outcome, 'closed', description);
    assert.is(await b.request<number>(a.address, 'double', { n: 21 }, duration.s(2)), 42, `after ${description}`);
  }
  assert.ok(
    logs.some((line) => line.includes(`${host}:7777`)),
    'the log names the address of the peer',
  );
  await close();
});

test('seeded random bytes and random frames do not stop the node', async () => {
  const logs: string[] = [];
  const { a, b, close } = await openNodes(logs);
  const random = seeded(11);
  const parts = ['[', ']', '{"p":1,"k":2,"t":3,"n":4,"b":5}', '1', 'null', '"ask"', '"double"', ',', '-1', '"x"', '{}'];
  for (let i = 0; i < 60; i++) {
    const raw = Buffer.from(Array.from({ length: random.int(200) }, () => random.int(256)));
    const text = Array.from({ length: random.int(12) }, () => parts[random.int(parts.length)]!).join('');
    const bytes = random.int(2) ? raw : Buffer.concat([frame(`${host}:7778`), frame(text), frame(raw)]);
    await sendBytes(a.address, bytes);
  }
  assert.is(await b.request<number>(a.address, 'double', { n: 4 }, duration.s(2)), 8);
  await close();
});
test.run();
