// Responses that never end are broken off by what they send, long before any deadline.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, fault, openByteCollector, readText, real } from '@thornsail/runtime';

const runtime = real.runtime('/nonexistent');
const head = 'HTTP/1.1 200 OK\r\n';
const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
/** What is sent first, and what follows again and again; nothing follows if it is empty. */
const endless: Record<string, [first: string, repeated: string]> = {
  'garbage': ['', 'no answer\xff\r\n'],
  'blank lines': ['', '\r\n'],
  'reason phrase': ['HTTP/1.1 200 ', 'x'],
  'header': [`${head}X-Long: `, 'x'],
  'headers': [head, 'X-More: y\r\n'],
  'informational heads': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  'one-byte chunks': [chunkedHead, '1\r\nx\r\n'],
  'chunk extension': [`${chunkedHead}1;`, 'x'],
  'chunk size': [chunkedHead, '0'],
  'trailers': [`${chunkedHead}0\r\n`, 'X-More: y\r\n'],
};
/** In one write to the connection. */
const repetitions = 5000;
/** Content and everything else that may be taken of a response without end, in bytes. */
const mostTaken = 512 << 10;

type Server = { at: string; close: () => void };
const serve = async ([first, repeated]: [string, string]): Promise<Server> => {
  const block = Buffer.from(repeated.repeat(repetitions), 'latin1');
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(first, 'latin1');
      const send = (): void => {
        while (block.length > 0 && !socket.destroyed) if (!socket.write(block)) return void socket.once('drain', send);
      };
      send();
    });
  });
  await new Promise<void>((resolve) => void server.listen(0, '127.0.0.1', resolve));
  const close = (): void => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  return { at: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, close };
};

/** Runs an exchange; resolves with its error, or null if it has none after a second. */
const exchangeError = (at: string): Promise<{ error: Error | null; content: number }> =>
  new Promise((resolve) => {
    let content = 0;
    const connection = runtime.net.connectHttp(at, { connectTimeout: duration.ms(500) });
    const finish = (error: Error | null): void => {
      connection.close();
      resolve({ error, content });
    };
    connection.exchange(
      { method: 'GET', target: '/', headers: ['host', 'x'], body: null },
      {
        onSent: () => undefined,
        onHead: () => undefined,
        onData: (bytes) => void (content += bytes.length),
        onEnd: () => finish(null),
        onError: finish,
      },
    );
    runtime.clock.schedule(duration.s(1), () => finish(null));
  });
const receivedBytes = (): number => runtime.usage?.()['http_client_received_bytes'] ?? 0;

for (const [name, bytes] of Object.entries(endless)) {
  test(`an exchange whose response is an endless ${name} fails by what it received`, async () => {
    const server = await serve(bytes);
    const before = receivedBytes();
    const { error, content } = await exchangeError(server.at);
    server.close();
    assert.ok(error, 'it fails within a second');
    assert.ok(content <= mostTaken, `${content} bytes of content`);
    assert.ok(receivedBytes() - before <= mostTaken, `${receivedBytes() - before} bytes received`);
  });
  test(`a text whose response is an endless ${name} fails by what it received`, async () => {
    const server = await serve(bytes);
    const before = receivedBytes();
    const call = { at: server.at, method: 'GET', path: '/', headersTimeout: duration.s(5), newConnection: true };
    const read = runtime.net.request(call).then((response) => readText(response.body));
    const outcome = await Promise.race([
      read.catch((error: unknown) => fault.text(error)),
      new Promise((resolve) => runtime.clock.schedule(duration.s(1), () => resolve(null))),
    ]);
    server.close();
    assert.type(outcome, 'string');
    assert.ok(receivedBytes() - before <= mostTaken, `${receivedBytes() - before} bytes received`);
  });
}

test('a response in chunks of one byte, up to 4000 of them, is complete', async () => {
  const server = await serve([`${chunkedHead}${'1\r\nx\r\n'.repeat(4000)}0\r\n\r\n`, '']);
  const { error, content } = await exchangeError(server.at);
  server.close();
  assert.is(error, null);
  assert.is(content, 4000);
});
test('a text that comes byte by byte ends at its total timeout', async () => {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.write(`${head}Connection: close\r\n\r\n`);
    const timer = setInterval(() => socket.write('x'), 20);
    socket.on('close', () => clearInterval(timer));
  });
  await new Promise<void>((resolve) => void server.listen(0, '127.0.0.1', resolve));
  const at = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const call = { at, method: 'GET', path: '/', headersTimeout: duration.s(1), newConnection: true };
  const startedAt = runtime.clock.now();
  const response = await runtime.net.request({ ...call, totalTimeout: duration.ms(200) });
  const outcome = await readText(response.body).catch((error: unknown) => fault.text(error));
  server.close();
  assert.match(outcome, /http\.body/);
  assert.ok(runtime.clock.now() - startedAt < duration.s(1));
});
test('a collector of many small pieces keeps their bytes only', () => {
  const collector = openByteCollector({ max: 1 << 20 });
  const piece = Buffer.from('x');
  for (let i = 0; i < 1 << 20; i++) collector.push(piece);
  const before = collector.bytes();
  assert.is(before.length, 1 << 20);
  assert.is(before.buffer.byteLength, 1 << 20);
});
test.run();
