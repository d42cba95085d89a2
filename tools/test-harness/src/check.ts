/**
 * The test command's runner: every test file in a process of its own, a few at a time, and one closing line.
 * Failures that KNOWN-RED.txt names are printed and passed over; all others, and entries of that list which do not
 * fail any more, make the run fail.
 */
import { spawn } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { knownRed, type Judgement } from './known-red.js';
import { workspacesOf } from './workspaces.js';

type Outcome = { file: string; passed: number; failed: number; output: string; seconds: number; judged: Judgement };

const maxProcesses = 6;
const rootDir = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../..');
const list = knownRed.load(path.join(rootDir, 'KNOWN-RED.txt'));

const testFilesOf = (folder: string): string[] => {
  const dir = path.join(rootDir, folder, 'test');
  try {
    return readdirSync(dir)
      .filter((name) => name.endsWith('.test.js'))
      .map((name) => path.join(dir, name));
  } catch {
    return [];
  }
};
/** All test files, or those whose path holds one of the words that were given. */
const selectFiles = (words: string[]): string[] => {
  return workspacesOf(rootDir)
    .flatMap(testFilesOf)
    .filter((file) => words.length === 0 || words.some((word) => file.includes(word)))
    .sort();
};

const countOf = (output: string, label: string): number =>
  Number(new RegExp(`${label}:\\s+(\\d+)`).exec(output)?.[1] ?? 0);

const runFile = (file: string): Promise<Outcome> =>
  new Promise((resolve) => {
    const begun = performance.now();
    const child = spawn(process.execPath, [file], {
      cwd: rootDir,
      env: { ...process.env, FORCE_COLOR: '0', NO_COLOR: '1' },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    const add = (data: Buffer): void => {
      output += data.toString();
    };
    child.stdout.on('data', add);
    child.stderr.on('data', add);
    child.on('close', (code) => {
      const total = countOf(output, 'Total');
      const passed = countOf(output, 'Passed');
      // A file that ran no test, or ended badly, counts as a failure.
      const failed = Math.max(total - passed, total === 0 || (code !== 0 && total === passed) ? 1 : 0);
      const name = path.relative(rootDir, file);
      const judged = knownRed.judge(list, name.replace(/\.js$/, '.ts'), failed, output);
      resolve({ file: name, passed, failed, output, seconds: (performance.now() - begun) / 1000, judged });
    });
  });

const report = (outcome: Outcome): void => {
  const { file, passed, failed, judged } = outcome;
  const bad = judged.unknown > 0 || judged.stale.length > 0;
  const word = bad ? 'FAIL' : 'ok  ';
  process.stdout.write(`${word} ${file} (${passed} of ${passed + failed}, ${outcome.seconds.toFixed(1)} s)\n`);
  for (const entry of judged.known)
    process.stdout.write(`known red: ${entry.file}: ${entry.title} | ${entry.cause} | issue ${entry.issue}\n`);
  for (const entry of judged.stale)
    process.stdout.write(`KNOWN-RED.txt names a test that did not fail: ${entry.file}: ${entry.title}\n`);
  if (failed > 0) process.stdout.write(`${outcome.output}\n`);
};

const sum = (outcomes: Outcome[], of: (outcome: Outcome) => number): number =>
  outcomes.reduce((total, outcome) => total + of(outcome), 0);

const run = async (): Promise<void> => {
  const files = selectFiles(process.argv.slice(2));
  const left = [...files];
  const outcomes: Outcome[] = [];
  const worker = async (): Promise<void> => {
    for (let file = left.shift(); file !== undefined; file = left.shift()) {
      const outcome = await runFile(file);
      outcomes.push(outcome);
      report(outcome);
    }
  };
  const processes = Math.max(1, Math.min(maxProcesses, availableParallelism() - 1));
  await Promise.all(Array.from({ length: processes }, worker));
  const failed = sum(outcomes, ({ judged }) => judged.unknown + judged.stale.length) + (files.length === 0 ? 1 : 0);
  process.stdout.write(`${sum(outcomes, (outcome) => outcome.passed)} passed, ${failed} failed\n`);
  process.exitCode = failed ? 1 : 0;
};
await run();
