// Damaged frames from a sibling break its connection; the node lives and says who it was (§3.1).
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, seeded, duration, type Runtime } from '@thornsail/runtime';
import { rpc, type Rpc } from '@thornsail/rpc';

const host = `127.${64 + (process.pid % 150)}.13.1`;
const head = (n: number): Buffer => {
  const b = Buffer.allocUnsafe(4);
  b.writeUInt32BE(n);
  return b;
};
const frame = (text: string | Buffer): Buffer => {
  const b = Buffer.isBuffer(text) ? text : Buffer.from(text, 'utf8');
  return Buffer.concat([head(b.length), b]);
};
/** Writes bytes as a sibling would, and waits until the other side closes or has had its say. */
const throwAt = (to: string, bytes: Buffer): Promise<'closed' | 'open'> =>
  new Promise((done) => {
    const [ip, port] = to.split(':');
    const s = net.connect({ host: ip, port: Number(port) });
    s.on('error', () => undefined);
    s.on('close', () => done('closed'));
    s.write(bytes, () => {
      s.setTimeout(150, () => {
        done('open');
        s.destroy();
      });
    });
    s.resume();
  });
const open = async (logs: string[]): Promise<{ a: Rpc; b: Rpc; close: () => Promise<void> }> => {
  const runtime: Runtime = {
    ...real.runtime('/nonexistent'),
    log: () => (t) => void logs.push(typeof t === 'string' ? t : t()),
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

test('frames with a bad length, cut in half, unreadable or of another shape end only their connection', async () => {
  const logs: string[] = [];
  const { a, b, close } = await open(logs);
  const from = frame(`${host}:7777`);
  const after = (...x: Buffer[]): Buffer => Buffer.concat([from, ...x]);
  const cases: [string, Buffer, boolean][] = [
    ['a length of 4 GiB', after(head(0xffffffff)), true],
    ['a length just over the limit', after(head((16 << 20) + 1)), true],
    ['a sender that is no address', frame('no address'), true],
    ['a sender of zero bytes', frame(''), true],
    ['a sender with a bad port', frame(`${host}:99999`), true],
    ['half a frame', after(frame('["x"]').subarray(0, 6)), false],
    ['bytes that are no text', after(frame(Buffer.from([0xff, 0xfe, 0, 1]))), true],
    ['a null', after(frame('[null]')), true],
    ['a number', after(frame('7')), true],
    ['a list', after(frame('[[1],2]')), true],
    ['no kind', after(frame('[{"p":1},1]')), true],
  ];
  for (const [what, bytes, closes] of cases) {
    const how = await throwAt(a.at, bytes);
    if (closes) assert.is(how, 'closed', what);
    assert.is(await b.request<number>(a.at, 'double', { n: 21 }, duration.s(2)), 42, `after ${what}`);
  }
  assert.ok(
    logs.some((l) => l.includes(`${host}:7777`)),
    'the log names the sibling',
  );
  await close();
});

test('random bytes and random shapes, by seed, end nothing', async () => {
  const logs: string[] = [];
  const { a, b, close } = await open(logs);
  const r = seeded(11);
  const parts = ['[', ']', '{"p":1,"k":2,"t":3,"n":4,"b":5}', '1', 'null', '"ask"', '"double"', ',', '-1', '"x"', '{}'];
  for (let i = 0; i < 60; i++) {
    const raw = Buffer.from(Array.from({ length: r.int(200) }, () => r.int(256)));
    const text = Array.from({ length: r.int(12) }, () => parts[r.int(parts.length)]!).join('');
    const bytes = r.int(2) ? raw : Buffer.concat([frame(`${host}:7778`), frame(text), frame(raw)]);
    await throwAt(a.at, bytes);
  }
  assert.is(await b.request<number>(a.at, 'double', { n: 4 }, duration.s(2)), 8);
  await close();
});
test.run();
