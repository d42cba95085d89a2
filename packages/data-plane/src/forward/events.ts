/** Server-sent events as bytes (§5.6): cuts a stream into complete events, so that no part of one reaches a caller. */
import { openByteCollector } from '@thornsail/runtime';

const lineFeed = 10;
const carriageReturn = 13;
const colon = 58;
const space = 32;

/** The fields of an event that the gateway reads; null: the event lacks the field. */
export type Fields = { id: string | null; data: string | null };
/** One complete event of a stream. */
export type StreamEvent = {
  /** As received, with the empty line that ends it. */
  bytes: Buffer;
  /** Whether it has a data field: a reader of the stream dispatches no event without one. */
  hasData: boolean;
};

/** Parses the fields of one event. Text is decoded as Latin-1, so that encoding it again gives the same bytes. */
const fieldsOf = (bytes: Buffer): Fields => {
  let id: string | null = null;
  let data: string | null = null;
  let start = 0;
  while (start < bytes.length) {
    let end = bytes.indexOf(lineFeed, start);
    if (end < 0) end = bytes.length;
    const stop = end > start && bytes[end - 1] === carriageReturn ? end - 1 : end;
    const separator = bytes.indexOf(colon, start);
    if (separator > start && separator < stop) {
      const value = bytes.toString('latin1', bytes[separator + 1] === space ? separator + 2 : separator + 1, stop);
      const name = bytes.toString('latin1', start, separator);
      if (name === 'id') id = value;
      else if (name === 'data') data = data === null ? value : `${data}\n${value}`;
    }
    start = end + 1;
  }
  return { id, data };
};
const dataField = Buffer.from('data:');
const eventOf = (bytes: Buffer): StreamEvent => {
  const index = bytes.indexOf(dataField);
  // Most events have "data:" at the start of a line, which needs no parsing; within a line, the parsed fields decide.
  const hasData = index === 0 || (index > 0 && (bytes[index - 1] === lineFeed || fieldsOf(bytes).data !== null));
  return { bytes, hasData };
};
/** Index after the empty line that ends the first event, or -1. */
const endOfEvent = (bytes: Buffer, from: number): number => {
  for (let i = bytes.indexOf(lineFeed, from); i >= 0; i = bytes.indexOf(lineFeed, i + 1)) {
    if (bytes[i + 1] === lineFeed) return i + 2;
    if (bytes[i + 1] === carriageReturn && bytes[i + 2] === lineFeed) return i + 3;
  }
  return -1;
};

/** Cuts one stream into events. */
export type EventReader = {
  /** Takes the next bytes and returns the events that they complete. */
  push: (bytes: Uint8Array) => StreamEvent[];
  /** The bytes after the last complete event. */
  rest: () => Uint8Array;
};
const openReader = (): EventReader => {
  let incomplete = openByteCollector({ max: Infinity });
  return {
    push: (bytes) => {
      const from = Math.max(0, incomplete.length() - 3);
      let available = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
      const isJoined = incomplete.length() > 0;
      if (isJoined) {
        incomplete.push(bytes);
        available = incomplete.bytes();
      }
      const complete: StreamEvent[] = [];
      let start = 0;
      for (let end = endOfEvent(available, from); end >= 0; end = endOfEvent(available, start)) {
        complete.push(eventOf(available.subarray(start, end)));
        start = end;
      }
      if (start === 0 && isJoined) return complete;
      // The events refer to the bytes that were joined, so that the rest gets memory of its own.
      incomplete = openByteCollector({ max: Infinity });
      if (start < available.length) incomplete.push(available.subarray(start));
      return complete;
    },
    rest: () => incomplete.bytes(),
  };
};

/** Parses server-sent events. */
export const events = { parseFields: fieldsOf, reader: openReader };
