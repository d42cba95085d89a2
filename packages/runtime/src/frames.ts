/**
 * Frames over TCP between nodes (§3.1): one connection each way between two addresses, frames with a length, the first
 * of which names the sender.
 */
import net from 'node:net';
import { fault, place, type Frames, type Net, type Place } from './index.js';

/** Bytes. A longer frame breaks its connection off. */
const maxFrame = 16 << 20;
/** Bytes that wait for a slow peer; further frames to it are dropped. */
const maxBuffered = 8 << 20;

/** Cuts a stream of bytes into frames, until one is bad. */
const frameReader = (take: (text: string) => boolean, bad: (why: string) => void): ((d: Buffer) => void) => {
  let parts: Buffer[] = [];
  let size = 0;
  let over = false;
  const stop = (why: string): void => {
    over = true;
    bad(why);
  };
  return (d) => {
    parts.push(d);
    size += d.length;
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

/** One TCP pipe each way between two places; frames are length-prefixed, the first names the sender (§3.1). */
export const frames: Net['frames'] = (at, onFrame, onDown, onBad) =>
  new Promise((done, fail) => {
    const out = new Map<Place, net.Socket>();
    const inn = new Set<net.Socket>();
    const corked: net.Socket[] = [];
    const uncork = (): void => {
      for (const s of corked.splice(0)) s.uncork();
    };
    /** All that is written within one turn of the event loop goes out together. */
    const write = (s: net.Socket, text: string): void => {
      const size = Buffer.byteLength(text, 'utf8');
      const b = Buffer.allocUnsafe(4 + size);
      b.writeUInt32BE(size);
      b.write(text, 4, 'utf8');
      if (s.writableCorked === 0) {
        s.cork();
        if (corked.push(s) === 1) setImmediate(uncork);
      }
      s.write(b);
    };
    let self: Place = at;
    let closing = false;
    const server = net.createServer((s) => {
      inn.add(s);
      s.setNoDelay(true);
      let from: Place | undefined;
      // The first frame names the sender; whatever cannot be one breaks the pipe, and nothing else.
      const take = (text: string): boolean => {
        if (from !== undefined) return onFrame(from, text);
        if (place.ok(text)) from = text;
        return from !== undefined;
      };
      const read = frameReader(take, (why) => {
        onBad?.(from ?? `${s.remoteAddress ?? '?'}:${s.remotePort ?? 0}`, why);
        s.destroy();
      });
      s.on('data', read);
      s.on('error', () => s.destroy());
      s.on('close', () => inn.delete(s));
    });
    const send: Frames['send'] = (to, text) => {
      let s = out.get(to);
      if (!s || s.destroyed) {
        s = net.connect({ host: place.host(to), port: place.port(to), localAddress: place.host(self) });
        s.setNoDelay(true);
        s.on('error', () => undefined);
        const mine = s;
        s.on('close', () => {
          if (out.get(to) === mine) out.delete(to);
          if (!closing) onDown?.(to);
        });
        s.setTimeout(30_000, () => mine.destroy());
        // One that does not come up keeps no old frames for later.
        const slow = setTimeout(() => {
          if (mine.connecting) mine.destroy();
        }, 2_000);
        s.once('connect', () => clearTimeout(slow));
        s.once('close', () => clearTimeout(slow));
        out.set(to, s);
        write(s, self);
      }
      if (s.writableLength < maxBuffered) write(s, text);
    };
    server.on('error', (e) => fail(fault.make({ step: 'frames.bind', sibling: at }, e.message, e)));
    server.listen(place.port(at), place.host(at), () => {
      const a = server.address() as net.AddressInfo;
      self = `${a.address}:${a.port}`;
      done({
        at: self,
        send,
        close: () =>
          new Promise((fin) => {
            closing = true;
            // What was written in this turn goes out first.
            for (const s of out.values()) s.uncork();
            for (const s of [...out.values(), ...inn]) s.destroy();
            server.close(() => fin());
          }),
      });
    });
  });
