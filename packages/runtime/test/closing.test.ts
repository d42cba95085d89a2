// Closing a server while a response is being written: a slow client receives all of it, and can't delay the close
// indefinitely.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { address, real, time, duration, type HttpResponseWriter, type Address } from '@thornsail/runtime';

const runtime = real.runtime('/nonexistent');
/** More than the socket buffers of a loopback connection hold if the client doesn't read. */
const bodyBytes = 32 << 20;
const longBody = 'x'.repeat(bodyBytes);

/** Sends one request and reads nothing before `resume`. `read` resolves with the bytes received once it is closed. */
const slowClient = (serverAddress: Address): { resume: () => void; read: Promise<number>; disconnect: () => void } => {
  const socket = net.connect({ host: address.host(serverAddress), port: address.port(serverAddress) });
  let received = 0;
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  const read = new Promise<number>((resolve) => {
    socket.on('data', (bytes) => {
      received += bytes.length;
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
  });
  return { resume: () => void socket.resume(), read, disconnect: () => void socket.destroy() };
};

/** Starts a server with the long response; `ended` resolves when its handler has ended the response. */
const serveOnce = async (
  headers: Record<string, string>,
): Promise<{ at: Address; close: () => Promise<void>; ended: Promise<void> }> => {
  let onEnded: () => void;
  const ended = new Promise<void>((resolve) => {
    onEnded = resolve;
  });
  const handler = (_: unknown, response: HttpResponseWriter): Promise<void> => {
    response.writeHead(200, headers);
    response.end(longBody);
    onEnded();
    return Promise.resolve();
  };
  const server = await runtime.net.serveHttp('127.0.0.1:0', handler, 1000);
  return { ...server, ended };
};

for (const [name, headers] of [
  ['with a content length', { 'content-length': String(bodyBytes) }],
  ['with chunked encoding', {}],
] as const)
  test(`a response ${name} that is still being written is not truncated by the close`, async () => {
    const server = await serveOnce(headers);
    const client = slowClient(server.at);
    await server.ended;
    const closed = server.close();
    await time.sleep(runtime.clock, duration.ms(100));
    client.resume();
    assert.ok((await client.read) > bodyBytes, 'the complete response is received');
    await closed;
  });

test('a client that never reads delays the close for a limited time only', async () => {
  const server = await serveOnce({});
  const client = slowClient(server.at);
  await server.ended;
  const startedAt = runtime.clock.now();
  await server.close();
  assert.ok(runtime.clock.now() - startedAt < duration.s(8));
  client.disconnect();
});

test('a close with nothing left to write completes immediately', async () => {
  const server = await runtime.net.serveHttp('127.0.0.1:0', (_, response) => Promise.resolve(response.end('')), 1000);
  const client = slowClient(server.at);
  client.resume();
  await time.sleep(runtime.clock, duration.ms(100));
  const startedAt = runtime.clock.now();
  await server.close();
  assert.ok(runtime.clock.now() - startedAt < duration.s(1));
  assert.ok((await client.read) > 0);
});

test.run();
