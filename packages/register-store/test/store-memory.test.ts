// A store's memory does not grow with the bytes of its values: three times its heap is written, and read back by a
// process that starts on the folder (guards against stores that end with a full heap, once and at each restart).
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const program = fileURLToPath(new URL('./store-process.js', import.meta.url));
const heapMegabytes = 72;

type Ended = { code: number | null; signal: string | null; output: string };
const runStore = (folder: string, mode: 'write' | 'read', count: number, bytes: number): Promise<Ended> =>
  new Promise((resolve) => {
    const options = [`--max-old-space-size=${heapMegabytes}`, '--max-semi-space-size=4', program];
    const child = spawn(process.execPath, [...options, folder, mode, String(count), String(bytes)], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    const append = (data: Buffer): void => void (output += data.toString());
    child.stdout.on('data', append);
    child.stderr.on('data', append);
    child.on('close', (code, signal) => resolve({ code, signal, output }));
  });

for (const [title, count, bytes] of [
  ['the usual size of a turn', 13_000, 17_000],
  ['long inputs', 550, 400_000],
  ['inputs as long as a configuration may allow', 55, 4_000_000],
] as const)
  test(`values of ${title} that together exceed the heap are kept, and read after a restart`, async () => {
    const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-store-'));
    try {
      for (const mode of ['write', 'read'] as const) {
        const { code, signal, output } = await runStore(folder, mode, count, bytes);
        assert.is(code, 0, `${mode}: signal ${signal}; ${output.slice(-2000)}`);
        const { valueBytes, size } = JSON.parse(output) as { valueBytes: number; size: number };
        assert.is(size, count);
        assert.ok(valueBytes >= count * bytes && valueBytes >= 3 * heapMegabytes * 1e6, `${valueBytes} bytes`);
      }
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  });
test.run();
