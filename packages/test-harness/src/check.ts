// The test command's runner: every test file in a process of its own, a few at a time, and one closing line.
import { spawn } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

const rootDir = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../..');
const only = process.argv.slice(2);
const folders = [...readdirSync(path.join(rootDir, 'packages')).map((p) => path.join('packages', p)), 'platform'];
const files = folders
  .flatMap((p) => {
    const dir = path.join(rootDir, p, 'test');
    try {
      return readdirSync(dir)
        .filter((f) => f.endsWith('.test.js'))
        .map((f) => path.join(dir, f));
    } catch {
      return [];
    }
  })
  .filter((f) => only.length === 0 || only.some((o) => f.includes(o)))
  .sort();

type Outcome = { file: string; passed: number; failed: number; text: string; took: number };
const one = (file: string): Promise<Outcome> =>
  new Promise((done) => {
    const begun = performance.now();
    const child = spawn(process.execPath, [file], {
      cwd: rootDir,
      env: { ...process.env, FORCE_COLOR: '0', NO_COLOR: '1' },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let text = '';
    child.stdout.on('data', (d: Buffer) => {
      text += d.toString();
    });
    child.stderr.on('data', (d: Buffer) => {
      text += d.toString();
    });
    child.on('close', (code) => {
      const total = Number(/Total:\s+(\d+)/.exec(text)?.[1] ?? 0);
      const passed = Number(/Passed:\s+(\d+)/.exec(text)?.[1] ?? 0);
      // A file that ran no test, or ended badly, counts as a failure.
      const failed = Math.max(total - passed, total === 0 || (code !== 0 && total === passed) ? 1 : 0);
      done({ file: path.relative(rootDir, file), passed, failed, text, took: (performance.now() - begun) / 1000 });
    });
  });

const run = async (): Promise<void> => {
  const left = [...files];
  const all: Outcome[] = [];
  const worker = async (): Promise<void> => {
    for (let f = left.shift(); f !== undefined; f = left.shift()) {
      const o = await one(f);
      all.push(o);
      process.stdout.write(
        `${o.failed ? 'FAIL' : 'ok  '} ${o.file} (${o.passed} of ${o.passed + o.failed}, ${o.took.toFixed(1)} s)\n`,
      );
      if (o.failed) process.stdout.write(`${o.text}\n`);
    }
  };
  await Promise.all(Array.from({ length: Math.max(1, Math.min(6, availableParallelism() - 1)) }, worker));
  const passed = all.reduce((a, o) => a + o.passed, 0);
  const failed = all.reduce((a, o) => a + o.failed, 0) + (files.length === 0 ? 1 : 0);
  process.stdout.write(`${passed} passed, ${failed} failed\n`);
  process.exitCode = failed ? 1 : 0;
};
await run();
