// Chat turns and jobs (§5.8): responses of their workers do not identify the request. A worker that sends a response
// twice on a reused connection would therefore answer the next request with it.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { real, duration, readText } from '@thornsail/runtime';
import { workerClient } from '../src/worker-request.js';

const runtime = real.runtime('/nonexistent');
const responseWith = (body: string): string => `HTTP/1.1 200 X\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

test('a response that is sent twice is not taken as the response to the next request', async () => {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    let previousBody: string | undefined;
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      const body = bytes.toString('latin1').split('\r\n\r\n')[1] ?? '';
      // Repeats the previous response before the response to this request.
      socket.write((previousBody === undefined ? '' : responseWith(previousBody)) + responseWith(body));
      previousBody = body;
    });
  });
  await new Promise<void>((resolve) => void server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  for (const body of ['first', 'second', 'third']) {
    const reply = await workerClient.send(runtime, { id: 'w', at: address } as WorkerEntry, {
      path: '/run',
      body,
      headers: {},
      timeLeft: duration.s(1),
    });
    assert.is(reply.type, 'response');
    if (reply.type === 'response') assert.is(await readText(reply.response.body), body);
  }
  for (const socket of sockets) socket.destroy();
  server.close();
});
test.run();
