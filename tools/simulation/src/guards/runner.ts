// Takes guards out of a copy of the built code and tells whether the run that watches over each one notices (§9.5).
import { spawn } from 'node:child_process';
import { availableParallelism } from 'node:os';
import path from 'node:path';
import { fileOfWorkspace } from '@thornsail/test-harness';
import { buildCopy } from './build-copy.js';
import type { Guard, NoticedBy } from './guard.js';

/** What came of taking one guard out; `how` names the run and, if it noticed, the first breach. */
export type Verdict = { guard: string; rule: string; noticed: boolean; how: string };

/** A run that hangs has not passed either. In milliseconds. */
const runLimit = 150_000;
const mostWorkers = 6;
const longestBreach = 110;

/** Runs a Node.js program until it ends or `isEnough` says so of a line that it printed; gives its exit code. */
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
    const timeout = setTimeout(() => child.kill('SIGKILL'), runLimit);
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

type Notice = { noticed: boolean; how: string };
const runTest = async (folder: string, test: string): Promise<Notice> => {
  const code = await runNode([fileOfWorkspace(folder, test)], folder, () => false);
  return { noticed: code !== 0, how: test };
};
const runProgram = async (folder: string, { program, args, name }: ProgramRun): Promise<Notice> => {
  let notice: Notice = { noticed: false, how: `${name}: no breach` };
  await runNode([path.join(folder, program), ...args], folder, (line) => {
    const run = JSON.parse(line) as { seed: number; breaches: string[] };
    const [breach] = run.breaches;
    if (breach === undefined) return false;
    notice = { noticed: true, how: `${name} seed ${run.seed}: ${breach.slice(0, longestBreach)}` };
    return true;
  });
  return notice;
};

const noticeIn = async (folder: string, one: Guard): Promise<Notice> => {
  const missing = buildCopy.replace(folder, [one, ...one.also]);
  // Reported as a miss, so that one guard which is out of date hides no other.
  if (missing) return { noticed: false, how: `its line is not in ${missing.file}` };
  return 'test' in one.noticedBy ? runTest(folder, one.noticedBy.test) : runProgram(folder, programRun(one.noticedBy));
};
const takeOut = async (one: Guard): Promise<Verdict> => {
  const folder = buildCopy.create();
  try {
    return { guard: one.name, rule: one.rule, ...(await noticeIn(folder, one)) };
  } finally {
    buildCopy.remove(folder);
  }
};
const takeOutAll = async (guards: readonly Guard[], onVerdict: (verdict: Verdict) => void): Promise<Verdict[]> => {
  const queue = [...guards];
  const verdicts: Verdict[] = [];
  const work = async (): Promise<void> => {
    for (let next = queue.shift(); next; next = queue.shift()) {
      const verdict = await takeOut(next);
      verdicts.push(verdict);
      onVerdict(verdict);
    }
  };
  const workers = Math.max(1, Math.min(mostWorkers, availableParallelism() - 1));
  await Promise.all(Array.from({ length: workers }, work));
  return verdicts;
};
const line = ({ guard, rule, noticed, how }: Verdict): string =>
  `${noticed ? 'noticed' : 'MISSED '} ${rule}: ${guard} (${how})\n`;

/** Takes one guard out, or all of a list with a few at a time; `line` prints a verdict. */
export const guardRunner = { takeOut, takeOutAll, line };
