// Chat turns and jobs (§5.8): their workers' answers name no request, so that none may come over a kept connection.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { real, duration, readText } from '@thornsail/runtime';
import { worker } from '../src/worker-request.js';

const runtime = real.runtime('/nonexistent');
const answer = (body: string): string => `HTTP/1.1 200 X\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

test('an answer that is given twice is not taken for the answer to the next request', async () => {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    let before: string | undefined;
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      const body = bytes.toString('latin1').split('\r\n\r\n')[1] ?? '';
      // The former answer once more, in the place of this one.
      socket.write((before === undefined ? '' : answer(before)) + answer(body));
      before = body;
    });
  });
  await new Promise<void>((up) => void server.listen(0, '127.0.0.1', up));
  const at = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  for (const body of ['first', 'second', 'third']) {
    const sent = await worker.send(runtime, { id: 'w', at } as WorkerEntry, {
      path: '/run',
      body,
      headers: {},
      timeLeft: duration.s(1),
    });
    assert.is(sent.type, 'response');
    if (sent.type === 'response') assert.is(await readText(sent.response.body), body);
  }
  for (const socket of sockets) socket.destroy();
  server.close();
});
test.run();
