/**
 * Limits what a connection receives beyond the content of a response (§5.7): heads, framing, and what a faulty peer
 * sends in their place. A limit on content alone lets a peer send such bytes without end.
 */
import type net from 'node:net';
import { fault } from './fault.js';

/** The limit of one connection, which carries one request at a time. */
export type ReceiveLimit = {
  /** Limits a socket from now on; it is destroyed with code `too-large` when the limit is exceeded. */
  attach: (socket: net.Socket) => void;
  /** A request starts on the connection. */
  begin: () => void;
  /** Content of the response was taken, in bytes. */
  addContent: (bytes: number) => void;
};

/** Bytes of a response that may be no content: its head, and the framing of small chunks. */
const maxOverheadBytes = 32 << 10;
/** Framing may also be as long as the content. */
const overheadPerContentByte = 1;
/** The parser gets no more at once, so that it is stopped soon after an error. */
const sliceBytes = 4 << 10;

/** Opens a limit. `bufferedContent`: bytes of content that may wait to be taken. */
export const openReceiveLimit = (peer: string, bufferedContent = 0): ReceiveLimit => {
  let received = 0;
  let content = 0;
  const isExceeded = (): boolean =>
    received - content > maxOverheadBytes + bufferedContent + content * overheadPerContentByte;
  const attach = (socket: net.Socket): void => {
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    const readLimited = (size?: number): Buffer | null => {
      if (size === 0) return read(0);
      if (socket.destroyed) return null;
      if (isExceeded()) {
        const text = `${received - content} bytes of a response are no content`;
        socket.destroy(fault.make({ step: 'receive', peer, code: 'too-large' }, text));
        return null;
      }
      const bytes = socket.readableLength > sliceBytes ? read(Math.min(size ?? sliceBytes, sliceBytes)) : read(size);
      received += bytes?.length ?? 0;
      return bytes;
    };
    socket.read = readLimited;
  };
  return {
    attach,
    begin: () => {
      received = 0;
      content = 0;
    },
    addContent: (bytes) => {
      content += bytes;
    },
  };
};
