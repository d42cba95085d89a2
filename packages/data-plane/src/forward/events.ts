// A stream of events as bytes (§5.6): cut into whole events, so that a piece of one never reaches a caller.
const lineFeed = 10;
const carriageReturn = 13;
const colon = 58;
const space = 32;

export type Fields = { id: string | null; data: string | null };
export type StreamEvent = {
  /** As it came, with the empty line that ends it. */
  bytes: Buffer;
  /** Whether it has data: one without is no event to its reader. */
  hasData: boolean;
};

/** Fields of one event; text is read as Latin-1, so that every byte comes back as it was. */
const fieldsOf = (bytes: Buffer): Fields => {
  let id: string | null = null;
  let data: string | null = null;
  let start = 0;
  while (start < bytes.length) {
    let end = bytes.indexOf(lineFeed, start);
    if (end < 0) end = bytes.length;
    const stop = end > start && bytes[end - 1] === carriageReturn ? end - 1 : end;
    const sep = bytes.indexOf(colon, start);
    if (sep > start && sep < stop) {
      const value = bytes.toString('latin1', bytes[sep + 1] === space ? sep + 2 : sep + 1, stop);
      const name = bytes.toString('latin1', start, sep);
      if (name === 'id') id = value;
      else if (name === 'data') data = data === null ? value : `${data}\n${value}`;
    }
    start = end + 1;
  }
  return { id, data };
};
const dataField = Buffer.from('data:');
const eventOf = (bytes: Buffer): StreamEvent => {
  const at = bytes.indexOf(dataField);
  // Most events have it at the start of a line right away; where it is within a line, the fields decide.
  const hasData = at === 0 || (at > 0 && (bytes[at - 1] === lineFeed || fieldsOf(bytes).data !== null));
  return { bytes, hasData };
};
/** Where the empty line ends that ends the first event, or -1. */
const endOfEvent = (b: Buffer, from: number): number => {
  for (let i = b.indexOf(lineFeed, from); i >= 0; i = b.indexOf(lineFeed, i + 1)) {
    if (b[i + 1] === lineFeed) return i + 2;
    if (b[i + 1] === carriageReturn && b[i + 2] === lineFeed) return i + 3;
  }
  return -1;
};
const none = Buffer.alloc(0);

export const events = {
  fields: fieldsOf,
  /** `take` gives the events that are whole; `rest` is what is left over. */
  reader: (): { take: (bytes: Uint8Array) => StreamEvent[]; rest: () => Uint8Array } => {
    let kept: Buffer = none;
    return {
      take: (bytes) => {
        const from = Math.max(0, kept.length - 3);
        const fresh = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
        const all = kept.length ? Buffer.concat([kept, fresh]) : fresh;
        const out: StreamEvent[] = [];
        let start = 0;
        for (let end = endOfEvent(all, from); end >= 0; end = endOfEvent(all, start)) {
          out.push(eventOf(all.subarray(start, end)));
          start = end;
        }
        kept = start === all.length ? none : Buffer.from(all.subarray(start));
        return out;
      },
      rest: () => kept,
    };
  },
};
