// A stream of events as bytes (§5.6): cut into whole events, so that a piece of one never reaches a caller.
export type StreamEvent = {
  /** As it came, with the empty line that ends it. */
  bytes: Uint8Array;
  id: string | null;
  /** Data lines, joined by line feeds; null if there are none. */
  data: string | null;
};

/** Fields of one event; text is read as Latin-1, so that every byte comes back as it was. */
const parsed = (bytes: Buffer): StreamEvent => {
  let id: string | null = null;
  let data: string | null = null;
  for (const line of bytes.toString('latin1').split(/\r\n|\n|\r/)) {
    const colon = line.indexOf(':');
    if (colon <= 0) continue;
    const name = line.slice(0, colon);
    const value = line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1);
    if (name === 'id') id = value;
    else if (name === 'data') data = data === null ? value : `${data}\n${value}`;
  }
  return { bytes, id, data };
};
/** Where the empty line ends that ends the first event, or -1. */
const endOfEvent = (b: Buffer, from: number): number => {
  for (let i = b.indexOf(10, from); i >= 0; i = b.indexOf(10, i + 1)) {
    if (b[i + 1] === 10) return i + 2;
    if (b[i + 1] === 13 && b[i + 2] === 10) return i + 3;
  }
  return -1;
};

export const events = {
  /** `take` gives the events that are whole; `rest` is what is left over. */
  reader: (): { take: (bytes: Uint8Array) => StreamEvent[]; rest: () => Uint8Array } => {
    let kept: Buffer = Buffer.alloc(0);
    return {
      take: (bytes) => {
        const from = Math.max(0, kept.length - 3);
        kept = kept.length ? Buffer.concat([kept, bytes]) : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
        const out: StreamEvent[] = [];
        let start = 0;
        for (let end = endOfEvent(kept, from); end >= 0; end = endOfEvent(kept, start)) {
          out.push(parsed(kept.subarray(start, end)));
          start = end;
        }
        kept = Buffer.from(kept.subarray(start));
        return out;
      },
      rest: () => kept,
    };
  },
};
