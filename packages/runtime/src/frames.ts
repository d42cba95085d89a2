/**
 * Frame transport over TCP between nodes (§3.1): one connection per direction between two addresses. Frames are
 * length-prefixed; the first frame of a connection contains the address of the sender.
 */
import net from 'node:net';
import { address, type Address } from './address.js';
import { bindListener, type BindOptions } from './listener.js';
import type { FrameTransport, Net } from './net.js';

/** A longer frame closes its connection. */
const maxFrameBytes = 16 << 20;
/** Size of the length before each frame, in bytes. */
const lengthBytes = 4;
/** Bytes buffered for a slow peer; further frames to it are dropped. */
const maxBufferedBytes = 8 << 20;
/** Bytes buffered for all peers together; beyond them, further frames to peers with a backlog are dropped. */
const maxTotalBufferedBytes = 24 << 20;
/** A peer for which this many bytes are buffered has a backlog. */
const backlogBytes = 256 << 10;
/** A connection without traffic is closed after this time. */
const idleTimeoutMs = 30_000;
/** Further incoming connections are closed, so that descriptors are left for files and outgoing connections. */
const maxIncomingConnections = 2500;
/** Time limit for establishing a connection. */
const connectTimeoutMs = 2_000;

type FrameListener = Parameters<Net['openFrameTransport']>[1];
type DisconnectListener = Parameters<Net['openFrameTransport']>[2];
type ProtocolErrorListener = Parameters<Net['openFrameTransport']>[3];

/** Splits a byte stream into frames. Stops at the first invalid one, for which `onFrame` returns false. */
const frameReader = (
  onFrame: (text: string) => boolean,
  onInvalid: (reason: string) => void,
): ((data: Buffer) => void) => {
  let parts: Buffer[] = [];
  let size = 0;
  let stopped = false;
  const stop = (reason: string): void => {
    stopped = true;
    onInvalid(reason);
  };
  /** Bytes up to the end of the next frame, once its length is known: until then the parts are not joined. */
  let needed = lengthBytes;
  return (data) => {
    parts.push(data);
    size += data.length;
    while (!stopped && size >= needed) {
      const buffered = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
      parts = [buffered];
      const length = buffered.readUInt32BE(0);
      if (length > maxFrameBytes) return stop(`frame of ${length} bytes exceeds the limit`);
      needed = lengthBytes + length;
      if (size < needed) return;
      needed = lengthBytes;
      const rest = buffered.subarray(4 + length);
      parts = rest.length ? [rest] : [];
      size = rest.length;
      if (!onFrame(buffered.toString('utf8', 4, 4 + length))) return stop('frame could not be decoded');
    }
  };
};

type FrameWriter = (socket: net.Socket, text: string) => void;
/** Creates a frame writer. Frames written to a socket in one turn of the event loop are sent together. */
const frameWriter = (): FrameWriter => {
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

/** Receives the frames of an incoming connection until it closes or sends an invalid frame. */
const receive = (socket: net.Socket, onFrame: FrameListener, onProtocolError: ProtocolErrorListener): void => {
  socket.setNoDelay(true);
  let from: Address | undefined;
  // The first frame contains the sender's address; an invalid address closes this connection only.
  const acceptFrame = (text: string): boolean => {
    if (from !== undefined) return onFrame(from, text);
    if (address.ok(text)) from = text;
    return from !== undefined;
  };
  const read = frameReader(acceptFrame, (reason) => {
    onProtocolError?.(from ?? `${socket.remoteAddress ?? '?'}:${socket.remotePort ?? 0}`, reason);
    socket.destroy();
  });
  socket.on('data', read);
  socket.on('error', () => socket.destroy());
};

/** Connects to a peer from the address `self`; `onClose` is called once, when the connection closes for any reason. */
const connectTo = (peer: Address, self: Address, onClose: (socket: net.Socket) => void): net.Socket => {
  const socket = net.connect({ host: address.host(peer), port: address.port(peer), localAddress: address.host(self) });
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  socket.on('close', () => onClose(socket));
  socket.setTimeout(idleTimeoutMs, () => socket.destroy());
  // Drops the connection if it isn't established in time, so that its queued frames are not delivered late.
  const connectTimer = setTimeout(() => {
    if (socket.connecting) socket.destroy();
  }, connectTimeoutMs);
  socket.once('connect', () => clearTimeout(connectTimer));
  socket.once('close', () => clearTimeout(connectTimer));
  return socket;
};

/** Opens the frame transport of one address (§3.1). Rejects with step `frames.bind` if the address can't be bound. */
export const openFrameTransport = async (
  bindAddress: Address,
  onFrame: FrameListener,
  onDisconnect: DisconnectListener,
  onProtocolError: ProtocolErrorListener,
  binding: BindOptions,
): Promise<FrameTransport> => {
  const outgoing = new Map<Address, net.Socket>();
  const incoming = new Set<net.Socket>();
  const write = frameWriter();
  let closing = false;
  const server = net.createServer((socket) => {
    incoming.add(socket);
    receive(socket, onFrame, onProtocolError);
    socket.on('close', () => incoming.delete(socket));
  });
  server.maxConnections = maxIncomingConnections;
  const self = await bindListener(server, bindAddress, 'frames', binding);
  const connect = (peer: Address): net.Socket => {
    const socket = connectTo(peer, self, (closed) => {
      if (outgoing.get(peer) === closed) outgoing.delete(peer);
      if (!closing) onDisconnect?.(peer);
    });
    outgoing.set(peer, socket);
    write(socket, self);
    return socket;
  };
  const totalBuffered = (): number => {
    let total = 0;
    for (const socket of outgoing.values()) total += socket.writableLength;
    return total;
  };
  const mayBuffer = ({ writableLength }: net.Socket): boolean =>
    writableLength < backlogBytes || (writableLength < maxBufferedBytes && totalBuffered() < maxTotalBufferedBytes);
  const send: FrameTransport['send'] = (peer, text) => {
    const existing = outgoing.get(peer);
    const socket = !existing || existing.destroyed ? connect(peer) : existing;
    if (mayBuffer(socket)) write(socket, text);
  };
  const close = (): Promise<void> =>
    new Promise((closed) => {
      closing = true;
      // Flushes the frames written in this turn of the event loop.
      for (const socket of outgoing.values()) socket.uncork();
      for (const socket of [...outgoing.values(), ...incoming]) socket.destroy();
      server.close(() => closed());
    });
  return { at: self, send, close };
};
