// Disables guards in a copy of the built code and checks that the run that watches over each guard notices (§9.5).
import { spawn } from 'node:child_process';
import { availableParallelism } from 'node:os';
import path from 'node:path';
import { fileOfWorkspace } from '@thornsail/test-harness';
import { buildCopy } from './build-copy.js';
import type { Guard, NoticedBy } from './guard.js';

/** The result of disabling one guard; `evidence` names the run and the first breach, if it noticed. */
export type Verdict = { guard: string; rule: string; noticed: boolean; evidence: string };

/** Time limit of a run in milliseconds; a test that exceeds it counts as failed. */
const runTimeoutMs = 150_000;
const maxWorkers = 6;
/** In characters. */
const maxBreachLength = 110;

/** Runs a Node.js program until it ends or `isEnough` is true for a printed line; resolves to its exit code. */
const runNode = (args: string[], cwd: string, isEnough: (line: string) => boolean): Promise<number | null> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, args, {
      cwd,
      stdio: ['ignore', 'pipe', 'ignore'],
      env: { ...process.env, NO_COLOR: '1', FORCE_COLOR: '0' },
    });
    let rest = '';
    child.stdout.on('data', (data: Buffer) => {
      const lines = (rest + data.toString()).split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines) if (isEnough(line)) child.kill('SIGKILL');
    });
    const timeout = setTimeout(() => child.kill('SIGKILL'), runTimeoutMs);
    child.on('close', (code) => {
      clearTimeout(timeout);
      resolve(code);
    });
  });

type ProgramRun = { program: string; args: string[]; name: string };
const programRun = (noticedBy: Exclude<NoticedBy, { test: string }>): ProgramRun => {
  if ('program' in noticedBy) return { ...noticedBy, name: noticedBy.args.join(' ') };
  const { scenario, shape = 'granite', from = 1, to = 3 } = noticedBy;
  return {
    program: 'tools/simulation/src/sweep-cli.js',
    args: ['--child', `${scenario}:${shape}:${from}:${to}`],
    name: `${scenario} ${shape} (${from}-${to})`,
  };
};

type Notice = { noticed: boolean; evidence: string };
const runTest = async (folder: string, test: string): Promise<Notice> => {
  const code = await runNode([fileOfWorkspace(folder, test)], folder, () => false);
  return { noticed: code !== 0, evidence: test };
};
const runProgram = async (folder: string, { program, args, name }: ProgramRun): Promise<Notice> => {
  let notice: Notice = { noticed: false, evidence: `${name}: no breach` };
  await runNode([path.join(folder, program), ...args], folder, (line) => {
    const run = JSON.parse(line) as { seed: number; breaches: string[] };
    const [breach] = run.breaches;
    if (breach === undefined) return false;
    notice = { noticed: true, evidence: `${name} seed ${run.seed}: ${breach.slice(0, maxBreachLength)}` };
    return true;
  });
  return notice;
};

const disableAndRun = async (folder: string, guard: Guard): Promise<Notice> => {
  const missing = buildCopy.replace(folder, [guard, ...guard.otherReplacements]);
  // Reported as a miss instead of thrown, so that an outdated guard does not hide the results of the others.
  if (missing) return { noticed: false, evidence: `its line is not in ${missing.file}` };
  return 'test' in guard.noticedBy
    ? runTest(folder, guard.noticedBy.test)
    : runProgram(folder, programRun(guard.noticedBy));
};
const runOne = async (guard: Guard): Promise<Verdict> => {
  const folder = buildCopy.create();
  try {
    return { guard: guard.name, rule: guard.rule, ...(await disableAndRun(folder, guard)) };
  } finally {
    buildCopy.remove(folder);
  }
};
const runAll = async (guards: readonly Guard[], onVerdict: (verdict: Verdict) => void): Promise<Verdict[]> => {
  const queue = [...guards];
  const verdicts: Verdict[] = [];
  const runQueue = async (): Promise<void> => {
    for (let next = queue.shift(); next; next = queue.shift()) {
      const verdict = await runOne(next);
      verdicts.push(verdict);
      onVerdict(verdict);
    }
  };
  const workers = Math.max(1, Math.min(maxWorkers, availableParallelism() - 1));
  await Promise.all(Array.from({ length: workers }, runQueue));
  return verdicts;
};
const formatVerdict = ({ guard, rule, noticed, evidence }: Verdict): string =>
  `${noticed ? 'noticed' : 'MISSED '} ${rule}: ${guard} (${evidence})\n`;

/** Disables and runs one guard, or all of a list a few at a time; `formatVerdict` gives a line of text. */
export const guardRunner = { runOne, runAll, formatVerdict };
