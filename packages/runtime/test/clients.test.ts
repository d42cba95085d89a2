// Clients that leave, ask for more at once, or stop in the middle, at the real HTTP server (§5.6).
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
type Client = { socket: net.Socket; text: () => string; closed: () => 'no' | 'close' | 'reset' };
const client = (at: string, text: string): Client => {
  let got = '';
  let closed: 'no' | 'close' | 'reset' = 'no';
  const socket = net.connect({ host: address.host(at), port: address.port(at) }, () => socket.write(text));
  socket.on('data', (bytes: Buffer) => void (got += bytes.toString('latin1')));
  socket.on('error', () => void (closed = 'reset'));
  socket.on('close', () => void (closed = closed === 'reset' ? 'reset' : 'close'));
  return { socket, text: () => got, closed: () => closed };
};
/** Resolves once the server has ended the connection, which it must within some seconds however busy the machine is. */
const ended = async (one: Client): Promise<void> => {
  for (let i = 0; i < 500 && one.closed() === 'no'; i++) await sleep(10);
};
const get = (path: string, version = '1.1'): string => `GET ${path} HTTP/${version}\r\nhost: x\r\n\r\n`;
const serving = async (
  handler: (request: HttpRequest, say: HttpResponseWriter) => void | Promise<void>,
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

test('whoever asks after the client has left is told at once', async () => {
  let told = 0;
  let gone = false;
  await serving(
    async (_request, say) => {
      await sleep(100);
      gone = say.isClosed();
      say.onClose(() => void (told += 1));
    },
    async (server) => {
      const { socket } = client(server.at, get('/'));
      await sleep(40);
      socket.destroy();
      await sleep(200);
      assert.ok(gone);
      assert.is(told, 1);
    },
  );
});
test('a second request on a connection whose client leaves is told too', async () => {
  const told: string[] = [];
  const seen: HttpResponseWriter[] = [];
  await serving(
    (request, say) => {
      seen.push(say);
      say.onClose(() => void told.push(request.path));
    },
    async (server) => {
      const { socket } = client(server.at, get('/first') + get('/second'));
      await sleep(60);
      assert.is(seen.length, 2, 'both are served');
      socket.destroy();
      await sleep(60);
      assert.equal(told.sort(), ['/first', '/second']);
      assert.ok(seen.every((say) => say.isClosed()));
    },
  );
});
test('answers to requests sent at once come in the order of these, each with its own bytes', async () => {
  await serving(
    async (request, say) => {
      await sleep(request.path === '/slow' ? 80 : 1);
      say.writeHead(200, { 'content-length': String(request.path.length) });
      say.end(request.path);
    },
    async (server) => {
      const one = client(server.at, get('/slow') + get('/quick') + get('/third'));
      await sleep(200);
      const bodies = one
        .text()
        .split('HTTP/1.1 200 OK\r\n')
        .slice(1)
        .map((answer) => answer.slice(answer.indexOf('\r\n\r\n') + 4));
      assert.equal(bodies, ['/slow', '/quick', '/third']);
      one.socket.destroy();
    },
  );
});
test('a second answer that is cut before its turn never appears', async () => {
  await serving(
    async (request, say) => {
      if (request.path === '/second') return say.abort();
      await sleep(80);
      say.writeHead(200, { 'content-length': '2' });
      say.end('ok');
    },
    async (server) => {
      const one = client(server.at, get('/first') + get('/second'));
      await ended(one);
      assert.is(one.text().split('HTTP/1.1 ').length, 2, 'one answer');
      assert.not.equal(one.closed(), 'no');
    },
  );
});
for (const [what, version, headers] of [
  ['chunks', '1.1', {}],
  ['a length', '1.1', { 'content-length': '9' }],
  ['no length, to a client of HTTP/1.0', '1.0', {}],
] as const)
  test(`an answer that is cut does not appear complete: ${what}`, async () => {
    await serving(
      async (_request, say) => {
        say.writeHead(200, headers);
        say.write('part');
        await sleep(40);
        say.abort();
      },
      async (server) => {
        const one = client(server.at, get('/', version));
        await ended(one);
        assert.ok(one.text().includes('part'));
        assert.not.ok(one.text().includes('\r\n0\r\n\r\n'));
        assert.is(one.closed(), version === '1.0' ? 'reset' : 'close');
      },
    );
  });
test('a request that is cut in its body is never handled', async () => {
  let handled = 0;
  await serving(
    () => void (handled += 1),
    async (server) => {
      for (const head of ['content-length: 10\r\n\r\nhalf', 'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'])
        for (const end of [(s: net.Socket) => s.end(), (s: net.Socket) => s.resetAndDestroy()]) {
          const one = client(server.at, `POST / HTTP/1.1\r\nhost: x\r\n${head}`);
          await sleep(30);
          end(one.socket);
          await sleep(50);
          assert.not.ok(one.text().includes(' 200 '));
        }
      assert.is(handled, 0);
    },
  );
});
test('what is said after the client has gone, or after the end, goes nowhere', async () => {
  let late: HttpResponseWriter | undefined;
  await serving(
    (_request, say) => {
      late = say;
    },
    async (server) => {
      const one = client(server.at, get('/'));
      await sleep(30);
      one.socket.destroy();
      await sleep(30);
      late!.writeHead(200, {});
      assert.ok(late!.write('x'));
      late!.end('y');
      late!.abort();
      await late!.drained();
      const two = client(server.at, get('/'));
      await sleep(30);
      late!.writeHead(200, { 'content-length': '2' });
      late!.end('ok');
      await sleep(30);
      assert.throws(() => late!.writeHead(200, { 'content-length': '5' }));
      late!.end('again');
      await sleep(30);
      assert.is(two.text().split('HTTP/1.1 ').length, 2, 'one answer to one request');
      two.socket.destroy();
    },
  );
});
test('a connection without a request gets no bytes, and is closed once it is idle for long', async () => {
  await serving(
    (_request, say) => {
      say.writeHead(200, { 'content-length': '2' });
      say.end('ok');
    },
    async (server) => {
      const one = client(server.at, get('/'));
      await sleep(100);
      const text = one.text();
      assert.ok(text.endsWith('ok'));
      await sleep(1800);
      assert.is(one.text(), text);
      assert.is(one.closed(), 'close');
    },
  );
});
test.run();
