// The real HTTP server with clients that disconnect, pipeline requests or send incomplete requests (§5.6).
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  address,
  real,
  time,
  duration,
  type HttpRequest,
  type HttpResponseWriter,
  type HttpServer,
} from '@thornsail/runtime';

const runtime = real.runtime('/nonexistent');
const sleep = (ms: number): Promise<void> => time.sleep(runtime.clock, duration.ms(ms));
/** A raw TCP client: the text received so far, and how the connection was closed. */
type Client = { socket: net.Socket; text: () => string; closed: () => 'no' | 'close' | 'reset' };
/** Connects to a server and sends `text`. */
const connectClient = (at: string, text: string): Client => {
  let received = '';
  let closed: 'no' | 'close' | 'reset' = 'no';
  const socket = net.connect({ host: address.host(at), port: address.port(at) }, () => socket.write(text));
  socket.on('data', (bytes: Buffer) => void (received += bytes.toString('latin1')));
  socket.on('error', () => void (closed = 'reset'));
  socket.on('close', () => void (closed = closed === 'reset' ? 'reset' : 'close'));
  return { socket, text: () => received, closed: () => closed };
};
/** Resolves once the server has closed the connection, or after 5 seconds, which suffice on a busy machine. */
const untilClosed = async (client: Client): Promise<void> => {
  for (let i = 0; i < 500 && client.closed() === 'no'; i++) await sleep(10);
};
const get = (path: string, version = '1.1'): string => `GET ${path} HTTP/${version}\r\nhost: x\r\n\r\n`;
/** Runs `run` with a server of short keep-alive timeout, then closes it. */
const withServer = async (
  handler: (request: HttpRequest, response: HttpResponseWriter) => void | Promise<void>,
  run: (server: HttpServer) => Promise<void>,
): Promise<void> => {
  const server = await runtime.net.serveHttp('127.0.0.1:0', handler, {
    maxBodyBytes: () => 1 << 20,
    keepAliveTimeout: () => duration.ms(300),
  });
  try {
    await run(server);
  } finally {
    await server.close();
  }
};

test('a body in very many chunks of a byte ends its connection, one in a thousand is taken', async () => {
  const head = 'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n';
  const sizes: number[] = [];
  await withServer(
    (request, response) => {
      sizes.push(request.bytes.length);
      response.writeHead(204, {});
      response.end();
    },
    async (server) => {
      const client = connectClient(server.at, `${head}${'1\r\nx\r\n'.repeat(1000)}0\r\n\r\n`);
      await sleep(200);
      assert.equal(sizes, [1000]);
      client.socket.destroy();
      const fragmented = connectClient(server.at, `${head}${'1\r\nx\r\n'.repeat(200_000)}0\r\n\r\n`);
      await untilClosed(fragmented);
      assert.is.not(fragmented.closed(), 'no');
      assert.equal(sizes, [1000]);
    },
  );
});
test('a close callback added after the client has disconnected is called at once', async () => {
  let notifications = 0;
  let isClosed = false;
  await withServer(
    async (_request, response) => {
      await sleep(100);
      isClosed = response.isClosed();
      response.onClose(() => void (notifications += 1));
    },
    async (server) => {
      const { socket } = connectClient(server.at, get('/'));
      await sleep(40);
      socket.destroy();
      await sleep(200);
      assert.ok(isClosed);
      assert.is(notifications, 1);
    },
  );
});
test('a pipelined request is notified, too, when its client disconnects', async () => {
  const notifications: string[] = [];
  const responses: HttpResponseWriter[] = [];
  await withServer(
    (request, response) => {
      responses.push(response);
      response.onClose(() => void notifications.push(request.path));
    },
    async (server) => {
      const { socket } = connectClient(server.at, get('/first') + get('/second'));
      await sleep(60);
      assert.is(responses.length, 2, 'both requests are handled');
      socket.destroy();
      await sleep(60);
      assert.equal(notifications.sort(), ['/first', '/second']);
      assert.ok(responses.every((response) => response.isClosed()));
    },
  );
});
test('responses to pipelined requests are sent in order, each with its own bytes', async () => {
  await withServer(
    async (request, response) => {
      await sleep(request.path === '/slow' ? 80 : 1);
      response.writeHead(200, { 'content-length': String(request.path.length) });
      response.end(request.path);
    },
    async (server) => {
      const client = connectClient(server.at, get('/slow') + get('/quick') + get('/third'));
      await sleep(200);
      const bodies = client
        .text()
        .split('HTTP/1.1 200 OK\r\n')
        .slice(1)
        .map((response) => response.slice(response.indexOf('\r\n\r\n') + 4));
      assert.equal(bodies, ['/slow', '/quick', '/third']);
      client.socket.destroy();
    },
  );
});
test('a pipelined response that is aborted before its turn is never sent', async () => {
  await withServer(
    async (request, response) => {
      if (request.path === '/second') return response.abort();
      await sleep(80);
      response.writeHead(200, { 'content-length': '2' });
      response.end('ok');
    },
    async (server) => {
      const client = connectClient(server.at, get('/first') + get('/second'));
      await untilClosed(client);
      assert.is(client.text().split('HTTP/1.1 ').length, 2, 'one response');
      assert.not.equal(client.closed(), 'no');
    },
  );
});
for (const [framing, version, headers] of [
  ['chunked', '1.1', {}],
  ['content length', '1.1', { 'content-length': '9' }],
  ['no length, HTTP/1.0 client', '1.0', {}],
] as const)
  test(`an aborted response does not look complete: ${framing}`, async () => {
    await withServer(
      async (_request, response) => {
        response.writeHead(200, headers);
        response.write('part');
        await sleep(40);
        response.abort();
      },
      async (server) => {
        const client = connectClient(server.at, get('/', version));
        await untilClosed(client);
        assert.ok(client.text().includes('part'));
        assert.not.ok(client.text().includes('\r\n0\r\n\r\n'));
        assert.is(client.closed(), version === '1.0' ? 'reset' : 'close');
      },
    );
  });
test('a request with a truncated body is never handled', async () => {
  let handled = 0;
  await withServer(
    () => void (handled += 1),
    async (server) => {
      for (const head of ['content-length: 10\r\n\r\nhalf', 'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'])
        for (const breakOff of [
          (socket: net.Socket) => socket.end(),
          (socket: net.Socket) => socket.resetAndDestroy(),
        ]) {
          const client = connectClient(server.at, `POST / HTTP/1.1\r\nhost: x\r\n${head}`);
          await sleep(30);
          breakOff(client.socket);
          await sleep(50);
          assert.not.ok(client.text().includes(' 200 '));
        }
      assert.is(handled, 0);
    },
  );
});
test('writes after the client has disconnected, or after the end, have no effect', async () => {
  let lateResponse: HttpResponseWriter | undefined;
  await withServer(
    (_request, response) => {
      lateResponse = response;
    },
    async (server) => {
      const client = connectClient(server.at, get('/'));
      await sleep(30);
      client.socket.destroy();
      await sleep(30);
      lateResponse!.writeHead(200, {});
      assert.ok(lateResponse!.write('x'));
      lateResponse!.end('y');
      lateResponse!.abort();
      await lateResponse!.drained();
      const secondClient = connectClient(server.at, get('/'));
      await sleep(30);
      lateResponse!.writeHead(200, { 'content-length': '2' });
      lateResponse!.end('ok');
      await sleep(30);
      assert.throws(() => lateResponse!.writeHead(200, { 'content-length': '5' }));
      lateResponse!.end('again');
      await sleep(30);
      assert.is(secondClient.text().split('HTTP/1.1 ').length, 2, 'one response to one request');
      secondClient.socket.destroy();
    },
  );
});
test('a connection without a request receives no bytes, and is closed after the keep-alive timeout', async () => {
  await withServer(
    (_request, response) => {
      response.writeHead(200, { 'content-length': '2' });
      response.end('ok');
    },
    async (server) => {
      const client = connectClient(server.at, get('/'));
      await sleep(100);
      const text = client.text();
      assert.ok(text.endsWith('ok'));
      await sleep(1800);
      assert.is(client.text(), text);
      assert.is(client.closed(), 'close');
    },
  );
});
test.run();
