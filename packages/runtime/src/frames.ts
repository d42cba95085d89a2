/**
 * Frames over TCP between nodes (§3.1): one connection each way between two addresses, frames with a length, the first
 * of which names the sender.
 */
import net from 'node:net';
import { address, type Address } from './address.js';
import { fault } from './fault.js';
import type { FrameTransport, Net } from './net.js';

/** Bytes. A longer frame breaks its connection off. */
const maxFrame = 16 << 20;
/** Bytes that wait for a slow peer; further frames to it are dropped. */
const maxBuffered = 8 << 20;
/** Milliseconds after which a connection without traffic is closed. */
const idleMs = 30_000;
/** Milliseconds that a connection may take to come up. */
const connectMs = 2_000;

type FrameListener = Parameters<Net['openFrameTransport']>[1];
type BadListener = Parameters<Net['openFrameTransport']>[3];

/** Cuts a stream of bytes into frames, until one is bad. */
const frameReader = (take: (text: string) => boolean, bad: (why: string) => void): ((d: Buffer) => void) => {
  let parts: Buffer[] = [];
  let size = 0;
  let over = false;
  const stop = (why: string): void => {
    over = true;
    bad(why);
  };
  return (data) => {
    parts.push(data);
    size += data.length;
    while (!over && size >= 4) {
      const buf = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
      parts = [buf];
      const len = buf.readUInt32BE(0);
      if (len > maxFrame) return stop(`a frame of ${len} bytes`);
      if (size < 4 + len) return;
      const rest = buf.subarray(4 + len);
      parts = rest.length ? [rest] : [];
      size = rest.length;
      if (!take(buf.toString('utf8', 4, 4 + len))) return stop('an unreadable frame');
    }
  };
};

type Writer = (socket: net.Socket, text: string) => void;
/** Writes frames; all that is written within one turn of the event loop goes out together. */
const frameWriter = (): Writer => {
  const corked: net.Socket[] = [];
  const uncork = (): void => {
    for (const socket of corked.splice(0)) socket.uncork();
  };
  return (socket, text) => {
    const size = Buffer.byteLength(text, 'utf8');
    const bytes = Buffer.allocUnsafe(4 + size);
    bytes.writeUInt32BE(size);
    bytes.write(text, 4, 'utf8');
    if (socket.writableCorked === 0) {
      socket.cork();
      if (corked.push(socket) === 1) setImmediate(uncork);
    }
    socket.write(bytes);
  };
};

/** Reads the frames of a peer that has connected, until it goes or sends a bad one. */
const receive = (socket: net.Socket, onFrame: FrameListener, onBad: BadListener): void => {
  socket.setNoDelay(true);
  let from: Address | undefined;
  // The first frame names the sender; whatever cannot be one breaks the connection, and nothing else.
  const take = (text: string): boolean => {
    if (from !== undefined) return onFrame(from, text);
    if (address.ok(text)) from = text;
    return from !== undefined;
  };
  const read = frameReader(take, (why) => {
    onBad?.(from ?? `${socket.remoteAddress ?? '?'}:${socket.remotePort ?? 0}`, why);
    socket.destroy();
  });
  socket.on('data', read);
  socket.on('error', () => socket.destroy());
};

/** Connects to a peer from `self`; `onClose` is called when that connection is over, however it ended. */
const connectTo = (to: Address, self: Address, onClose: (socket: net.Socket) => void): net.Socket => {
  const socket = net.connect({ host: address.host(to), port: address.port(to), localAddress: address.host(self) });
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  socket.on('close', () => onClose(socket));
  socket.setTimeout(idleMs, () => socket.destroy());
  // One that does not come up keeps no old frames for later.
  const slow = setTimeout(() => {
    if (socket.connecting) socket.destroy();
  }, connectMs);
  socket.once('connect', () => clearTimeout(slow));
  socket.once('close', () => clearTimeout(slow));
  return socket;
};

/**
 * Opens the frames of one address: one TCP connection each way between two places; frames are length-prefixed, the
 * first
 * names the sender (§3.1). Rejects with step `frames.bind` if the address cannot be bound.
 */
export const frames: Net['openFrameTransport'] = (at, onFrame, onDown, onBad) =>
  new Promise((done, fail) => {
    const outgoing = new Map<Address, net.Socket>();
    const incoming = new Set<net.Socket>();
    const write = frameWriter();
    let self: Address = at;
    let closing = false;
    const server = net.createServer((socket) => {
      incoming.add(socket);
      receive(socket, onFrame, onBad);
      socket.on('close', () => incoming.delete(socket));
    });
    const connect = (to: Address): net.Socket => {
      const socket = connectTo(to, self, (closed) => {
        if (outgoing.get(to) === closed) outgoing.delete(to);
        if (!closing) onDown?.(to);
      });
      outgoing.set(to, socket);
      write(socket, self);
      return socket;
    };
    const send: FrameTransport['send'] = (to, text) => {
      const known = outgoing.get(to);
      const socket = !known || known.destroyed ? connect(to) : known;
      if (socket.writableLength < maxBuffered) write(socket, text);
    };
    server.on('error', (error) => fail(fault.make({ step: 'frames.bind', sibling: at }, error.message, error)));
    server.listen(address.port(at), address.host(at), () => {
      const address = server.address() as net.AddressInfo;
      self = `${address.address}:${address.port}`;
      done({
        at: self,
        send,
        close: () =>
          new Promise((fin) => {
            closing = true;
            // What was written in this turn goes out first.
            for (const socket of outgoing.values()) socket.uncork();
            for (const socket of [...outgoing.values(), ...incoming]) socket.destroy();
            server.close(() => fin());
          }),
      });
    });
  });
