// What counts as a whole answer on a connection of one's own (§5.8): a raw server writes byte for byte what a worker in
// trouble may send.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, time, duration, readText, type HttpConnection } from '@thornsail/runtime';

const runtime = real.runtime('/nonexistent');
const connectWithin = duration.ms(500);
type Got = { status: number; body: string; how: 'end' | 'fail' | 'silent'; sent: boolean };

const listen = async (onSocket: (socket: net.Socket) => void): Promise<{ at: string; close: () => Promise<void> }> => {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onSocket(socket);
  });
  await new Promise<void>((up) => void server.listen(0, '127.0.0.1', up));
  const close = (): Promise<void> =>
    new Promise((fin) => {
      for (const socket of sockets) socket.destroy();
      server.close(() => fin());
    });
  return { at: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, close };
};
const exchange = (connection: HttpConnection, target: string, body: Uint8Array | null = null): Promise<Got> =>
  new Promise((done) => {
    const got: Got = { status: 0, body: '', how: 'end', sent: false };
    runtime.clock.schedule(duration.s(1), () => done({ ...got, how: 'silent' }));
    connection.exchange(
      {
        method: body ? 'POST' : 'GET',
        target,
        headers: ['host', 'x', ...(body ? ['content-length', String(body.length)] : [])],
        body,
      },
      {
        onSent: () => void (got.sent = true),
        onHead: (status) => void (got.status = status),
        onData: (bytes) => void (got.body += Buffer.from(bytes).toString('latin1')),
        onEnd: () => done(got),
        onError: () => done({ ...got, how: 'fail' }),
      },
    );
  });

type Ending = 'reset' | 'close' | 'stay';
type Case = { what: string; answer: string; ending: Ending; whole: boolean; again: boolean };
const chunked = 'transfer-encoding: chunked\r\n';
const length = (size: number): string => `content-length: ${size}\r\n`;
const closes = 'connection: close\r\n';
const cases: Case[] = [
  { what: 'a length, whole', answer: `${length(2)}\r\nok`, ending: 'stay', whole: true, again: true },
  { what: 'chunks, whole', answer: `${chunked}\r\n2\r\nok\r\n0\r\n\r\n`, ending: 'stay', whole: true, again: true },
  { what: 'no length, closed', answer: '\r\nok', ending: 'close', whole: true, again: false },
  { what: 'no length, reset', answer: '\r\nok', ending: 'reset', whole: false, again: false },
  { what: 'no length and "close", reset', answer: `${closes}\r\nok`, ending: 'reset', whole: false, again: false },
  { what: 'a length, short, closed', answer: `${length(9)}\r\nok`, ending: 'close', whole: false, again: false },
  { what: 'a length, short, reset', answer: `${length(9)}\r\nok`, ending: 'reset', whole: false, again: false },
  {
    what: 'a length and "close", short, closed',
    answer: `${length(9)}${closes}\r\nok`,
    ending: 'close',
    whole: false,
    again: false,
  },
  {
    what: 'a length and "close", short, reset',
    answer: `${length(9)}${closes}\r\nok`,
    ending: 'reset',
    whole: false,
    again: false,
  },
  {
    what: 'chunks without their end, closed',
    answer: `${chunked}\r\n2\r\nok\r\n`,
    ending: 'close',
    whole: false,
    again: false,
  },
  {
    what: 'chunks and "close" without their end, closed',
    answer: `${chunked}${closes}\r\n2\r\nok\r\n`,
    ending: 'close',
    whole: false,
    again: false,
  },
  {
    what: 'chunks and "close" without their end, reset',
    answer: `${chunked}${closes}\r\n2\r\nok\r\n`,
    ending: 'reset',
    whole: false,
    again: false,
  },
  {
    what: 'a length and "close", whole',
    answer: `${length(2)}${closes}\r\nok`,
    ending: 'close',
    whole: true,
    again: false,
  },
  {
    what: 'more bytes right behind',
    answer: `${length(2)}\r\nokHTTP/1.1 200 X\r\n${length(4)}\r\nmore`,
    ending: 'stay',
    whole: true,
    again: false,
  },
  {
    what: 'a started head right behind',
    answer: `${length(2)}\r\nokHTTP/1.1 2`,
    ending: 'stay',
    whole: true,
    again: false,
  },
];
const ended = (socket: net.Socket, ending: Ending): void => {
  // The bytes before it are read first.
  if (ending === 'reset') setTimeout(() => socket.resetAndDestroy(), 30);
  if (ending === 'close') socket.end();
};

for (const one of cases)
  test(`${one.what}: ${one.whole ? 'whole' : 'not whole'}, ${one.again ? 'kept' : 'not used again'}`, async () => {
    const asked: string[] = [];
    const server = await listen((socket) =>
      socket.on('data', (bytes: Buffer) => {
        asked.push(bytes.toString('latin1').split(' ')[1] ?? '');
        socket.write(`HTTP/1.1 200 X\r\n${one.answer}`);
        ended(socket, one.ending);
      }),
    );
    const connection = runtime.net.connectHttp(server.at, { connectWithin });
    const got = await exchange(connection, '/first');
    assert.is(got.how, one.whole ? 'end' : 'fail');
    if (one.whole) assert.is(got.body, 'ok');
    const usable = connection.isOpen();
    if (one.again) assert.ok(usable);
    // Whoever asks at once, before anything else could be seen, gets no other's answer either.
    const next = await exchange(connection, '/second');
    if (one.again) assert.equal(next, { status: 200, body: 'ok', how: 'end', sent: true });
    else {
      assert.is(next.how, 'fail');
      assert.not.ok(asked.includes('/second'), 'the second request has left');
    }
    await time.sleep(runtime.clock, duration.ms(60));
    assert.is(connection.isOpen(), one.again);
    connection.close();
    await server.close();
  });

for (const one of cases.filter((x) => x.ending !== 'stay'))
  test(`a call: ${one.what}: ${one.whole ? 'whole' : 'not whole'}`, async () => {
    for (const fresh of [true, false]) {
      const server = await listen((socket) =>
        socket.once('data', () => {
          socket.write(`HTTP/1.1 200 X\r\n${one.answer}`);
          ended(socket, one.ending);
        }),
      );
      const call = { at: server.at, method: 'GET', path: '/', headersTimeout: duration.s(1), newConnection: fresh };
      const text = await runtime.net.request(call).then(
        (result) => readText(result.body).catch(() => null),
        () => null,
      );
      assert.is(text, one.whole ? 'ok' : null, fresh ? 'fresh' : 'kept');
      await server.close();
    }
  });

test('an answer before the request is in: the rest of its body is all that may follow it', async () => {
  const size = 24 << 20;
  let read = 0;
  let strange = 0;
  const server = await listen((socket) => {
    let begun = false;
    socket.on('data', (bytes: Buffer) => {
      const text = begun ? bytes : bytes.subarray(bytes.indexOf('\r\n\r\n') + 4);
      read += text.length;
      strange += text.filter((byte) => byte !== 0x62).length;
      if (begun) return;
      begun = true;
      socket.write(`HTTP/1.1 503 X\r\n${length(4)}\r\nbusy`);
      socket.pause();
      setTimeout(() => socket.resume(), 150);
    });
  });
  const connection = runtime.net.connectHttp(server.at, { connectWithin });
  const got = await exchange(connection, '/long', Buffer.alloc(size, 'b'));
  assert.is(got.how, 'end');
  assert.is(got.status, 503);
  assert.not.ok(connection.isOpen(), 'it still owes the rest of a body');
  const next = await exchange(connection, '/second');
  assert.is(next.how, 'fail');
  assert.not.ok(next.sent);
  await time.sleep(runtime.clock, duration.ms(400));
  assert.is(strange, 0);
  assert.ok(read < size);
  connection.close();
  await server.close();
});
test.run();
