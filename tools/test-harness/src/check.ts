/**
 * The test runner: runs each test file in its own process, several in parallel, and prints a summary line.
 * Failures listed in KNOWN-RED.txt are printed and tolerated; all other failures, and listed tests that no longer fail,
 * make the run fail.
 */
import { spawn } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { knownRed, type Judgement } from './known-red.js';
import { workspacesOf } from './workspaces.js';

type Outcome = { file: string; passed: number; failed: number; output: string; seconds: number; judgement: Judgement };

const maxProcesses = 6;
const rootDir = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../..');
const knownFailures = knownRed.load(path.join(rootDir, 'KNOWN-RED.txt'));

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
/** All test files, or those whose path contains one of the words. */
const selectFiles = (words: string[]): string[] => {
  return workspacesOf(rootDir)
    .flatMap(testFilesOf)
    .filter((file) => words.length === 0 || words.some((word) => file.includes(word)))
    .sort();
};

/** The number that uvu prints behind a label, 0 without one. */
const countOf = (output: string, label: string): number =>
  Number(new RegExp(`${label}:\\s+(\\d+)`).exec(output)?.[1] ?? 0);

const runFile = (file: string): Promise<Outcome> =>
  new Promise((resolve) => {
    const startedAt = performance.now();
    const child = spawn(process.execPath, [file], {
      cwd: rootDir,
      env: { ...process.env, FORCE_COLOR: '0', NO_COLOR: '1' },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    const append = (data: Buffer): void => {
      output += data.toString();
    };
    child.stdout.on('data', append);
    child.stderr.on('data', append);
    child.on('close', (code) => {
      const total = countOf(output, 'Total');
      const passed = countOf(output, 'Passed');
      // A file without tests, or one that exits with an error although all its tests passed, counts as one failure.
      const failed = Math.max(total - passed, total === 0 || (code !== 0 && total === passed) ? 1 : 0);
      const name = path.relative(rootDir, file);
      const judgement = knownRed.judge(knownFailures, name.replace(/\.js$/, '.ts'), failed, output);
      resolve({ file: name, passed, failed, output, seconds: (performance.now() - startedAt) / 1000, judgement });
    });
  });

const report = (outcome: Outcome): void => {
  const { file, passed, failed, judgement } = outcome;
  const hasFailed = judgement.unknown > 0 || judgement.stale.length > 0;
  const label = hasFailed ? 'FAIL' : 'ok  ';
  process.stdout.write(`${label} ${file} (${passed} of ${passed + failed}, ${outcome.seconds.toFixed(1)} s)\n`);
  for (const entry of judgement.known)
    process.stdout.write(`known red: ${entry.file}: ${entry.title} | ${entry.cause} | issue ${entry.issue}\n`);
  for (const entry of judgement.stale)
    process.stdout.write(`KNOWN-RED.txt lists a test that did not fail: ${entry.file}: ${entry.title}\n`);
  if (failed > 0) process.stdout.write(`${outcome.output}\n`);
};

const sum = (outcomes: Outcome[], count: (outcome: Outcome) => number): number =>
  outcomes.reduce((total, outcome) => total + count(outcome), 0);

const run = async (): Promise<void> => {
  const files = selectFiles(process.argv.slice(2));
  const pending = [...files];
  const outcomes: Outcome[] = [];
  const worker = async (): Promise<void> => {
    for (let file = pending.shift(); file !== undefined; file = pending.shift()) {
      const outcome = await runFile(file);
      outcomes.push(outcome);
      report(outcome);
    }
  };
  const workerCount = Math.max(1, Math.min(maxProcesses, availableParallelism() - 1));
  await Promise.all(Array.from({ length: workerCount }, worker));
  const failed =
    sum(outcomes, ({ judgement }) => judgement.unknown + judgement.stale.length) + (files.length === 0 ? 1 : 0);
  process.stdout.write(`${sum(outcomes, (outcome) => outcome.passed)} passed, ${failed} failed\n`);
  process.exitCode = failed ? 1 : 0;
};
await run();
