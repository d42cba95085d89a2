// The real HTTP server with malformed or hostile requests, and the client's report of whether a request was sent.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fault, address, real, duration } from '@thornsail/runtime';

/** Sends raw text and resolves with everything received until the connection closes. */
const sendRaw = (at: string, text: string): Promise<string> =>
  new Promise((resolve) => {
    let received = '';
    const socket = net.connect({ host: address.host(at), port: address.port(at) }, () => socket.write(text));
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    socket.on('close', () => resolve(received));
    socket.on('error', () => resolve(received));
  });
const runtime = real.runtime('/nonexistent');
const status = (text: string): string => text.slice(9, 12);

test('malformed paths and oversized bodies are rejected, and the server keeps running', async () => {
  const server = await runtime.net.serveHttp(
    '127.0.0.1:0',
    (request, response) => {
      response.writeHead(request.bodyTooLarge ? 413 : 200, {});
      response.end(request.path);
    },
    1000,
  );
  const get = (path: string, body = ''): Promise<string> =>
    sendRaw(
      server.at,
      `POST ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  assert.is(status(await get('//')), '400');
  assert.is(status(await get('http://[')), '400');
  assert.is(status(await get('/%E0%A4%A')), '200');
  assert.is(status(await get('/x', 'y'.repeat(2000))), '413');
  await sendRaw(server.at, 'nonsense\r\n\r\n');
  assert.is(status(await get('/well')), '200');
  await server.close();
});
test('a failure is reported as not sent only if nothing was sent', async () => {
  const refused = await runtime.net
    .request({ at: '127.0.0.1:1', method: 'GET', path: '/', headersTimeout: duration.s(1) })
    .catch((error: unknown) => error);
  assert.ok(fault.notSent(refused));
  // A server that receives the request and closes the connection: the request may have been executed.
  const server = net.createServer((socket) => {
    socket.once('data', () => socket.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const at = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  for (const newConnection of [true, false]) {
    const failure = await runtime.net
      .request({
        at,
        method: 'POST',
        path: '/',
        body: '{}',
        headersTimeout: duration.s(2),
        newConnection,
      })
      .catch((error: unknown) => error);
    assert.ok(failure instanceof Error);
    assert.not.ok(fault.notSent(failure));
  }
  server.close();
});
test.run();
