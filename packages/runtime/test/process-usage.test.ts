// The usage of a process as its metrics tell it.
import { execFileSync } from 'node:child_process';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { processUsage } from '../src/process-usage.js';

const parentBytes = 400 << 20;

test('the peak memory of a process is not that of its parent', () => {
  const held = Buffer.alloc(parentBytes, 1);
  const script = `
    const { processUsage } = await import('${new URL('../src/process-usage.js', import.meta.url).href}');
    process.stdout.write(JSON.stringify(processUsage()));`;
  const output = execFileSync(process.execPath, ['--input-type=module', '-e', script], { encoding: 'utf8' });
  const child = JSON.parse(output) as ReturnType<typeof processUsage>;
  assert.ok(child.process_resident_peak_bytes >= child.process_resident_bytes);
  assert.ok(child.process_resident_peak_bytes < held.length, `${child.process_resident_peak_bytes} bytes`);
  assert.ok(processUsage().process_resident_peak_bytes >= held.length);
});
test.run();
