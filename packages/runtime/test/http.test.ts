// The real HTTP server against what callers may send by mistake or on purpose.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fault, address, real, duration } from '@thornsail/runtime';

const raw = (at: string, text: string): Promise<string> =>
  new Promise((done) => {
    let got = '';
    const s = net.connect({ host: address.host(at), port: address.port(at) }, () => s.write(text));
    s.on('data', (d: Buffer) => {
      got += d.toString();
    });
    s.on('close', () => done(got));
    s.on('error', () => done(got));
  });
const runtime = real.runtime('/nonexistent');
const status = (text: string): string => text.slice(9, 12);

test('odd paths and bodies get an error, and the server lives on', async () => {
  const server = await runtime.net.serveHttp(
    '127.0.0.1:0',
    (ask, say) => {
      say.writeHead(ask.bodyTooLarge ? 413 : 200, {});
      say.end(ask.path);
    },
    1000,
  );
  const get = (path: string, body = ''): Promise<string> =>
    raw(
      server.at,
      `POST ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  assert.is(status(await get('//')), '400');
  assert.is(status(await get('http://[')), '400');
  assert.is(status(await get('/%E0%A4%A')), '200');
  assert.is(status(await get('/x', 'y'.repeat(2000))), '413');
  await raw(server.at, 'nonsense\r\n\r\n');
  assert.is(status(await get('/well')), '200');
  await server.close();
});
test('"not sent" is said only when nothing was', async () => {
  const refused = await runtime.net
    .request({ at: '127.0.0.1:1', method: 'GET', path: '/', headersTimeout: duration.s(1) })
    .catch((e: unknown) => e);
  assert.ok(fault.notSent(refused));
  // A server that takes the request and drops the connection: whether it ran is not known.
  const server = net.createServer((s) => {
    s.once('data', () => s.destroy());
  });
  await new Promise<void>((fin) => {
    server.listen(0, '127.0.0.1', fin);
  });
  const at = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  for (const fresh of [true, false]) {
    const lost = await runtime.net
      .request({ at, method: 'POST', path: '/', body: '{}', headersTimeout: duration.s(2), newConnection: fresh })
      .catch((e: unknown) => e);
    assert.ok(lost instanceof Error);
    assert.not.ok(fault.notSent(lost));
  }
  server.close();
});
test.run();
