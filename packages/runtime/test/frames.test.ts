// The frames that wait for slow peers are bounded in bytes, for each peer and for all of them together (§3.1).
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, type FrameTransport } from '@thornsail/runtime';

const megabyte = 1 << 20;
const frame = 'x'.repeat(megabyte);
const peerCount = 12;
const framesPerPeer = 16;

/** A peer that accepts connections and reads nothing. */
const openSilentPeer = (): Promise<{ at: string; close: () => void }> =>
  new Promise((resolve) => {
    const sockets: net.Socket[] = [];
    const server = net.createServer({ pauseOnConnect: true }, (socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
    });
    const close = (): void => {
      for (const socket of sockets) socket.destroy();
      server.close();
    };
    server.listen(0, '127.0.0.1', () =>
      resolve({ at: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, close }),
    );
  });
const openTransport = (onFrame: (text: string) => boolean): Promise<FrameTransport> =>
  real.runtime('/nonexistent').net.openFrameTransport('127.0.0.1:0', (_from, text) => onFrame(text));
const turn = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 5));

test('frames for many peers that do not read take no more memory than the limit, and others get theirs', async () => {
  const peers = await Promise.all(Array.from({ length: peerCount }, openSilentPeer));
  const received: string[] = [];
  const reader = await openTransport((text) => received.push(text) > 0);
  const sender = await openTransport(() => true);
  try {
    sender.send(reader.at, 'first');
    const before = process.memoryUsage().arrayBuffers;
    let most = 0;
    for (let i = 0; i < framesPerPeer; i++)
      for (const { at } of peers) {
        sender.send(at, frame);
        await turn();
        most = Math.max(most, process.memoryUsage().arrayBuffers - before);
      }
    // A peer without anything waiting may take one frame more; a frame is a little longer than its text.
    assert.ok(most < (24 + peerCount + 2) * megabyte, `${most} bytes`);
    sender.send(reader.at, 'last');
    for (let i = 0; i < 200 && received.length < 2; i++) await turn();
    assert.equal(received, ['first', 'last']);
  } finally {
    for (const { close } of peers) close();
    await Promise.all([sender.close(), reader.close()]);
  }
});
test.run();
