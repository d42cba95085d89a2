// Which responses count as complete on a managed connection (§5.8). A raw TCP server sends byte for byte what a faulty
// worker may send.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, time, duration, readText, type HttpConnection } from '@thornsail/runtime';

const runtime = real.runtime('/nonexistent');
const connectTimeout = duration.ms(500);
/** The outcome of an exchange; `silent` means that it did not end in time. */
type ExchangeResult = { status: number; body: string; outcome: 'end' | 'fail' | 'silent'; sent: boolean };

const listen = async (onSocket: (socket: net.Socket) => void): Promise<{ at: string; close: () => Promise<void> }> => {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onSocket(socket);
  });
  await new Promise<void>((resolve) => void server.listen(0, '127.0.0.1', resolve));
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      for (const socket of sockets) socket.destroy();
      server.close(() => resolve());
    });
  return { at: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, close };
};
const exchange = (
  connection: HttpConnection,
  target: string,
  body: Uint8Array | null = null,
): Promise<ExchangeResult> =>
  new Promise((resolve) => {
    const result: ExchangeResult = { status: 0, body: '', outcome: 'end', sent: false };
    runtime.clock.schedule(duration.s(1), () => resolve({ ...result, outcome: 'silent' }));
    connection.exchange(
      {
        method: body ? 'POST' : 'GET',
        target,
        headers: ['host', 'x', ...(body ? ['content-length', String(body.length)] : [])],
        body,
      },
      {
        onSent: () => void (result.sent = true),
        onHead: (status) => void (result.status = status),
        onData: (bytes) => void (result.body += Buffer.from(bytes).toString('latin1')),
        onEnd: () => resolve(result),
        onError: () => resolve({ ...result, outcome: 'fail' }),
      },
    );
  });

/** What the server does with the connection after the response. */
type Ending = 'reset' | 'close' | 'stay';
/** `response` follows the status line; `reusable` tells whether the connection may carry another exchange. */
type TestCase = { name: string; response: string; ending: Ending; complete: boolean; reusable: boolean };
const chunked = 'transfer-encoding: chunked\r\n';
const contentLength = (size: number): string => `content-length: ${size}\r\n`;
const connectionClose = 'connection: close\r\n';
const testCases: TestCase[] = [
  {
    name: 'content length, complete',
    response: `${contentLength(2)}\r\nok`,
    ending: 'stay',
    complete: true,
    reusable: true,
  },
  {
    name: 'chunked, complete',
    response: `${chunked}\r\n2\r\nok\r\n0\r\n\r\n`,
    ending: 'stay',
    complete: true,
    reusable: true,
  },
  { name: 'no length, connection closed', response: '\r\nok', ending: 'close', complete: true, reusable: false },
  { name: 'no length, connection reset', response: '\r\nok', ending: 'reset', complete: false, reusable: false },
  {
    name: 'no length and "close", connection reset',
    response: `${connectionClose}\r\nok`,
    ending: 'reset',
    complete: false,
    reusable: false,
  },
  {
    name: 'content length, truncated, connection closed',
    response: `${contentLength(9)}\r\nok`,
    ending: 'close',
    complete: false,
    reusable: false,
  },
  {
    name: 'content length, truncated, connection reset',
    response: `${contentLength(9)}\r\nok`,
    ending: 'reset',
    complete: false,
    reusable: false,
  },
  {
    name: 'content length and "close", truncated, connection closed',
    response: `${contentLength(9)}${connectionClose}\r\nok`,
    ending: 'close',
    complete: false,
    reusable: false,
  },
  {
    name: 'content length and "close", truncated, connection reset',
    response: `${contentLength(9)}${connectionClose}\r\nok`,
    ending: 'reset',
    complete: false,
    reusable: false,
  },
  {
    name: 'chunked without last chunk, connection closed',
    response: `${chunked}\r\n2\r\nok\r\n`,
    ending: 'close',
    complete: false,
    reusable: false,
  },
  {
    name: 'chunked and "close" without last chunk, connection closed',
    response: `${chunked}${connectionClose}\r\n2\r\nok\r\n`,
    ending: 'close',
    complete: false,
    reusable: false,
  },
  {
    name: 'chunked and "close" without last chunk, connection reset',
    response: `${chunked}${connectionClose}\r\n2\r\nok\r\n`,
    ending: 'reset',
    complete: false,
    reusable: false,
  },
  {
    name: 'content length and "close", complete',
    response: `${contentLength(2)}${connectionClose}\r\nok`,
    ending: 'close',
    complete: true,
    reusable: false,
  },
  {
    name: 'followed by another response',
    response: `${contentLength(2)}\r\nokHTTP/1.1 200 X\r\n${contentLength(4)}\r\nmore`,
    ending: 'stay',
    complete: true,
    reusable: false,
  },
  {
    name: 'followed by the beginning of another response',
    response: `${contentLength(2)}\r\nokHTTP/1.1 2`,
    ending: 'stay',
    complete: true,
    reusable: false,
  },
];
/** Ends the connection as the test case demands. */
const endConnection = (socket: net.Socket, ending: Ending): void => {
  // The delay lets the client read the preceding bytes before the reset.
  if (ending === 'reset') setTimeout(() => socket.resetAndDestroy(), 30);
  if (ending === 'close') socket.end();
};

for (const row of testCases)
  test(`${row.name}: ${row.complete ? 'complete' : 'incomplete'}, ${row.reusable ? 'reused' : 'closed'}`, async () => {
    const requestedTargets: string[] = [];
    const server = await listen((socket) =>
      socket.on('data', (bytes: Buffer) => {
        requestedTargets.push(bytes.toString('latin1').split(' ')[1] ?? '');
        socket.write(`HTTP/1.1 200 X\r\n${row.response}`);
        endConnection(socket, row.ending);
      }),
    );
    const connection = runtime.net.connectHttp(server.at, { connectTimeout });
    const result = await exchange(connection, '/first');
    assert.is(result.outcome, row.complete ? 'end' : 'fail');
    if (row.complete) assert.is(result.body, 'ok');
    const isOpen = connection.isOpen();
    if (row.reusable) assert.ok(isOpen);
    // A request sent immediately, before the client can notice anything else, must not get another one's response.
    const next = await exchange(connection, '/second');
    if (row.reusable) assert.equal(next, { status: 200, body: 'ok', outcome: 'end', sent: true });
    else {
      assert.is(next.outcome, 'fail');
      assert.not.ok(requestedTargets.includes('/second'), 'the second request was sent');
    }
    await time.sleep(runtime.clock, duration.ms(60));
    assert.is(connection.isOpen(), row.reusable);
    connection.close();
    await server.close();
  });

for (const row of testCases.filter((row) => row.ending !== 'stay'))
  test(`request: ${row.name}: ${row.complete ? 'complete' : 'incomplete'}`, async () => {
    for (const newConnection of [true, false]) {
      const server = await listen((socket) =>
        socket.once('data', () => {
          socket.write(`HTTP/1.1 200 X\r\n${row.response}`);
          endConnection(socket, row.ending);
        }),
      );
      const request = {
        at: server.at,
        method: 'GET',
        path: '/',
        headersTimeout: duration.s(1),
        newConnection,
      };
      const text = await runtime.net.request(request).then(
        (result) => readText(result.body).catch(() => null),
        () => null,
      );
      assert.is(text, row.complete ? 'ok' : null, newConnection ? 'new connection' : 'pooled connection');
      await server.close();
    }
  });

test('a connection is not reused if the response ends before the request body is fully sent', async () => {
  const size = 24 << 20;
  let receivedBytes = 0;
  let unexpectedBytes = 0;
  const server = await listen((socket) => {
    let headRead = false;
    socket.on('data', (bytes: Buffer) => {
      const text = headRead ? bytes : bytes.subarray(bytes.indexOf('\r\n\r\n') + 4);
      receivedBytes += text.length;
      unexpectedBytes += text.filter((byte) => byte !== 0x62).length;
      if (headRead) return;
      headRead = true;
      socket.write(`HTTP/1.1 503 X\r\n${contentLength(4)}\r\nbusy`);
      socket.pause();
      setTimeout(() => socket.resume(), 150);
    });
  });
  const connection = runtime.net.connectHttp(server.at, { connectTimeout });
  const result = await exchange(connection, '/long', Buffer.alloc(size, 'b'));
  assert.is(result.outcome, 'end');
  assert.is(result.status, 503);
  assert.not.ok(connection.isOpen(), 'the connection is open with unsent body bytes');
  const next = await exchange(connection, '/second');
  assert.is(next.outcome, 'fail');
  assert.not.ok(next.sent);
  await time.sleep(runtime.clock, duration.ms(400));
  assert.is(unexpectedBytes, 0);
  assert.ok(receivedBytes < size);
  connection.close();
  await server.close();
});
test.run();
