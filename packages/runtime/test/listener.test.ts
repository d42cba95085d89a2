// Listeners at addresses that another process still uses.
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, fault, real, time } from '../src/index.js';

const { clock } = real.runtime('/nonexistent');
const occupy = (): Promise<{ at: string; free: () => void }> =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as net.AddressInfo;
      resolve({ at: `127.0.0.1:${port}`, free: () => void server.close() });
    });
  });
const respond = (_request: unknown, response: { end: () => void }): void => response.end();

test('a listener waits until its predecessor has freed the address', async () => {
  const predecessor = await occupy();
  const { net: network } = real.runtime('/nonexistent', { addressWait: duration.s(5) });
  let bound = false;
  const opening = network.serveHttp(predecessor.at, respond, 1024).then((server) => {
    bound = true;
    return server;
  });
  await time.sleep(clock, duration.ms(400));
  assert.not(bound);
  predecessor.free();
  const server = await opening;
  assert.is(server.at, predecessor.at);
  await server.close();
});
test('a listener fails with step and address if the address is not freed in time', async () => {
  const predecessor = await occupy();
  const { net: network } = real.runtime('/nonexistent', { addressWait: duration.ms(300) });
  const error = await network.openFrameTransport(predecessor.at, () => true).catch((thrown: unknown) => thrown);
  assert.is(fault.info(error).step, 'frames.bind');
  assert.is(fault.info(error).peer, predecessor.at);
  predecessor.free();
});
test.run();
