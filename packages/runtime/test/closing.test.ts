// A server that closes right behind an answer: what was said reaches a slow reader, and nobody holds up the close.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { address, real, time, duration, type HttpResponseWriter, type Address } from '@thornsail/runtime';

const runtime = real.runtime('/nonexistent');
/** More than the system's buffers of a loopback connection take from a server whose client does not read. */
const answerBytes = 32 << 20;
const answer = 'x'.repeat(answerBytes);

/** Sends one request and reads nothing before `resume`; `read` gives the bytes received once the connection ended. */
const slowClient = (at: Address): { resume: () => void; read: Promise<number>; leave: () => void } => {
  const socket = net.connect({ host: address.host(at), port: address.port(at) });
  let received = 0;
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  const read = new Promise<number>((done) => {
    socket.on('data', (bytes) => {
      received += bytes.length;
    });
    socket.on('error', () => undefined);
    socket.on('close', () => done(received));
  });
  return { resume: () => void socket.resume(), read, leave: () => void socket.destroy() };
};

/** Serves the long answer once and tells when its handler has ended it. */
const serveOnce = async (
  headers: Record<string, string>,
): Promise<{ at: Address; close: () => Promise<void>; answered: Promise<void> }> => {
  let onAnswered: () => void;
  const answered = new Promise<void>((done) => {
    onAnswered = done;
  });
  const handler = (_: unknown, say: HttpResponseWriter): Promise<void> => {
    say.writeHead(200, headers);
    say.end(answer);
    onAnswered();
    return Promise.resolve();
  };
  const server = await runtime.net.serveHttp('127.0.0.1:0', handler, 1000);
  return { ...server, answered };
};

for (const [name, headers] of [
  ['with a length', { 'content-length': String(answerBytes) }],
  ['in chunks', {}],
] as const)
  test(`an answer ${name} that is still being written is not cut by the close`, async () => {
    const server = await serveOnce(headers);
    const client = slowClient(server.at);
    await server.answered;
    const closed = server.close();
    await time.sleep(runtime.clock, duration.ms(100));
    client.resume();
    assert.ok((await client.read) > answerBytes, 'the whole answer and its head are received');
    await closed;
  });

test('a client that never reads does not hold up the close for long', async () => {
  const server = await serveOnce({});
  const client = slowClient(server.at);
  await server.answered;
  const begun = runtime.clock.now();
  await server.close();
  assert.ok(runtime.clock.now() - begun < duration.s(8));
  client.leave();
});

test('a close with nothing left to write is immediate', async () => {
  const server = await runtime.net.serveHttp('127.0.0.1:0', (_, say) => Promise.resolve(say.end('')), 1000);
  const client = slowClient(server.at);
  client.resume();
  await time.sleep(runtime.clock, duration.ms(100));
  const begun = runtime.clock.now();
  await server.close();
  assert.ok(runtime.clock.now() - begun < duration.s(1));
  assert.ok((await client.read) > 0);
});

test.run();
