import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seeded, type Random } from '@thornsail/runtime';
import { events } from '../src/forward/events.js';

type Made = { text: string; id: string | null; data: string | null };
const line = (r: Random): string => ['', 'x', 'data: y', ': z', '\u00e9\u00ff', 'a:b', ' b '][r.int(7)]!;
const made = (r: Random): Made => {
  const end = ['\n', '\r\n'][r.int(2)]!;
  const id = r.int(3) ? String(r.int(100)) : null;
  const data = r.int(5) ? Array.from({ length: 1 + r.int(3) }, () => line(r)) : null;
  const lines = [
    ...(r.int(4) ? [] : ['thornsail-weight: 7']),
    ...(id === null ? [] : [`id: ${id}`]),
    ...(r.int(5) ? [] : [': a comment with data: in it']),
    ...(data ?? []).map((d) => `data:${d.startsWith(' ') || r.int(2) ? ' ' : ''}${d}`),
  ];
  const text = `${(lines.length ? lines : [': nothing']).map((l) => l + end).join('')}${end}`;
  return { text, id, data: data && data.join('\n') };
};

test('however a stream is cut into chunks, its events come whole, in order and byte for byte', () => {
  for (let seed = 1; seed <= 300; seed++) {
    const r = seeded(seed);
    const all = Array.from({ length: 1 + r.int(12) }, () => made(r));
    const rest = r.int(2) ? 'data: cut' : '';
    const bytes = Buffer.from(all.map((x) => x.text).join('') + rest, 'latin1');
    const reader = events.reader();
    const got: { text: string; id: string | null; data: string | null; hasData: boolean }[] = [];
    for (let at = 0; at < bytes.length;) {
      const n = 1 + r.int([1, 5, 300][seed % 3]!);
      for (const e of reader.take(bytes.subarray(at, at + n)))
        got.push({ text: e.bytes.toString('latin1'), ...events.fields(e.bytes), hasData: e.hasData });
      at += n;
    }
    assert.equal(
      got,
      all.map((x) => ({ ...x, hasData: x.data !== null })),
      `seed ${seed}`,
    );
    assert.is(Buffer.from(reader.rest()).toString('latin1'), rest);
  }
});
test('one event in one chunk is passed on without a copy', () => {
  const chunk = Buffer.from('id: 1\ndata: a\n\n');
  const [e] = events.reader().take(chunk);
  assert.is(e!.bytes.buffer, chunk.buffer);
  assert.is(e!.bytes.length, chunk.length);
});
test.run();
