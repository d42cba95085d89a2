import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seeded, type Random } from '@thornsail/runtime';
import { events } from '../src/forward/events.js';

type SampleEvent = { text: string; id: string | null; data: string | null };
const randomLine = (random: Random): string =>
  ['', 'x', 'data: y', ': z', '\u00e9\u00ff', 'a:b', ' b '][random.int(7)]!;
/** A random event: its text as sent, and the fields that the reader must find in it. */
const randomEvent = (random: Random): SampleEvent => {
  const lineEnd = ['\n', '\r\n'][random.int(2)]!;
  const id = random.int(3) ? String(random.int(100)) : null;
  const data = random.int(5) ? Array.from({ length: 1 + random.int(3) }, () => randomLine(random)) : null;
  const lines = [
    ...(random.int(4) ? [] : ['thornsail-weight: 7']),
    ...(id === null ? [] : [`id: ${id}`]),
    ...(random.int(5) ? [] : [': a comment with data: in it']),
    ...(data ?? []).map((value) => `data:${value.startsWith(' ') || random.int(2) ? ' ' : ''}${value}`),
  ];
  const text = `${(lines.length ? lines : [': nothing']).map((line) => line + lineEnd).join('')}${lineEnd}`;
  return { text, id, data: data && data.join('\n') };
};

test('events are read completely, in order and unchanged, however the stream is divided into chunks', () => {
  for (let seed = 1; seed <= 300; seed++) {
    const random = seeded(seed);
    const sent = Array.from({ length: 1 + random.int(12) }, () => randomEvent(random));
    const incomplete = random.int(2) ? 'data: cut' : '';
    const bytes = Buffer.from(sent.map((event) => event.text).join('') + incomplete, 'latin1');
    const reader = events.reader();
    const received: { text: string; id: string | null; data: string | null; hasData: boolean }[] = [];
    for (let offset = 0; offset < bytes.length;) {
      const chunkSize = 1 + random.int([1, 5, 300][seed % 3]!);
      for (const event of reader.push(bytes.subarray(offset, offset + chunkSize)))
        received.push({
          text: event.bytes.toString('latin1'),
          ...events.parseFields(event.bytes),
          hasData: event.hasData,
        });
      offset += chunkSize;
    }
    assert.equal(
      received,
      sent.map((event) => ({ ...event, hasData: event.data !== null })),
      `seed ${seed}`,
    );
    assert.is(Buffer.from(reader.rest()).toString('latin1'), incomplete);
  }
});
test('an event that is contained in one chunk is returned without a copy', () => {
  const chunk = Buffer.from('id: 1\ndata: a\n\n');
  const [event] = events.reader().push(chunk);
  assert.is(event!.bytes.buffer, chunk.buffer);
  assert.is(event!.bytes.length, chunk.length);
});
test.run();
