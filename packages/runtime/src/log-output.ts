/**
 * Writes the lines of a log to a stream whose reader may be slow, or gone: lines are dropped and counted, so that
 * neither memory nor the life of the process depends on the reader.
 */
import type { Writable } from 'node:stream';

/** Bytes that may wait for a slow reader; further lines are dropped. */
const maxBufferedBytes = 256 << 10;

/** The output of a log. */
export type LogOutput = {
  /** Writes a line, without its line feed. Never throws. */
  write: (line: string) => void;
  /** The number of lines that were dropped since the start. */
  dropped: () => number;
};

/** Opens the output of a log; errors of the stream are handled from now on. */
export const openLogOutput = (stream: Writable): LogOutput => {
  let dropped = 0;
  let reported = 0;
  stream.on('error', () => {
    dropped += 1;
  });
  const write = (line: string): void => {
    if (stream.writableLength + line.length > maxBufferedBytes) {
      dropped += 1;
      return;
    }
    if (dropped > reported) stream.write(`${dropped - reported} lines of the log were dropped before this one\n`);
    reported = dropped;
    stream.write(`${line}\n`);
  };
  return { write, dropped: () => dropped };
};
